//! Streams through daemons as separate processes: each token once, whatever fails.

mod testbed;

use std::{sync::Arc, thread, time::Duration};

use caraway_standin::{EngineFaults, EngineSettings, Relay, RelayFaults, RelayMode, Relays};
use caraway_types::Millis;
use serde_json::json;
use testbed::{
    Plan, Testbed,
    caller::{Streamed, complete, eventually, expected, stream},
};

const MODEL: &str = "adapter-0@v1";
const PROMPT: &str = "banner";
const TOKENS: u32 = 40;

/// Two entries before one engine behind a relay.
struct Bench {
    bed: Testbed,
    relay: Arc<Relay>,
    _relays: Relays,
}

impl Bench {
    fn start() -> Self {
        let mut plan = Plan {
            engines: 1,
            adapters: 1,
            engine: EngineSettings {
                step_us: 10_000,
                report_lag: Millis::new(50),
                ..EngineSettings::default()
            },
            ..Plan::default()
        };
        // Many faults meet few requests here, so the share of retries would be used up.
        plan.retries = json!({ "burst": 100.0 });
        plan.times["first_token_ms"] = json!(800);
        plan.times["between_tokens_ms"] = json!(400);
        let mut bed = Testbed::bare(plan);
        let relays = Relays::start().expect("the relays start");
        let relay = relays.add(bed.engines[0].addr(), 0).expect("a relay");
        bed.fronts.push(relay.addr());
        bed.publish_records();
        bed.add_entry(0);
        bed.add_entry(1);
        bed.wait_ready();
        // Loads the adapter, so that the faults below meet the stream only.
        let ready =
            || complete(bed.entries[0].addr, MODEL, "warm", 1).is_some_and(|a| a.status == 200);
        eventually("the adapter answers", ready);
        Self {
            bed,
            relay: Arc::new(relay),
            _relays: relays,
        }
    }

    /// Streams through entry `i` and runs `fault` once after the given token.
    fn stream(&self, i: usize, after: usize, fault: impl Fn(&Relay) + Send + 'static) -> Streamed {
        let relay = Arc::clone(&self.relay);
        let act = move |count| {
            if count == after {
                fault(&relay);
            }
        };
        stream(self.bed.entries[i].addr, MODEL, PROMPT, TOKENS, act)
    }

    fn faults(&self, faults: EngineFaults) {
        self.bed.engines[0].set_faults(faults);
    }
}

/// Checks that nothing is doubled, lost in the middle or foreign.
fn assert_prefix(streamed: &Streamed) {
    let want = expected(MODEL, PROMPT, TOKENS);
    let count = streamed.tokens.len();
    assert_eq!(streamed.tokens, want[..count], "{streamed:?}");
}

fn assert_whole(streamed: &Streamed) {
    assert_prefix(streamed);
    assert!(
        streamed.whole && streamed.tokens.len() == TOKENS as usize,
        "{streamed:?}"
    );
}

fn mode(mode: RelayMode) -> RelayFaults {
    RelayFaults {
        mode,
        ..RelayFaults::default()
    }
}

/// Closes every connection; new ones work after a moment.
fn break_off(relay: &Relay) {
    relay.set_faults(mode(RelayMode::Closed));
    thread::sleep(Duration::from_millis(30));
    relay.set_faults(mode(RelayMode::Pass));
}

fn silence(relay: &Relay) {
    relay.set_faults(RelayFaults {
        silence: true,
        ..RelayFaults::default()
    });
}

#[test]
fn a_stream_that_breaks_off_resumes() {
    let bench = Bench::start();
    for i in 0..2 {
        for after in [1, 7, 39] {
            assert_whole(&bench.stream(i, after, break_off));
        }
    }
    assert_eq!(bench.bed.violations(), 0);
}

#[test]
fn a_connection_that_goes_silent_is_replaced() {
    let bench = Bench::start();
    for i in 0..2 {
        for after in [1, 20] {
            assert_whole(&bench.stream(i, after, silence));
        }
    }
    silence(&bench.relay);
    assert_whole(&bench.stream(0, 0, |_| ()));
}

#[test]
fn crossed_tokens_reach_nobody_else() {
    let bench = Bench::start();
    bench.faults(EngineFaults {
        cross_tokens: 6,
        ..Default::default()
    });
    let addr = bench.bed.entries[0].addr;
    let other = thread::spawn(move || stream(addr, MODEL, "wraps", TOKENS, |_| ()));
    assert_whole(&bench.stream(0, 0, |_| ()));
    let other = other.join().expect("no panic");
    assert_eq!(other.tokens, expected(MODEL, "wraps", TOKENS), "{other:?}");
}

#[test]
fn an_engine_that_restarts_empty_in_mid_stream_doubles_and_loses_nothing() {
    let bench = Bench::start();
    for i in 0..2 {
        let engine = &bench.bed.engines[0];
        let addr = bench.bed.entries[i].addr;
        let (seen, count) = std::sync::mpsc::channel();
        let caller = thread::spawn(move || {
            stream(addr, MODEL, PROMPT, TOKENS, move |count| {
                let _ = seen.send(count);
            })
        });
        while count.recv().is_ok_and(|count| count < 10) {}
        engine.restart();
        assert_whole(&caller.join().expect("no panic"));
    }
}

#[test]
fn a_run_that_breaks_after_its_first_token_goes_on() {
    let bench = Bench::start();
    bench.faults(EngineFaults {
        break_runs: 1,
        ..Default::default()
    });
    assert_whole(&bench.stream(0, 0, |_| ()));
}

#[test]
fn a_caller_that_leaves_cancels_the_work() {
    let bench = Bench::start();
    let addr = bench.bed.entries[0].addr;
    let answer = testbed::caller::run(move || async move {
        let http = caraway_wire::HttpClient::new().await.expect("a client");
        let body =
            json!({ "model": MODEL, "prompt": "leaver", "max_tokens": 4000, "stream": true });
        let headers = [("x-client-account", "co-op")];
        let body = Some(body.to_string().into());
        let method = ntex::http::Method::POST;
        let call = http.send(method, addr, "/v1/completions", &headers, body);
        let response = call.await.expect("an answer");
        let mut events = caraway_wire::EventStream::new(response);
        events.next().await.is_ok()
    });
    assert!(answer);
    let runs = || bench.bed.engines[0].ledger().runs;
    let ended = || {
        runs()
            .iter()
            .any(|run| &*run.prompt == "leaver" && run.end.is_some())
    };
    eventually("the run is cancelled", ended);
    let run = runs()
        .into_iter()
        .find(|run| &*run.prompt == "leaver")
        .expect("a run");
    assert!(run.generated < 4000, "{run:?}");
}

#[test]
fn an_entry_killed_in_mid_stream_gives_no_wrong_token() {
    let mut bench = Bench::start();
    let addr = bench.bed.entries[1].addr;
    let (seen, count) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        stream(addr, MODEL, PROMPT, TOKENS, move |count| {
            let _ = seen.send(count);
        })
    });
    while count.recv().is_ok_and(|count| count < 5) {}
    bench.bed.entries[0].kill();
    let streamed = caller.join().expect("no panic");
    assert_prefix(&streamed);
    assert!(streamed.whole || streamed.error.is_some(), "{streamed:?}");
    let answers = || complete(addr, MODEL, "after", 1).is_some_and(|a| a.status == 200);
    eventually("the other instance takes over", answers);
}

#[test]
fn a_paused_entry_goes_on_with_the_right_tokens() {
    let bench = Bench::start();
    let addr = bench.bed.entries[0].addr;
    let (seen, count) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        stream(addr, MODEL, PROMPT, TOKENS, move |count| {
            let _ = seen.send(count);
        })
    });
    while count.recv().is_ok_and(|count| count < 5) {}
    bench.bed.entries[0].freeze();
    thread::sleep(Duration::from_secs(2));
    bench.bed.entries[0].thaw();
    assert_whole(&caller.join().expect("no panic"));
}

#[test]
fn a_silent_connection_and_a_restart_together_lose_nothing() {
    let bench = Bench::start();
    let addr = bench.bed.entries[0].addr;
    let (seen, count) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        stream(addr, MODEL, PROMPT, TOKENS, move |count| {
            let _ = seen.send(count);
        })
    });
    while count.recv().is_ok_and(|count| count < 10) {}
    silence(&bench.relay);
    bench.bed.engines[0].restart();
    assert_whole(&caller.join().expect("no panic"));
}
