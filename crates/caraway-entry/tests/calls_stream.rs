//! Streamed completions through entry instances as separate processes: each token arrives exactly
//! once, also after faults of connections, engines and instances.

mod testbed;

use std::{sync::Arc, thread, time::Duration};

use caraway_standin::{EngineFaults, EngineSettings, Relay, RelayFaults, RelayMode, Relays};
use caraway_types::Millis;
use serde_json::json;
use testbed::{
    Testbed, TestbedConfig,
    caller::{Streamed, complete, eventually, expected, stream},
};

const MODEL: &str = "adapter-0@v1";
const PROMPT: &str = "banner";
const TOKENS: u32 = 40;

/// Two entry instances and one engine behind a relay, which breaks or silences connections.
struct StreamTestbed {
    bed: Testbed,
    relay: Arc<Relay>,
    _relays: Relays,
}

impl StreamTestbed {
    fn start() -> Self {
        let mut config = TestbedConfig {
            engines: 1,
            adapters: 1,
            engine: EngineSettings {
                step_us: 10_000,
                report_lag: Millis::new(50),
                ..EngineSettings::default()
            },
            ..TestbedConfig::default()
        };
        // Faults are frequent and requests few here, which would exhaust the default retry budget.
        config.retries = json!({ "burst": 100.0 });
        config.times["first_token_ms"] = json!(800);
        config.times["between_tokens_ms"] = json!(400);
        let mut bed = Testbed::start_standins(config);
        let relays = Relays::start().expect("the relays start");
        let relay = relays.add(bed.engines[0].addr(), 0).expect("a relay");
        bed.engine_relays.push(relay.addr());
        bed.publish_records();
        bed.add_entry(0);
        bed.add_entry(1);
        bed.wait_ready();
        // Loads the adapter first, so that the faults of the tests affect only the stream.
        let is_served =
            || complete(bed.entries[0].addr, MODEL, "warm", 1).is_some_and(|a| a.status == 200);
        eventually("the adapter answers", is_served);
        Self {
            bed,
            relay: Arc::new(relay),
            _relays: relays,
        }
    }

    /// Streams through entry `i` and calls `inject_fault` when `after` tokens have arrived.
    fn stream(
        &self,
        i: usize,
        after: usize,
        inject_fault: impl Fn(&Relay) + Send + 'static,
    ) -> Streamed {
        let relay = Arc::clone(&self.relay);
        let on_token = move |count| {
            if count == after {
                inject_fault(&relay);
            }
        };
        stream(self.bed.entries[i].addr, MODEL, PROMPT, TOKENS, on_token)
    }

    fn set_engine_faults(&self, faults: EngineFaults) {
        self.bed.engines[0].set_faults(faults);
    }
}

/// Checks that the tokens are a prefix of the expected answer: none repeated, skipped or wrong.
fn assert_prefix(streamed: &Streamed) {
    let expected_tokens = expected(MODEL, PROMPT, TOKENS);
    let count = streamed.tokens.len();
    assert_eq!(streamed.tokens, expected_tokens[..count], "{streamed:?}");
}

/// Checks that the answer is correct and complete.
fn assert_complete(streamed: &Streamed) {
    assert_prefix(streamed);
    assert!(
        streamed.is_complete && streamed.tokens.len() == TOKENS as usize,
        "{streamed:?}"
    );
}

fn relay_faults(mode: RelayMode) -> RelayFaults {
    RelayFaults {
        mode,
        ..RelayFaults::default()
    }
}

/// Closes all connections; new ones are accepted after a short delay.
fn close_connections(relay: &Relay) {
    relay.set_faults(relay_faults(RelayMode::Closed));
    thread::sleep(Duration::from_millis(30));
    relay.set_faults(relay_faults(RelayMode::Pass));
}

/// Keeps the open connections open but passes no more data on them; new connections work.
fn silence_connections(relay: &Relay) {
    relay.set_faults(RelayFaults {
        silence: true,
        ..RelayFaults::default()
    });
}

#[test]
fn broken_stream_resumes() {
    let setup = StreamTestbed::start();
    for i in 0..2 {
        for after in [1, 7, 39] {
            assert_complete(&setup.stream(i, after, close_connections));
        }
    }
    assert_eq!(setup.bed.violations(), 0);
}

#[test]
fn silent_connection_is_replaced() {
    let setup = StreamTestbed::start();
    for i in 0..2 {
        for after in [1, 20] {
            assert_complete(&setup.stream(i, after, silence_connections));
        }
    }
    silence_connections(&setup.relay);
    assert_complete(&setup.stream(0, 0, |_| ()));
}

/// The engine sends tokens of one run to the caller of another one in the same batch.
#[test]
fn misdelivered_tokens_reach_no_other_caller() {
    let setup = StreamTestbed::start();
    setup.set_engine_faults(EngineFaults {
        cross_tokens: 6,
        ..Default::default()
    });
    let addr = setup.bed.entries[0].addr;
    let other = thread::spawn(move || stream(addr, MODEL, "wraps", TOKENS, |_| ()));
    assert_complete(&setup.stream(0, 0, |_| ()));
    let other = other.join().expect("no panic");
    assert_eq!(other.tokens, expected(MODEL, "wraps", TOKENS), "{other:?}");
}

/// The engine restarts without its loads, so the answer has to be generated again from its start.
#[test]
fn engine_restart_during_a_stream_neither_repeats_nor_loses_tokens() {
    let setup = StreamTestbed::start();
    for i in 0..2 {
        let engine = &setup.bed.engines[0];
        let addr = setup.bed.entries[i].addr;
        let (sender, counts) = std::sync::mpsc::channel();
        let caller = thread::spawn(move || {
            stream(addr, MODEL, PROMPT, TOKENS, move |count| {
                let _ = sender.send(count);
            })
        });
        while counts.recv().is_ok_and(|count| count < 10) {}
        engine.restart();
        assert_complete(&caller.join().expect("no panic"));
    }
}

#[test]
fn run_that_fails_after_its_first_token_is_continued() {
    let setup = StreamTestbed::start();
    setup.set_engine_faults(EngineFaults {
        break_runs: 1,
        ..Default::default()
    });
    assert_complete(&setup.stream(0, 0, |_| ()));
}

#[test]
fn caller_disconnect_cancels_the_run() {
    let setup = StreamTestbed::start();
    let addr = setup.bed.entries[0].addr;
    let has_event = testbed::caller::block_on_thread(move || async move {
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
    assert!(has_event);
    let runs = || setup.bed.engines[0].ledger().runs;
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
fn killing_an_instance_during_a_stream_delivers_no_wrong_token() {
    let mut setup = StreamTestbed::start();
    let addr = setup.bed.entries[1].addr;
    let (sender, counts) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        stream(addr, MODEL, PROMPT, TOKENS, move |count| {
            let _ = sender.send(count);
        })
    });
    while counts.recv().is_ok_and(|count| count < 5) {}
    setup.bed.entries[0].kill();
    let streamed = caller.join().expect("no panic");
    assert_prefix(&streamed);
    assert!(
        streamed.is_complete || streamed.error.is_some(),
        "{streamed:?}"
    );
    let is_served = || complete(addr, MODEL, "after", 1).is_some_and(|a| a.status == 200);
    eventually("the other instance takes over", is_served);
}

/// The instance is paused for longer than its progress timeout while tokens arrive.
#[test]
fn paused_instance_continues_with_the_right_tokens() {
    let setup = StreamTestbed::start();
    let addr = setup.bed.entries[0].addr;
    let (sender, counts) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        stream(addr, MODEL, PROMPT, TOKENS, move |count| {
            let _ = sender.send(count);
        })
    });
    while counts.recv().is_ok_and(|count| count < 5) {}
    setup.bed.entries[0].freeze();
    thread::sleep(Duration::from_secs(2));
    setup.bed.entries[0].thaw();
    assert_complete(&caller.join().expect("no panic"));
}

#[test]
fn silent_connection_and_engine_restart_together_lose_no_token() {
    let setup = StreamTestbed::start();
    let addr = setup.bed.entries[0].addr;
    let (sender, counts) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        stream(addr, MODEL, PROMPT, TOKENS, move |count| {
            let _ = sender.send(count);
        })
    });
    while counts.recv().is_ok_and(|count| count < 10) {}
    silence_connections(&setup.relay);
    setup.bed.engines[0].restart();
    assert_complete(&caller.join().expect("no panic"));
}
