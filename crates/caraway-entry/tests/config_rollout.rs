//! Tests that configuration records alone roll an adapter version out and back under load.

mod testbed;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
};

use caraway_standin::EngineSettings;
use caraway_wire::log::CONFIG_STREAM;
use serde_json::json;
use testbed::{
    Testbed, TestbedConfig,
    caller::{WAIT_TIMEOUT, complete, eventually, expected, stream},
};

/// Streams per instance that are open during a change.
const STREAMS_PER_ENTRY: usize = 4;
/// Length of each stream, in tokens.
const STREAM_TOKENS: u32 = 120;

fn plan() -> TestbedConfig {
    let plan = TestbedConfig::default();
    TestbedConfig {
        engine: EngineSettings {
            step_us: 5_000,
            ..plan.engine.clone()
        },
        ..plan
    }
}

/// Publishes a record that makes `adapter-0` serve a version.
fn publish_version(bed: &Testbed, version: &str, id: &str) {
    let page = bed.log.page(CONFIG_STREAM);
    let key_field = r#""key":"adapter-0","#;
    let last = page.records.iter().rfind(|r| r.data.contains(key_field));
    let base = last.map(|r| r.offset);
    let record = json!({
        "schema": 2, "kind": "adapter", "key": "adapter-0", "base": base, "id": id,
        "body": {"serve": version},
    });
    bed.log.append(CONFIG_STREAM, &[record.to_string().into()]);
}

/// Waits until an instance answers `adapter-0` requests from a version.
fn wait_answers_from(addr: SocketAddr, version: &str) {
    let model = format!("adapter-0@{version}");
    eventually("an instance answers from the version", || {
        complete(addr, "adapter-0", "note", 2).is_some_and(|a| a.json()["model"] == model)
    });
}

/// Opens streams on every instance, changes the served version, and checks that each open stream
/// still gets all its tokens from the old one.
fn change_version(bed: &Testbed, from: &str, to: &str) {
    let (sender, receiver) = mpsc::channel();
    let mut streams = Vec::new();
    for entry in &bed.entries {
        for n in 0..STREAMS_PER_ENTRY {
            let (addr, sender) = (entry.addr, sender.clone());
            streams.push(thread::spawn(move || {
                let prompt = format!("banner {n}");
                let on_token = move |count| {
                    if count == 1 {
                        sender.send(()).unwrap();
                    }
                };
                (
                    prompt.clone(),
                    stream(addr, "adapter-0", &prompt, STREAM_TOKENS, on_token),
                )
            }));
        }
    }
    drop(sender);
    for _ in &streams {
        // An error here means that a stream ended without a token; the assertion below reports it.
        let _ = receiver.recv_timeout(WAIT_TIMEOUT);
    }
    publish_version(bed, to, &format!("serve-{from}-{to}"));
    for entry in &bed.entries {
        wait_answers_from(entry.addr, to);
    }
    let model = format!("adapter-0@{from}");
    for stream in streams {
        let (prompt, streamed) = stream.join().unwrap();
        assert!(streamed.is_complete, "{streamed:?}");
        assert_eq!(streamed.tokens, expected(&model, &prompt, STREAM_TOKENS));
    }
}

#[test]
fn a_version_is_rolled_out_and_back_under_load() {
    let bed = Testbed::start(plan());
    let record = json!({
        "schema": 1, "kind": "adapter_version", "key": "adapter-0@v2", "id": "v2", "body": {},
    });
    bed.log.append(CONFIG_STREAM, &[record.to_string().into()]);
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = bed
        .entries
        .iter()
        .map(|entry| {
            let (addr, done) = (entry.addr, Arc::clone(&done));
            thread::spawn(move || {
                let mut models: Vec<String> = Vec::new();
                while !done.load(Ordering::Acquire) {
                    let Some(answer) = complete(addr, "adapter-0", "lot", 2) else {
                        panic!("no answer");
                    };
                    assert_eq!(answer.status, 200, "{}", answer.body);
                    let model = answer.json()["model"].as_str().unwrap().to_owned();
                    assert_eq!(answer.text(), expected(&model, "lot", 2).concat());
                    if models.last() != Some(&model) {
                        models.push(model);
                    }
                }
                models
            })
        })
        .collect();
    change_version(&bed, "v1", "v2");
    change_version(&bed, "v2", "v1");
    done.store(true, Ordering::Release);
    for caller in callers {
        let models = caller.join().unwrap();
        assert_eq!(models, ["adapter-0@v1", "adapter-0@v2", "adapter-0@v1"]);
    }
    assert_eq!(bed.violations(), 0);
}
