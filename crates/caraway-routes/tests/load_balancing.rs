//! The choice between endpoints of plain services, and the retry budget.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{
    CallOutcome, Endpoint, EndpointState, LoadBalancer, RetryBudget, RetryLimits,
};
use caraway_types::ZoneId;

fn endpoint(id: &str, zone: &str) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        slots: 4,
        state: EndpointState::Ready,
        remaining: None,
        started_ms: None,
        software: "v1".into(),
        is_engine: false,
        models: Vec::new(),
    })
}

fn choose(balancer: &mut LoadBalancer, now: Instant, all: &[Arc<Endpoint>]) -> String {
    let zone: ZoneId = "local-zone".into();
    let chosen = balancer.choose(now, &zone, all.iter(), &[]);
    chosen.expect("an endpoint is ready").id.to_string()
}

#[test]
fn local_zone_is_preferred_until_it_is_busy() {
    let now = Instant::now();
    let all = [
        endpoint("local", "local-zone"),
        endpoint("remote", "remote-zone"),
    ];
    let mut balancer = LoadBalancer::default();
    let first: Vec<String> = (0..4).map(|_| choose(&mut balancer, now, &all)).collect();
    assert_eq!(first, ["local", "local", "local", "remote"]);
}

#[test]
fn unreachable_endpoint_is_avoided_during_its_backoff() {
    let now = Instant::now();
    let all = [
        endpoint("local", "local-zone"),
        endpoint("remote", "remote-zone"),
    ];
    let mut balancer = LoadBalancer::default();
    assert_eq!(choose(&mut balancer, now, &all), "local");
    balancer.on_end(now, &"local".into(), CallOutcome::Unreachable);
    assert_eq!(choose(&mut balancer, now, &all), "remote");
    let later = now + Duration::from_secs(2);
    assert_eq!(choose(&mut balancer, later, &all), "local");
}

#[test]
fn endpoint_above_the_failure_threshold_is_avoided() {
    let now = Instant::now();
    let all = [endpoint("a", "local-zone"), endpoint("b", "local-zone")];
    let mut balancer = LoadBalancer::default();
    for _ in 0..20 {
        choose(&mut balancer, now, &all);
        balancer.on_end(now, &"a".into(), CallOutcome::Failed);
        balancer.on_end(
            now,
            &"b".into(),
            CallOutcome::Answered(Duration::from_millis(9)),
        );
    }
    let next: Vec<String> = (0..5).map(|_| choose(&mut balancer, now, &all)).collect();
    assert!(next.iter().all(|id| id == "b"), "{next:?}");
}

#[test]
fn retries_stay_within_one_instances_share_of_the_budget() {
    let start = Instant::now();
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 50.0,
        instances: 5,
    };
    let mut budget = RetryBudget::new(limits);
    let service: Arc<str> = "s".into();
    for _ in 0..100 {
        budget.on_request(start, &service);
    }
    let retries = (0..100)
        .filter(|_| budget.try_acquire(start, &service))
        .count();
    // At most 0.2 for each of 100 requests and a fifth of the slack; less the safety margin.
    assert!((20..=30).contains(&retries), "{retries} retries");
    assert!(!budget.try_acquire(start + Duration::from_secs(9), &service));
    assert!(
        budget.try_acquire(start + Duration::from_secs(11), &service),
        "a new window"
    );
}
