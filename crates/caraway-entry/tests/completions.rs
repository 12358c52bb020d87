//! Completions from caller to engine, through entry instances as separate processes.

mod testbed;

use testbed::{
    Testbed, TestbedConfig,
    caller::{complete, expected, get, send, stream},
};

#[test]
fn each_instance_answers_from_the_named_adapter_version() {
    let bed = Testbed::start(TestbedConfig::default());
    for (i, entry) in bed.entries.iter().enumerate() {
        for n in 0..6 {
            let (model, prompt) = (format!("adapter-{n}@v1"), format!("banner {i} {n}"));
            let answer = complete(entry.addr, &model, &prompt, 5).expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.text(), expected(&model, &prompt, 5).concat());
            assert_eq!(answer.json()["model"], model);
            let streamed = stream(entry.addr, &model, &prompt, 7, |_| ());
            assert!(streamed.is_complete, "{streamed:?}");
            assert_eq!(streamed.tokens, expected(&model, &prompt, 7));
        }
    }
    assert_eq!(bed.violations(), 0);
    for entry in &bed.entries {
        let metrics = get(entry.addr, "/metrics").expect("an answer").body;
        assert!(!metrics.contains("result=\"unknown\""), "{metrics}");
    }
}

#[test]
fn concurrent_callers_all_get_their_answers() {
    let bed = Testbed::start(TestbedConfig::default());
    let addr = bed.entries[0].addr;
    let callers: Vec<_> = (0..24)
        .map(|n| {
            std::thread::spawn(move || {
                let (model, prompt) = (format!("adapter-{}@v1", n % 2), format!("caller {n}"));
                let streamed = stream(addr, &model, &prompt, 8, |_| ());
                assert_eq!(streamed.tokens, expected(&model, &prompt, 8));
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("the caller has its answer");
    }
}

#[test]
fn invalid_input_gets_a_typed_refusal_and_runs_nothing() {
    let bed = Testbed::start(TestbedConfig::default());
    let addr = bed.entries[0].addr;
    let account = ("x-client-account", "co-op");
    let valid_body = r#"{"model":"adapter-0@v1","prompt":"x","max_tokens":2}"#;
    let cases = [
        (vec![], valid_body, 400, "bad_request"),
        (
            vec![("x-client-account", "nobody")],
            valid_body,
            401,
            "unknown_account",
        ),
        (
            vec![account, ("x-class", "fast")],
            valid_body,
            400,
            "bad_request",
        ),
        (
            vec![account, ("x-deadline-ms", "soon")],
            valid_body,
            400,
            "bad_request",
        ),
        (
            vec![account, ("x-request-id", "a b")],
            valid_body,
            400,
            "bad_request",
        ),
        (
            vec![account],
            r#"{"model":"adapter-0@v1""#,
            400,
            "bad_request",
        ),
        (
            vec![account],
            r#"{"model":"adapter-0@v9","prompt":"x"}"#,
            404,
            "unknown_adapter",
        ),
        (
            vec![account],
            r#"{"model":"nothing","prompt":"x"}"#,
            404,
            "unknown_adapter",
        ),
        (
            vec![account],
            r#"{"model":"adapter-0@v1"}"#,
            400,
            "bad_request",
        ),
        (
            vec![account],
            r#"{"model":"adapter-0@v1","prompt":"x","max_tokens":0}"#,
            400,
            "bad_request",
        ),
    ];
    for (headers, body, status, reason) in cases {
        let answer = send(
            "POST",
            addr,
            "/v1/completions",
            &headers,
            Some(body.to_owned()),
        );
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, status, "{headers:?} {body} {}", answer.body);
        assert_eq!(
            answer.json()["error"]["reason"],
            reason,
            "{headers:?} {body}"
        );
        assert_eq!(answer.certainty.as_deref(), Some("not_run"));
    }
    let large = format!(
        r#"{{"model":"adapter-0@v1","prompt":"{}"}}"#,
        "x".repeat(2 << 20)
    );
    let answer = send("POST", addr, "/v1/completions", &[account], Some(large));
    assert_eq!(answer.expect("an answer").status, 413);
    let runs: usize = bed.engines.iter().map(|e| e.ledger().runs.len()).sum();
    assert_eq!(runs, 0);
    assert_eq!(
        complete(addr, "adapter-0", "x", 2)
            .expect("an answer")
            .status,
        200
    );
}
