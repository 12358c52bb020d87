//! Tests the decisions of [`RetryPolicy`] and the limits of [`RetryBudget`].

use std::time::{Duration, Instant};

use caraway_calls::{BudgetSettings, Decision, Repeat, RetryBudget, RetryPolicy, Saw};
use caraway_types::{AccountId, Certainty, EndpointId, Millis};

const SEEN: [Saw; 12] = [
    Saw::Refused,
    Saw::ConnectFailed,
    Saw::FailedUnwritten,
    Saw::FailedWritten,
    Saw::Status(200),
    Saw::Status(503),
    Saw::Broken(0),
    Saw::Broken(7),
    Saw::Stalled(0),
    Saw::Stalled(7),
    Saw::NotResumable(0),
    Saw::NotResumable(7),
];

fn names() -> (AccountId, EndpointId) {
    ("coop".into(), "quote-1".into())
}

fn certainly_not_run(saw: Saw) -> bool {
    matches!(
        saw,
        Saw::Refused | Saw::ConnectFailed | Saw::FailedUnwritten
    )
}

#[test]
fn at_most_once_is_never_repeated_after_writing() {
    let (account, endpoint) = names();
    for saw in SEEN {
        let mut policy = RetryPolicy::new(BudgetSettings::default());
        let decision = policy.decide(Instant::now(), &account, &endpoint, Repeat::AtMostOnce, saw);
        let retried = matches!(
            decision,
            Decision::RetryElsewhere
                | Decision::RetryFresh
                | Decision::Resume(_)
                | Decision::Restart
        );
        assert_eq!(retried, certainly_not_run(saw), "{saw:?}");
    }
}

#[test]
fn not_run_is_said_only_where_certain() {
    let (account, endpoint) = names();
    let settings = BudgetSettings {
        burst: 0.0,
        ..BudgetSettings::default()
    };
    for repeat in [Repeat::Idempotent, Repeat::AtMostOnce] {
        for saw in SEEN {
            let mut policy = RetryPolicy::new(settings);
            let decision = policy.decide(Instant::now(), &account, &endpoint, repeat, saw);
            if let Decision::Refuse(refusal) = decision {
                let not_run = refusal.certainty == Certainty::NotRun;
                assert_eq!(not_run, certainly_not_run(saw), "{repeat:?} {saw:?}");
                assert!(refusal.retry_after.is_some());
            } else {
                assert_eq!(decision, Decision::Deliver, "{repeat:?} {saw:?}");
            }
        }
    }
}

#[test]
fn a_broken_stream_resumes_and_a_lost_one_restarts() {
    let (account, endpoint) = names();
    let mut policy = RetryPolicy::new(BudgetSettings::default());
    let mut decide =
        |saw| policy.decide(Instant::now(), &account, &endpoint, Repeat::Idempotent, saw);
    assert_eq!(decide(Saw::Broken(7)), Decision::Resume(7));
    assert_eq!(decide(Saw::Stalled(7)), Decision::Resume(7));
    assert_eq!(decide(Saw::NotResumable(7)), Decision::Restart);
    assert_eq!(decide(Saw::Stalled(0)), Decision::RetryFresh);
}

#[test]
fn retries_stay_within_their_share() {
    let (account, endpoint) = names();
    let settings = BudgetSettings::default();
    let mut budget = RetryBudget::new(settings);
    let now = Instant::now();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.on_request(now, &account, &endpoint);
        retries += u32::from(budget.take(now, &account, &endpoint));
    }
    let most = 1000.0 * settings.share + settings.burst;
    assert!(f64::from(retries) <= most, "{retries} of 1000");
    let other: AccountId = "rodopa".into();
    assert!(budget.take(now, &other, &endpoint));
}

#[test]
fn memory_is_bounded_and_idle_pairs_go() {
    let endpoint: EndpointId = "e".into();
    let settings = BudgetSettings {
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
    assert!(!budget.take(now, &"a40".into(), &endpoint));
    assert!(budget.take(now + Duration::from_secs(2), &"a40".into(), &endpoint));
    assert_eq!(budget.len(), 1);
}
