//! Tests of single failures that a call with an idempotency key can meet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_calls::{
    AppendResult, Body, CallCoordinator, CallKey, CallRecord, CallTable, CoordinatorAction,
    CoordinatorSettings, KeyState, KeyedCall, LogPage, LogRecord, LookupResult, Outcome, Owner,
    RecordedAnswer, Reply, RequestHash, SendResult, Step, key_timestamp,
};
use caraway_types::{Certainty, Reason, Ticket};

/// One instance with a log that works.
struct Fixture {
    now: Instant,
    coordinator: CallCoordinator,
    log: Vec<Arc<str>>,
    oldest: usize,
    /// Log actions that have not been carried out.
    log_actions: Vec<CoordinatorAction>,
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

fn answer() -> RecordedAnswer {
    let body = Body::encode(b"deposit 7", 1000);
    RecordedAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body,
    }
}

impl Fixture {
    fn new(settings: CoordinatorSettings) -> Self {
        let mut fixture = Self {
            now: Instant::now(),
            coordinator: CallCoordinator::new(settings, "me".into(), 1, 9),
            log: Vec::new(),
            oldest: 0,
            log_actions: Vec::new(),
        };
        fixture.advance(0);
        fixture.run_log();
        fixture
    }

    fn call(&mut self, ticket: Ticket, body: &str, ms: u64) -> Vec<CoordinatorAction> {
        self.call_aged(ticket, body, ms, None)
    }

    fn call_aged(
        &mut self,
        ticket: Ticket,
        body: &str,
        ms: u64,
        age: Option<Duration>,
    ) -> Vec<CoordinatorAction> {
        let deadline = self.now + Duration::from_millis(ms);
        let call = KeyedCall {
            ticket,
            key: key(),
            hash: hash(body),
            age,
            deadline,
        };
        let mut out = Vec::new();
        self.coordinator.on_call(self.now, call, &mut out);
        self.queue_log_actions(out)
    }

    fn advance(&mut self, ms: u64) -> Vec<CoordinatorAction> {
        self.now += Duration::from_millis(ms);
        let mut out = Vec::new();
        self.coordinator.on_tick(self.now, &mut out);
        self.queue_log_actions(out)
    }

    /// Queues the log actions and returns the others.
    fn queue_log_actions(&mut self, out: Vec<CoordinatorAction>) -> Vec<CoordinatorAction> {
        let is_log = |a: &CoordinatorAction| {
            matches!(
                a,
                CoordinatorAction::Append(_) | CoordinatorAction::Read { .. }
            )
        };
        let (log, rest) = out.into_iter().partition(is_log);
        self.log_actions.extend::<Vec<_>>(log);
        rest
    }

    /// Carries out log actions for 400 ms and returns the other actions.
    fn run_log(&mut self) -> Vec<CoordinatorAction> {
        let mut rest = Vec::new();
        for _ in 0..20 {
            let mut out = Vec::new();
            for action in std::mem::take(&mut self.log_actions) {
                match action {
                    CoordinatorAction::Append(records) => {
                        self.log.extend(records);
                        let result = AppendResult::Done(self.log.len() as u64);
                        self.coordinator.on_append(self.now, result, &mut out);
                    }
                    CoordinatorAction::Read { from, .. } => {
                        let page = self.page(from);
                        self.coordinator.on_page(self.now, &page, &mut out);
                    }
                    other => panic!("not for the log: {other:?}"),
                }
            }
            rest.extend(self.queue_log_actions(out));
            rest.extend(self.advance(20));
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

    fn finish_send(&mut self, nonce: u64, result: SendResult) -> Vec<CoordinatorAction> {
        let mut out = Vec::new();
        self.coordinator
            .on_send_result(self.now, nonce, result, &mut out);
        let mut out = self.queue_log_actions(out);
        out.extend(self.run_log());
        out
    }
}

fn send_count(out: &[CoordinatorAction]) -> usize {
    out.iter()
        .filter(|a| matches!(a, CoordinatorAction::Send { .. }))
        .count()
}

fn refusal_of(out: &[CoordinatorAction], of: Ticket) -> (Certainty, Reason) {
    let mut found = out.iter().filter_map(|action| match action {
        CoordinatorAction::Reply {
            ticket,
            reply: Reply::Refuse(r),
        } if *ticket == of => Some((r.certainty, r.reason)),
        _ => None,
    });
    found
        .next()
        .unwrap_or_else(|| panic!("no refusal in {out:?}"))
}

fn is_answered(out: &[CoordinatorAction], of: Ticket) -> bool {
    out.contains(&CoordinatorAction::Reply {
        ticket: of,
        reply: Reply::Answer(answer()),
    })
}

#[test]
fn a_duplicate_request_gets_the_recorded_answer() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    fixture.call(1, "a", 3000);
    let out = fixture.run_log();
    assert_eq!(send_count(&out), 1);
    assert!(is_answered(
        &fixture.finish_send(1, SendResult::Answered(answer())),
        1
    ));
    assert!(is_answered(&fixture.call(2, "a", 3000), 2));
    assert_eq!(
        refusal_of(&fixture.call(3, "b", 3000), 3),
        (Certainty::NotRun, Reason::KeyReused)
    );
}

#[test]
fn a_duplicate_intent_is_not_sent_again() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    fixture.call(1, "a", 60_000);
    let out = fixture.run_log();
    assert_eq!(send_count(&out), 1);
    let duplicate = fixture.log[0].clone();
    fixture.log.push(duplicate);
    fixture.advance(1100);
    assert_eq!(send_count(&fixture.run_log()), 0);
}

#[test]
fn an_intent_read_back_after_the_send_window_is_not_sent() {
    let settings = CoordinatorSettings {
        log_wait: caraway_types::Millis::new(60_000),
        ..Default::default()
    };
    let mut fixture = Fixture::new(settings);
    fixture.call(1, "a", 60_000);
    fixture.now += Duration::from_secs(6);
    let out = fixture.run_log();
    assert_eq!(send_count(&out), 0);
    assert_eq!(refusal_of(&out, 1), (Certainty::NotRun, Reason::Deadline));
    assert_eq!(
        fixture.coordinator.table().state(&key()),
        Some(&KeyState::Released(Owner {
            instance: "me".into(),
            incarnation: 1,
            process: 9,
            nonce: 1,
        }))
    );
}

#[test]
fn an_expired_request_is_in_doubt_while_another_waits() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    fixture.call(1, "a", 100);
    fixture.call(2, "a", 1500);
    let out = fixture.advance(200);
    assert_eq!(refusal_of(&out, 1), (Certainty::InDoubt, Reason::Deadline));
    assert_eq!(send_count(&fixture.run_log()), 1);
}

#[test]
fn without_the_log_a_call_is_refused_as_not_run() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    fixture.call(1, "a", 30_000);
    fixture.log_actions.clear();
    let mut out = Vec::new();
    fixture
        .coordinator
        .on_append(fixture.now, AppendResult::Failed, &mut out);
    fixture.coordinator.on_read_failed(fixture.now, &mut out);
    let out = fixture.advance(2000);
    assert_eq!(
        refusal_of(&out, 1),
        (Certainty::NotRun, Reason::LogUnavailable)
    );
    let out = fixture.call(2, "a", 30_000);
    assert_eq!(
        refusal_of(&out, 2),
        (Certainty::NotRun, Reason::LogUnavailable)
    );
}

#[test]
fn an_intent_of_a_lost_instance_stays_in_doubt() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    fixture.log.push(record("gone", Step::Intent));
    fixture.call(1, "a", 30_000);
    let mut out = fixture.run_log();
    out.extend(fixture.advance(2000));
    assert_eq!(send_count(&out), 0);
    assert_eq!(
        refusal_of(&out, 1),
        (Certainty::InDoubt, Reason::OutcomeUnknown)
    );
    let mut out = Vec::new();
    fixture
        .coordinator
        .on_lookup(fixture.now, 5, key(), &mut out);
    let mut out = fixture.queue_log_actions(out);
    out.extend(fixture.run_log());
    assert!(out.contains(&CoordinatorAction::AnswerLookup {
        ticket: 5,
        result: LookupResult::Pending
    }));
}

#[test]
fn a_waiting_call_is_sent_after_its_key_is_released() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    fixture.log.push(record("other", Step::Intent));
    fixture.call(1, "a", 30_000);
    assert_eq!(send_count(&fixture.run_log()), 0);
    fixture
        .log
        .push(record("other", Step::Outcome(Outcome::NotRun)));
    fixture.advance(100);
    assert_eq!(send_count(&fixture.run_log()), 1);
}

#[test]
fn an_intent_without_effect_keeps_its_key_known() {
    let mut table = CallTable::new(1000);
    table.apply(0, &record("a", Step::Intent));
    table.apply(1, &record("b", Step::Intent));
    table.trim(1);
    table.apply(2, &record("c", Step::Intent));
    assert_eq!(table.state(&key()), Some(&KeyState::Intended(owner("a"))));
    table.trim(3);
    assert!(table.is_empty());
}

#[test]
fn an_unknown_step_of_a_newer_schema_occupies_its_key() {
    let mut table = CallTable::new(1000);
    let text = record("a", Step::Intent);
    let newer = text
        .replace("\"schema\":1", "\"schema\":2")
        .replace("\"intent\"", "{\"paused\":3}");
    table.apply(0, &newer.into());
    table.apply(1, &text);
    assert_eq!(
        table.state(&key()),
        Some(&KeyState::Intended(Owner::default()))
    );
    table.apply(2, &"not a record".into());
    assert_eq!(table.parse_failures(), 1);
}

#[test]
fn an_evicted_answer_is_read_from_the_log() {
    let mut fixture = Fixture::new(CoordinatorSettings {
        body_memory: 4,
        ..Default::default()
    });
    fixture
        .log
        .push(record("other", Step::Outcome(Outcome::Answered(answer()))));
    fixture.advance(1100);
    fixture.run_log();
    assert_eq!(
        fixture.coordinator.table().state(&key()),
        Some(&KeyState::Evicted(0))
    );
    fixture.advance(50);
    fixture.call(1, "a", 3000);
    assert!(is_answered(&fixture.run_log(), 1));
}

#[test]
fn an_unknown_key_past_its_life_is_in_doubt() {
    let mut fixture = Fixture::new(CoordinatorSettings::default());
    let day = Duration::from_hours(24);
    let out = fixture.call_aged(1, "a", 3000, Some(day));
    assert_eq!(
        refusal_of(&out, 1),
        (Certainty::InDoubt, Reason::OutcomeUnknown)
    );
    fixture.call_aged(2, "a", 3000, Some(day / 2));
    assert_eq!(send_count(&fixture.run_log()), 1);
    let mut strict = Fixture::new(CoordinatorSettings {
        require_timestamp: true,
        ..Default::default()
    });
    assert_eq!(
        refusal_of(&strict.call(1, "a", 3000), 1),
        (Certainty::NotRun, Reason::BadRequest)
    );
    let time = key_timestamp("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").unwrap();
    let since = time
        .duration_since(std::time::SystemTime::UNIX_EPOCH)
        .unwrap();
    assert_eq!(since.as_millis(), 1_645_557_742_000);
    assert_eq!(key_timestamp("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None);
}

#[test]
fn known_keys_are_bounded() {
    let mut fixture = Fixture::new(CoordinatorSettings {
        max_keys: 1,
        ..Default::default()
    });
    let mut other = CallRecord::new(key(), hash("a"), owner("x"), Step::Intent);
    other.call.key = "another".into();
    fixture.log.push(other.to_text());
    fixture.advance(1100);
    fixture.run_log();
    assert_eq!(
        refusal_of(&fixture.call(1, "a", 3000), 1),
        (Certainty::NotRun, Reason::QueueFull)
    );
}

#[test]
fn bodies_survive_encoding() {
    for body in [&b"text"[..], &[0xff, 0x00, 0x7f], b""] {
        assert_eq!(Body::encode(body, 10).decode().as_deref(), Some(body));
    }
    assert_eq!(Body::encode(b"too long", 3).decode(), None);
}
