//! Tests of the engine stand-in and of each of its faults.

use crate::common::{get, load, post, wait_until};
use crate::completions::{cancel, completion_request, start_completion, unload};
use caraway_standin::{Engine, EngineFaults, EngineSettings, RunEnd, Violation, token};
use caraway_types::{AdapterRef, Millis};
use caraway_wire::engine::{CompletionRequest, EngineError, EngineErrorKind, EngineStatus};
use ntex::http::StatusCode;

/// Returns settings with short steps and a short report lag.
fn fast_settings() -> EngineSettings {
    EngineSettings {
        step_us: 500,
        fill_us: 10,
        prefill_us: 1,
        report_lag: Millis::new(30),
        ..EngineSettings::default()
    }
}

/// Starts an engine with version v1 of the adapter `signs` loaded as `l1`.
async fn start_with_load(settings: EngineSettings) -> Engine {
    let engine = Engine::start(settings).unwrap();
    assert_eq!(
        load(engine.addr(), "l1", "signs@v1", 1).await,
        StatusCode::OK
    );
    engine
}

#[ntex::test]
async fn streams_the_tokens_of_the_named_adapter() {
    let engine = start_with_load(fast_settings()).await;
    let mut tokens =
        start_completion(engine.addr(), &completion_request("a", "l1", "hello", 5)).await;
    let (chunks, complete) = tokens.read_to_end().await;
    assert!(complete);
    let adapter = AdapterRef::new("signs", "v1");
    for (index, chunk) in (0..).zip(&chunks) {
        assert_eq!(chunk.index, index);
        assert_eq!(*chunk.text, token(&adapter, "hello", index));
        assert_eq!((&*chunk.request_id, &*chunk.model), ("a", "l1"));
    }
    assert_eq!(chunks.len(), 5);
    assert_eq!(chunks[4].finish_reason.as_deref(), Some("length"));
    let run = &engine.ledger().runs[0];
    assert_eq!((run.generated, run.end), (5, Some(RunEnd::Finished)));
}

#[ntex::test]
async fn refuses_unknown_loads_and_bad_bodies() {
    let engine = start_with_load(fast_settings()).await;
    let unknown = post(
        engine.addr(),
        "/v1/completions",
        &completion_request("a", "l2", "p", 1),
        &[],
    )
    .await
    .unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let error: EngineError = unknown.json();
    assert_eq!(error.error, EngineErrorKind::UnknownModel);
    let bad = post(engine.addr(), "/v1/completions", &"text", &[])
        .await
        .unwrap();
    assert_eq!(bad.json::<EngineError>().error, EngineErrorKind::BadRequest);
    assert!(engine.ledger().runs.is_empty());
}

#[ntex::test]
async fn limits_the_slots_and_accepts_repeated_orders() {
    let engine = start_with_load(EngineSettings {
        slots: 2,
        ..fast_settings()
    })
    .await;
    let addr = engine.addr();
    assert_eq!(load(addr, "l1", "signs@v1", 1).await, StatusCode::OK);
    assert_eq!(
        load(addr, "l1", "signs@v2", 1).await,
        StatusCode::BAD_REQUEST
    );
    assert_eq!(load(addr, "l2", "signs@v2", 1).await, StatusCode::OK);
    assert_eq!(load(addr, "l3", "signs@v3", 1).await, StatusCode::CONFLICT);
    assert_eq!(unload(addr, "l2", 1).await, StatusCode::OK);
    assert_eq!(unload(addr, "l2", 1).await, StatusCode::OK);
    assert_eq!(load(addr, "l3", "signs@v3", 1).await, StatusCode::OK);
}

#[ntex::test]
async fn checks_fencing_tokens_only_if_configured() {
    let checking = start_with_load(fast_settings()).await;
    assert_eq!(load(checking.addr(), "l2", "a@v1", 9).await, StatusCode::OK);
    let stale = StatusCode::PRECONDITION_FAILED;
    assert_eq!(load(checking.addr(), "l3", "b@v1", 8).await, stale);
    assert_eq!(unload(checking.addr(), "l2", 8).await, stale);
    let ignoring = start_with_load(EngineSettings {
        checks_fencing: false,
        ..fast_settings()
    })
    .await;
    assert_eq!(load(ignoring.addr(), "l2", "a@v1", 9).await, StatusCode::OK);
    assert_eq!(unload(ignoring.addr(), "l2", 8).await, StatusCode::OK);
}

#[ntex::test]
async fn resumes_a_disconnected_attempt_without_duplicate_tokens() {
    let engine = start_with_load(fast_settings()).await;
    let request = completion_request("a", "l1", "hello", 60);
    let mut first = start_completion(engine.addr(), &request).await;
    for _ in 0..3 {
        first.next_token().await.unwrap();
    }
    drop(first);
    let resume = CompletionRequest {
        resume_from: 3,
        ..request
    };
    let (chunks, complete) = start_completion(engine.addr(), &resume)
        .await
        .read_to_end()
        .await;
    assert!(complete);
    let indices: Vec<u32> = chunks.iter().map(|c| c.index).collect();
    assert_eq!(indices, (3..60).collect::<Vec<_>>());
    let ledger = engine.ledger();
    assert_eq!(ledger.runs.len(), 1);
    assert_eq!(ledger.runs[0].generated, 60);
}

#[ntex::test]
async fn abandons_an_attempt_that_is_not_resumed_in_time() {
    let engine = start_with_load(EngineSettings {
        resume_window: Millis::new(50),
        ..fast_settings()
    })
    .await;
    let mut tokens = start_completion(
        engine.addr(),
        &completion_request("a", "l1", "p", 1_000_000),
    )
    .await;
    tokens.next_token().await.unwrap();
    drop(tokens);
    wait_until(|| engine.ledger().runs[0].end == Some(RunEnd::Abandoned)).await;
    let late = CompletionRequest {
        resume_from: 1,
        ..completion_request("a", "l1", "p", 1_000_000)
    };
    let answer = post(engine.addr(), "/v1/completions", &late, &[])
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::GONE);
}

#[ntex::test]
async fn cancel_ends_a_run_at_once() {
    let engine = start_with_load(fast_settings()).await;
    let mut tokens = start_completion(
        engine.addr(),
        &completion_request("a", "l1", "p", 1_000_000),
    )
    .await;
    tokens.next_token().await.unwrap();
    cancel(engine.addr(), "a").await;
    let (_, complete) = tokens.read_to_end().await;
    assert!(!complete);
    assert_eq!(engine.ledger().runs[0].end, Some(RunEnd::Cancelled));
}

#[ntex::test]
async fn records_an_unload_of_a_load_with_a_run() {
    let engine = start_with_load(fast_settings()).await;
    let mut tokens = start_completion(
        engine.addr(),
        &completion_request("a", "l1", "p", 1_000_000),
    )
    .await;
    tokens.next_token().await.unwrap();
    assert_eq!(unload(engine.addr(), "l1", 1).await, StatusCode::OK);
    let (_, complete) = tokens.read_to_end().await;
    assert!(!complete);
    let expected = Violation::UnloadWhileRunning {
        engine: "engine".into(),
        load: "l1".into(),
        running: 1,
    };
    assert_eq!(engine.ledger().violations, [expected]);
}

#[ntex::test]
async fn restarts_empty_with_a_larger_incarnation() {
    let engine = start_with_load(fast_settings()).await;
    let mut tokens = start_completion(
        engine.addr(),
        &completion_request("a", "l1", "p", 1_000_000),
    )
    .await;
    tokens.next_token().await.unwrap();
    engine.restart();
    let (_, complete) = tokens.read_to_end().await;
    assert!(!complete);
    assert_eq!(engine.ledger().runs[0].end, Some(RunEnd::Broken));
    let rejected = start_completion(engine.addr(), &completion_request("b", "l1", "p", 1)).await;
    assert_eq!(rejected.status, StatusCode::NOT_FOUND);
    loop {
        let report: EngineStatus = get(engine.addr(), "/load").await.unwrap().json();
        if report.incarnation == 2 {
            assert!(report.residents.is_empty());
            break;
        }
    }
}

#[ntex::test]
async fn load_reports_lag() {
    let engine = Engine::start(EngineSettings {
        report_lag: Millis::new(3_600_000),
        ..fast_settings()
    })
    .unwrap();
    wait_until(|| engine.report_count() > 0).await;
    assert_eq!(
        load(engine.addr(), "l1", "signs@v1", 1).await,
        StatusCode::OK
    );
    let report: EngineStatus = get(engine.addr(), "/load").await.unwrap().json();
    assert!(report.residents.is_empty());
}

#[ntex::test]
async fn bounds_the_batch_and_the_queue_and_honors_priorities() {
    let engine = start_with_load(EngineSettings {
        max_batch: 1,
        max_waiting: 2,
        ..fast_settings()
    })
    .await;
    let addr = engine.addr();
    let mut first = start_completion(addr, &completion_request("a", "l1", "p", 1_000_000)).await;
    first.next_token().await.unwrap();
    let slow = CompletionRequest {
        priority: 9,
        ..completion_request("slow", "l1", "p", 2)
    };
    let mut slow = start_completion(addr, &slow).await;
    let mut fast = start_completion(addr, &completion_request("fast", "l1", "p", 1_000_000)).await;
    let full = post(
        addr,
        "/v1/completions",
        &completion_request("c", "l1", "p", 1),
        &[],
    )
    .await
    .unwrap();
    assert_eq!(full.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        full.json::<EngineError>().error,
        EngineErrorKind::Overloaded
    );
    cancel(addr, "a").await;
    fast.next_token().await.unwrap();
    assert!(!engine.ledger().runs[1].started);
    cancel(addr, "fast").await;
    assert!(slow.read_to_end().await.1);
}

#[ntex::test]
async fn the_prefix_cache_saves_prefill() {
    let engine = start_with_load(fast_settings()).await;
    let prompt = "a prompt that fills more than two blocks";
    for id in ["a", "b"] {
        let mut tokens =
            start_completion(engine.addr(), &completion_request(id, "l1", prompt, 1)).await;
        assert!(tokens.read_to_end().await.1);
    }
    let ledger = engine.ledger();
    assert_eq!(ledger.prefix_hits, 32);
    assert_eq!(ledger.prefilled, 2 * prompt.len() as u64 - 32);
}

#[ntex::test]
async fn faults_fail_loads_break_runs_and_fail_reports() {
    let engine = start_with_load(fast_settings()).await;
    let addr = engine.addr();
    engine.set_faults(EngineFaults {
        fail_loads: 1,
        break_runs: 1,
        fail_reports: 1,
        ..EngineFaults::default()
    });
    assert_eq!(load(addr, "l2", "a@v1", 1).await, StatusCode::BAD_GATEWAY);
    assert_eq!(load(addr, "l2", "a@v1", 1).await, StatusCode::OK);
    let mut tokens = start_completion(addr, &completion_request("a", "l1", "p", 9)).await;
    let (chunks, complete) = tokens.read_to_end().await;
    assert_eq!((chunks.len(), complete), (1, false));
    let failed = get(addr, "/load").await.unwrap();
    assert_eq!(failed.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(get(addr, "/load").await.unwrap().status, StatusCode::OK);
}

#[ntex::test]
async fn a_stalled_engine_accepts_but_makes_no_progress() {
    let engine = start_with_load(fast_settings()).await;
    engine.set_faults(EngineFaults {
        stalled: true,
        ..EngineFaults::default()
    });
    let mut tokens = start_completion(engine.addr(), &completion_request("a", "l1", "p", 3)).await;
    assert_eq!(tokens.status, StatusCode::OK);
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    assert_eq!(engine.ledger().runs[0].generated, 0);
    engine.set_faults(EngineFaults::default());
    assert!(tokens.read_to_end().await.1);
}

#[ntex::test]
async fn crossed_tokens_go_to_the_caller_of_another_run() {
    let engine = start_with_load(fast_settings()).await;
    let addr = engine.addr();
    let mut first = start_completion(addr, &completion_request("a", "l1", "p", 1_000_000)).await;
    let mut second = start_completion(addr, &completion_request("b", "l1", "q", 1_000_000)).await;
    first.next_token().await.unwrap();
    second.next_token().await.unwrap();
    engine.set_faults(EngineFaults {
        cross_tokens: 1,
        ..EngineFaults::default()
    });
    let crossed = loop {
        let chunk = first.next_token().await.unwrap();
        if &*chunk.request_id != "a" {
            break chunk;
        }
    };
    let adapter = AdapterRef::new("signs", "v1");
    assert_eq!(*crossed.text, token(&adapter, "q", crossed.index));
    assert_eq!(&*first.next_token().await.unwrap().request_id, "a");
}

#[ntex::test]
async fn wrong_tokens_are_those_of_another_version() {
    let engine = start_with_load(fast_settings()).await;
    engine.set_faults(EngineFaults {
        wrong_tokens: 1,
        ..EngineFaults::default()
    });
    let mut tokens = start_completion(engine.addr(), &completion_request("a", "l1", "p", 2)).await;
    let texts = [
        tokens.next_token().await.unwrap(),
        tokens.next_token().await.unwrap(),
    ]
    .map(|c| c.text);
    let wrong = AdapterRef::new("signs", "wrong");
    let right = AdapterRef::new("signs", "v1");
    assert_eq!(*texts[0], token(&wrong, "p", 0));
    assert_eq!(*texts[1], token(&right, "p", 1));
}
