//! Roll-out and roll-back of an adapter version under load, by records only.

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

/// Streams that are open at each change.
const STREAMS: usize = 4;
/// Tokens of each stream.
const TOKENS: u32 = 120;

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

/// Publishes that `adapter-0` serves a version.
fn serve(bed: &Testbed, version: &str, id: &str) {
    let page = bed.log.page(CONFIG_STREAM);
    let is_adapter = r#""key":"adapter-0","#;
    let last = page.records.iter().rfind(|r| r.data.contains(is_adapter));
    let base = last.map(|r| r.offset);
    let record = json!({
        "schema": 2, "kind": "adapter", "key": "adapter-0", "base": base, "id": id,
        "body": {"serve": version},
    });
    bed.log.append(CONFIG_STREAM, &[record.to_string().into()]);
}

/// Waits until an instance answers from a version.
fn answers_from(addr: SocketAddr, version: &str) {
    let model = format!("adapter-0@{version}");
    eventually("an instance answers from the version", || {
        complete(addr, "adapter-0", "note", 2).is_some_and(|a| a.json()["model"] == model)
    });
}

/// Opens streams on every instance, changes the version, and checks that they end on the old one.
fn change(bed: &Testbed, from: &str, to: &str) {
    let (tell, told) = mpsc::channel();
    let mut streams = Vec::new();
    for entry in &bed.entries {
        for n in 0..STREAMS {
            let (addr, tell) = (entry.addr, tell.clone());
            streams.push(thread::spawn(move || {
                let prompt = format!("banner {n}");
                let first = move |count| {
                    if count == 1 {
                        tell.send(()).unwrap();
                    }
                };
                (
                    prompt.clone(),
                    stream(addr, "adapter-0", &prompt, TOKENS, first),
                )
            }));
        }
    }
    drop(tell);
    for _ in &streams {
        // An error says that a stream ended without a token, which its check below reports.
        let _ = told.recv_timeout(WAIT_TIMEOUT);
    }
    serve(bed, to, &format!("serve-{from}-{to}"));
    for entry in &bed.entries {
        answers_from(entry.addr, to);
    }
    let model = format!("adapter-0@{from}");
    for stream in streams {
        let (prompt, streamed) = stream.join().unwrap();
        assert!(streamed.is_complete, "{streamed:?}");
        assert_eq!(streamed.tokens, expected(&model, &prompt, TOKENS));
    }
}

#[test]
fn a_version_is_rolled_out_and_back_under_load() {
    let bed = Testbed::start(plan());
    let record = json!({
        "schema": 1, "kind": "adapter_version", "key": "adapter-0@v2", "id": "v2", "body": {},
    });
    bed.log.append(CONFIG_STREAM, &[record.to_string().into()]);
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = bed
        .entries
        .iter()
        .map(|entry| {
            let (addr, over) = (entry.addr, Arc::clone(&over));
            thread::spawn(move || {
                let mut models: Vec<String> = Vec::new();
                while !over.load(Ordering::Acquire) {
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
    change(&bed, "v1", "v2");
    change(&bed, "v2", "v1");
    over.store(true, Ordering::Release);
    for caller in callers {
        let models = caller.join().unwrap();
        assert_eq!(models, ["adapter-0@v1", "adapter-0@v2", "adapter-0@v1"]);
    }
    assert_eq!(bed.violations(), 0);
}
