//! Callers that disconnect before their answer begins.

mod testbed;

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
};

use caraway_standin::EngineFaults;
use testbed::{
    Testbed, TestbedConfig,
    caller::{complete, eventually, expected},
};

#[test]
fn caller_disconnect_before_the_first_token_frees_the_slot() {
    let bed = Testbed::start(TestbedConfig {
        entries: 1,
        engines: 1,
        slots: 1,
        ..TestbedConfig::default()
    });
    let (engine, addr) = (&bed.engines[0], bed.entries[0].addr);
    // The engine accepts the request but generates no token.
    engine.set_faults(EngineFaults {
        stalled: true,
        ..EngineFaults::default()
    });
    let body = r#"{"model":"adapter-0@v1","prompt":"x","max_tokens":4}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-client-account: co-op\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = TcpStream::connect(addr).expect("the daemon listens");
    caller.write_all(head.as_bytes()).expect("the head is sent");
    caller.write_all(body.as_bytes()).expect("the body is sent");
    eventually("the engine has the request", || {
        !engine.ledger().runs.is_empty()
    });
    caller.shutdown(Shutdown::Both).expect("the caller leaves");
    drop(caller);
    eventually("the abandoned run has ended", || {
        engine.set_faults(EngineFaults::default());
        engine.ledger().runs.iter().all(|run| run.end.is_some())
    });
    // The engine has one slot, so another adapter is served only if the first one can be evicted.
    let answer = complete(addr, "adapter-1@v1", "y", 2).expect("an answer");
    assert_eq!(
        answer.text(),
        expected("adapter-1@v1", "y", 2).concat(),
        "{}",
        answer.body
    );
    assert_eq!(bed.violations(), 0);
}
