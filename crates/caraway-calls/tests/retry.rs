//! Tests the decisions of [`RetryPolicy`] and the limits of [`RetryBudget`].

use std::time::{Duration, Instant};

use caraway_calls::{
    AttemptResult, Decision, Idempotency, RetryBudget, RetryBudgetSettings, RetryPolicy,
};
use caraway_types::{AccountId, Certainty, EndpointId, Millis};

const RESULTS: [AttemptResult; 12] = [
    AttemptResult::Refused,
    AttemptResult::ConnectFailed,
    AttemptResult::FailedUnwritten,
    AttemptResult::FailedWritten,
    AttemptResult::Status(200),
    AttemptResult::Status(503),
    AttemptResult::Broken(0),
    AttemptResult::Broken(7),
    AttemptResult::Stalled(0),
    AttemptResult::Stalled(7),
    AttemptResult::NotResumable(0),
    AttemptResult::NotResumable(7),
];

fn ids() -> (AccountId, EndpointId) {
    ("coop".into(), "quote-1".into())
}

fn certainly_not_run(result: AttemptResult) -> bool {
    matches!(
        result,
        AttemptResult::Refused | AttemptResult::ConnectFailed | AttemptResult::FailedUnwritten
    )
}

#[test]
fn an_at_most_once_request_is_not_retried_after_bytes_were_written() {
    let (account, endpoint) = ids();
    for result in RESULTS {
        let mut policy = RetryPolicy::new(RetryBudgetSettings::default());
        let decision = policy.decide(
            Instant::now(),
            &account,
            &endpoint,
            Idempotency::AtMostOnce,
            result,
        );
        let retried = matches!(
            decision,
            Decision::RetryElsewhere
                | Decision::RetryOnNewConnection
                | Decision::Resume(_)
                | Decision::Restart
        );
        assert_eq!(retried, certainly_not_run(result), "{result:?}");
    }
}

#[test]
fn not_run_is_reported_only_if_certain() {
    let (account, endpoint) = ids();
    let settings = RetryBudgetSettings {
        burst: 0.0,
        ..RetryBudgetSettings::default()
    };
    for idempotency in [Idempotency::Idempotent, Idempotency::AtMostOnce] {
        for result in RESULTS {
            let mut policy = RetryPolicy::new(settings);
            let decision = policy.decide(Instant::now(), &account, &endpoint, idempotency, result);
            if let Decision::Refuse(refusal) = decision {
                let not_run = refusal.certainty == Certainty::NotRun;
                assert_eq!(
                    not_run,
                    certainly_not_run(result),
                    "{idempotency:?} {result:?}"
                );
                assert!(refusal.retry_after.is_some());
            } else {
                assert_eq!(decision, Decision::Deliver, "{idempotency:?} {result:?}");
            }
        }
    }
}

#[test]
fn a_broken_stream_resumes_and_one_that_cannot_resume_restarts() {
    let (account, endpoint) = ids();
    let mut policy = RetryPolicy::new(RetryBudgetSettings::default());
    let mut decide = |result| {
        policy.decide(
            Instant::now(),
            &account,
            &endpoint,
            Idempotency::Idempotent,
            result,
        )
    };
    assert_eq!(decide(AttemptResult::Broken(7)), Decision::Resume(7));
    assert_eq!(decide(AttemptResult::Stalled(7)), Decision::Resume(7));
    assert_eq!(decide(AttemptResult::NotResumable(7)), Decision::Restart);
    assert_eq!(
        decide(AttemptResult::Stalled(0)),
        Decision::RetryOnNewConnection
    );
}

#[test]
fn retries_stay_within_their_share() {
    let (account, endpoint) = ids();
    let settings = RetryBudgetSettings::default();
    let mut budget = RetryBudget::new(settings);
    let now = Instant::now();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.on_request(now, &account, &endpoint);
        retries += u32::from(budget.try_acquire(now, &account, &endpoint));
    }
    let most = 1000.0 * settings.share + settings.burst;
    assert!(f64::from(retries) <= most, "{retries} of 1000");
    let other: AccountId = "rodopa".into();
    assert!(budget.try_acquire(now, &other, &endpoint));
}

#[test]
fn memory_is_bounded_and_idle_pairs_are_removed() {
    let endpoint: EndpointId = "e".into();
    let settings = RetryBudgetSettings {
        pairs: 10,
        idle: Millis::new(1000),
        ..Default::default()
    };
    let mut budget = RetryBudget::new(settings);
    let now = Instant::now();
    for i in 0..50 {
        budget.on_request(now, &format!("a{i}").into(), &endpoint);
    }
    assert_eq!(budget.len(), 10);
    assert!(!budget.try_acquire(now, &"a40".into(), &endpoint));
    assert!(budget.try_acquire(now + Duration::from_secs(2), &"a40".into(), &endpoint));
    assert_eq!(budget.len(), 1);
}
