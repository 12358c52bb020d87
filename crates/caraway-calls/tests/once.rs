//! Tests of single failures that a call with an idempotency key can meet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_calls::{
    Appending, Body, CallFold, CallKey, CallRecord, Ended, Found, KeyedCall, Known, LogPage,
    LogRecord, Once, OnceAction, OnceSettings, Outcome, Owner, Recorded, Reply, RequestHash, Step,
    key_time,
};
use caraway_types::{Certainty, Reason, Ticket};

/// One instance with a log that works.
struct Bench {
    now: Instant,
    once: Once,
    log: Vec<Arc<str>>,
    oldest: usize,
    /// Log actions that have not been carried out.
    todo: Vec<OnceAction>,
}

fn key() -> CallKey {
    CallKey {
        account: "coop".into(),
        service: "quotes".into(),
        key: "k".into(),
    }
}

fn hash(body: &str) -> RequestHash {
    RequestHash::of("POST", "/deposits", body.as_bytes())
}

fn owner(instance: &str) -> Owner {
    Owner {
        instance: instance.into(),
        nonce: 1,
        ..Owner::default()
    }
}

fn record(instance: &str, step: Step) -> Arc<str> {
    CallRecord::new(key(), hash("a"), owner(instance), step).to_text()
}

fn answer() -> Recorded {
    let body = Body::record(b"deposit 7", 1000);
    Recorded {
        status: 201,
        content: "text/plain".into(),
        body,
    }
}

impl Bench {
    fn new(settings: OnceSettings) -> Self {
        let mut bench = Self {
            now: Instant::now(),
            once: Once::new(settings, "me".into(), 1, 9),
            log: Vec::new(),
            oldest: 0,
            todo: Vec::new(),
        };
        bench.pass(0);
        bench.serve();
        bench
    }

    fn call(&mut self, ticket: Ticket, body: &str, ms: u64) -> Vec<OnceAction> {
        self.call_aged(ticket, body, ms, None)
    }

    fn call_aged(
        &mut self,
        ticket: Ticket,
        body: &str,
        ms: u64,
        age: Option<Duration>,
    ) -> Vec<OnceAction> {
        let deadline = self.now + Duration::from_millis(ms);
        let call = KeyedCall {
            ticket,
            key: key(),
            hash: hash(body),
            age,
            deadline,
        };
        let mut out = Vec::new();
        self.once.on_call(self.now, call, &mut out);
        self.take(out)
    }

    fn pass(&mut self, ms: u64) -> Vec<OnceAction> {
        self.now += Duration::from_millis(ms);
        let mut out = Vec::new();
        self.once.on_tick(self.now, &mut out);
        self.take(out)
    }

    /// Queues the log actions and returns the others.
    fn take(&mut self, out: Vec<OnceAction>) -> Vec<OnceAction> {
        let is_log = |a: &OnceAction| matches!(a, OnceAction::Append(_) | OnceAction::Read { .. });
        let (log, rest) = out.into_iter().partition(is_log);
        self.todo.extend::<Vec<_>>(log);
        rest
    }

    /// Carries out log actions for 400 ms and returns the other actions.
    fn serve(&mut self) -> Vec<OnceAction> {
        let mut rest = Vec::new();
        for _ in 0..20 {
            let mut out = Vec::new();
            for action in std::mem::take(&mut self.todo) {
                match action {
                    OnceAction::Append(records) => {
                        self.log.extend(records);
                        let end = Appending::Done(self.log.len() as u64);
                        self.once.on_append(self.now, end, &mut out);
                    }
                    OnceAction::Read { from, .. } => {
                        let page = self.page(from);
                        self.once.on_page(self.now, &page, &mut out);
                    }
                    other => panic!("not for the log: {other:?}"),
                }
            }
            rest.extend(self.take(out));
            rest.extend(self.pass(20));
        }
        rest
    }

    fn page(&self, from: u64) -> LogPage {
        let from = usize::try_from(from).unwrap().max(self.oldest);
        let records = self.log.iter().enumerate().skip(from);
        let records = records.map(|(i, data)| LogRecord {
            offset: i as u64,
            data: data.clone(),
        });
        LogPage {
            oldest: self.oldest as u64,
            end: self.log.len() as u64,
            records: records.collect(),
        }
    }

    fn end(&mut self, nonce: u64, ended: Ended) -> Vec<OnceAction> {
        let mut out = Vec::new();
        self.once.on_ended(self.now, nonce, ended, &mut out);
        let mut out = self.take(out);
        out.extend(self.serve());
        out
    }
}

fn sends(out: &[OnceAction]) -> usize {
    out.iter()
        .filter(|a| matches!(a, OnceAction::Send { .. }))
        .count()
}

fn refusal(out: &[OnceAction], of: Ticket) -> (Certainty, Reason) {
    let mut found = out.iter().filter_map(|action| match action {
        OnceAction::Reply {
            ticket,
            reply: Reply::Refuse(r),
        } if *ticket == of => Some((r.certainty, r.reason)),
        _ => None,
    });
    found
        .next()
        .unwrap_or_else(|| panic!("no refusal in {out:?}"))
}

fn answered(out: &[OnceAction], of: Ticket) -> bool {
    out.contains(&OnceAction::Reply {
        ticket: of,
        reply: Reply::Answer(answer()),
    })
}

#[test]
fn a_repeat_gets_the_recorded_answer() {
    let mut bench = Bench::new(OnceSettings::default());
    bench.call(1, "a", 3000);
    let out = bench.serve();
    assert_eq!(sends(&out), 1);
    assert!(answered(&bench.end(1, Ended::Answered(answer())), 1));
    assert!(answered(&bench.call(2, "a", 3000), 2));
    assert_eq!(
        refusal(&bench.call(3, "b", 3000), 3),
        (Certainty::NotRun, Reason::KeyReused)
    );
}

#[test]
fn a_repeated_intent_is_not_sent_again() {
    let mut bench = Bench::new(OnceSettings::default());
    bench.call(1, "a", 60_000);
    let out = bench.serve();
    assert_eq!(sends(&out), 1);
    let again = bench.log[0].clone();
    bench.log.push(again);
    bench.pass(1100);
    assert_eq!(sends(&bench.serve()), 0);
}

#[test]
fn an_intent_that_comes_back_late_is_not_sent() {
    let settings = OnceSettings {
        log_wait: caraway_types::Millis::new(60_000),
        ..Default::default()
    };
    let mut bench = Bench::new(settings);
    bench.call(1, "a", 60_000);
    bench.now += Duration::from_secs(6);
    let out = bench.serve();
    assert_eq!(sends(&out), 0);
    assert_eq!(refusal(&out, 1), (Certainty::NotRun, Reason::Deadline));
    assert_eq!(
        bench.once.fold().known(&key()),
        Some(&Known::Released(Owner {
            instance: "me".into(),
            incarnation: 1,
            process: 9,
            nonce: 1,
        }))
    );
}

#[test]
fn an_expired_sending_is_in_doubt_while_another_goes_on() {
    let mut bench = Bench::new(OnceSettings::default());
    bench.call(1, "a", 100);
    bench.call(2, "a", 1500);
    let out = bench.pass(200);
    assert_eq!(refusal(&out, 1), (Certainty::InDoubt, Reason::Deadline));
    assert_eq!(sends(&bench.serve()), 1);
}

#[test]
fn without_the_log_a_call_is_refused_as_not_run() {
    let mut bench = Bench::new(OnceSettings::default());
    bench.call(1, "a", 30_000);
    bench.todo.clear();
    let mut out = Vec::new();
    bench.once.on_append(bench.now, Appending::Failed, &mut out);
    bench.once.on_read_failed(bench.now, &mut out);
    let out = bench.pass(2000);
    assert_eq!(
        refusal(&out, 1),
        (Certainty::NotRun, Reason::LogUnavailable)
    );
    let out = bench.call(2, "a", 30_000);
    assert_eq!(
        refusal(&out, 2),
        (Certainty::NotRun, Reason::LogUnavailable)
    );
}

#[test]
fn an_intent_of_a_lost_instance_stays_in_doubt() {
    let mut bench = Bench::new(OnceSettings::default());
    bench.log.push(record("gone", Step::Intent));
    bench.call(1, "a", 30_000);
    let mut out = bench.serve();
    out.extend(bench.pass(2000));
    assert_eq!(sends(&out), 0);
    assert_eq!(
        refusal(&out, 1),
        (Certainty::InDoubt, Reason::OutcomeUnknown)
    );
    let mut out = Vec::new();
    bench.once.on_lookup(bench.now, 5, key(), &mut out);
    let mut out = bench.take(out);
    out.extend(bench.serve());
    assert!(out.contains(&OnceAction::Found {
        ticket: 5,
        found: Found::Pending
    }));
}

#[test]
fn a_freed_key_is_sent_by_the_next_in_line() {
    let mut bench = Bench::new(OnceSettings::default());
    bench.log.push(record("other", Step::Intent));
    bench.call(1, "a", 30_000);
    assert_eq!(sends(&bench.serve()), 0);
    bench
        .log
        .push(record("other", Step::Outcome(Outcome::NotRun)));
    bench.pass(100);
    assert_eq!(sends(&bench.serve()), 1);
}

#[test]
fn a_void_intent_keeps_its_key_known() {
    let mut fold = CallFold::new(1000);
    fold.apply(0, &record("a", Step::Intent));
    fold.apply(1, &record("b", Step::Intent));
    fold.trim(1);
    fold.apply(2, &record("c", Step::Intent));
    assert_eq!(fold.known(&key()), Some(&Known::Intended(owner("a"))));
    fold.trim(3);
    assert!(fold.is_empty());
}

#[test]
fn a_newer_step_holds_its_key() {
    let mut fold = CallFold::new(1000);
    let text = record("a", Step::Intent);
    let newer = text
        .replace("\"schema\":1", "\"schema\":2")
        .replace("\"intent\"", "{\"paused\":3}");
    fold.apply(0, &newer.into());
    fold.apply(1, &text);
    assert_eq!(fold.known(&key()), Some(&Known::Intended(Owner::default())));
    fold.apply(2, &"not a record".into());
    assert_eq!(fold.skipped(), 1);
}

#[test]
fn an_answer_out_of_memory_is_read_back_from_the_log() {
    let mut bench = Bench::new(OnceSettings {
        body_memory: 4,
        ..Default::default()
    });
    bench
        .log
        .push(record("other", Step::Outcome(Outcome::Answered(answer()))));
    bench.pass(1100);
    bench.serve();
    assert_eq!(bench.once.fold().known(&key()), Some(&Known::Evicted(0)));
    bench.pass(50);
    bench.call(1, "a", 3000);
    assert!(answered(&bench.serve(), 1));
}

#[test]
fn a_forgotten_key_that_tells_its_age_is_in_doubt() {
    let mut bench = Bench::new(OnceSettings::default());
    let day = Duration::from_hours(24);
    let out = bench.call_aged(1, "a", 3000, Some(day));
    assert_eq!(
        refusal(&out, 1),
        (Certainty::InDoubt, Reason::OutcomeUnknown)
    );
    bench.call_aged(2, "a", 3000, Some(day / 2));
    assert_eq!(sends(&bench.serve()), 1);
    let mut strict = Bench::new(OnceSettings {
        dated_keys: true,
        ..Default::default()
    });
    assert_eq!(
        refusal(&strict.call(1, "a", 3000), 1),
        (Certainty::NotRun, Reason::BadRequest)
    );
    let time = key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").unwrap();
    let since = time
        .duration_since(std::time::SystemTime::UNIX_EPOCH)
        .unwrap();
    assert_eq!(since.as_millis(), 1_645_557_742_000);
    assert_eq!(key_time("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None);
}

#[test]
fn known_keys_are_bounded() {
    let mut bench = Bench::new(OnceSettings {
        keys: 1,
        ..Default::default()
    });
    let mut other = CallRecord::new(key(), hash("a"), owner("x"), Step::Intent);
    other.call.key = "another".into();
    bench.log.push(other.to_text());
    bench.pass(1100);
    bench.serve();
    assert_eq!(
        refusal(&bench.call(1, "a", 3000), 1),
        (Certainty::NotRun, Reason::QueueFull)
    );
}

#[test]
fn bodies_come_back_as_they_were() {
    for body in [&b"text"[..], &[0xff, 0x00, 0x7f], b""] {
        assert_eq!(Body::record(body, 10).bytes().as_deref(), Some(body));
    }
    assert_eq!(Body::record(b"too long", 3).bytes(), None);
}
