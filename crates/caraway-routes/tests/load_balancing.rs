//! The choice between endpoints of plain services, and the retry budget.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{
    CallOutcome, CallTally, Endpoint, EndpointState, LoadBalancer, RetryBudget, RetryLimits,
};
use caraway_types::{EndpointId, ZoneId};

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
fn endpoint_that_fails_more_often_than_another_is_avoided() {
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

/// Seconds of a simulated service, its instances, and their calls per second together.
const SECONDS: u64 = 12;
const INSTANCES: usize = 72;
const CALLS_PER_SECOND: u64 = 311;
/// Interval in milliseconds in which each instance reports its results and learns those of all; they
/// also learn at once of an endpoint that has become worse.
const REPORT_INTERVAL: u64 = 500;

/// An endpoint of the simulated service: the part of its answers that fail, and the time of an answer.
type Health = (f64, u64);

/// Calls a service whose third endpoint has another health in the seconds 2 to 6; returns the number
/// of calls in each second, and of those that went to the third endpoint.
fn call_service(healthy: Health, third: Health) -> Vec<(u64, u64)> {
    let start = Instant::now();
    let zones = ["z0", "z1", "z2"];
    let all: Vec<_> = ["e0", "e1", "e2"].into_iter().zip(zones).collect();
    let all: Vec<_> = all
        .into_iter()
        .map(|(id, zone)| endpoint(id, zone))
        .collect();
    let mut balancers: Vec<_> = (1..).take(INSTANCES).map(LoadBalancer::new).collect();
    let mut holders = [CallTally::default(); 3];
    let mut counts = vec![(0, 0); usize::try_from(SECONDS).expect("a small number")];
    let mut ends: Vec<(u64, usize, EndpointId, CallOutcome)> = Vec::new();
    let mut random = 0.5_f64;
    let mut calls = 0;
    for ms in 0..SECONDS * 1000 {
        let now = start + Duration::from_millis(ms);
        let has_news = ms.is_multiple_of(100) && {
            // The holder's own.
            for (endpoint, tally) in all.iter().zip(&holders) {
                balancers[0].set_shared(now, &endpoint.id, tally);
            }
            balancers[0].find_worse(now, all.iter())
        };
        for (number, balancer) in balancers.iter_mut().enumerate() {
            if has_news || (ms + number as u64 * 7).is_multiple_of(REPORT_INTERVAL) {
                for (id, results) in balancer.take_results(|_| true) {
                    let index = all.iter().position(|e| e.id == id).expect("an endpoint");
                    holders[index].add(now, &results);
                }
                for (endpoint, tally) in all.iter().zip(&holders) {
                    balancer.set_shared(now, &endpoint.id, tally);
                }
            }
        }
        ends.retain(|(at, number, id, outcome)| {
            if *at <= ms {
                balancers[*number].on_end(now, id, *outcome);
            }
            *at > ms
        });
        while calls < ms * CALLS_PER_SECOND / 1000 {
            random = (random + 0.618_034).fract();
            let number = usize::try_from(calls).expect("a small number") * 29 % INSTANCES;
            let zone: ZoneId = zones[number % 3].into();
            let chosen = balancers[number].choose(now, &zone, all.iter(), &[]);
            let chosen = chosen.expect("an endpoint is ready");
            let is_third = &*chosen.id == "e2";
            let is_changed = (2000..6000).contains(&ms);
            let (failing, time) = if is_third && is_changed {
                third
            } else {
                healthy
            };
            let outcome = if random < failing {
                CallOutcome::Failed
            } else {
                CallOutcome::Answered(Duration::from_millis(time))
            };
            ends.push((ms + time, number, chosen.id.clone(), outcome));
            let second = &mut counts[usize::try_from(ms / 1000).expect("a small number")];
            *second = (second.0 + 1, second.1 + u64::from(is_third));
            calls += 1;
        }
    }
    counts
}

// Guards against: callers get the failures, or wait for the late answers, of one of three endpoints for
// longer than a second, as one instance of many has too few calls to tell.
#[test]
fn endpoint_that_is_worse_than_the_others_is_avoided_within_a_second() {
    for (healthy, third) in [
        ((0.0, 15), (0.5, 15)),
        ((0.14, 15), (0.5, 15)),
        ((0.0, 15), (0.0, 112)),
    ] {
        let counts = call_service(healthy, third);
        for (calls, to_third) in &counts[3..6] {
            assert!(to_third * 20 < *calls, "{third:?}: {counts:?}");
        }
        let (calls, to_third) = counts[11];
        assert!(to_third * 4 > calls, "it is used again: {counts:?}");
    }
}

// Guards against: a service whose endpoints all fail some of their calls, or one that is only somewhat
// slower, loses an endpoint.
#[test]
fn endpoint_that_is_as_good_as_the_others_or_somewhat_slower_gets_its_share() {
    for (healthy, third) in [
        ((0.14, 15), (0.14, 15)),
        ((0.5, 15), (0.5, 15)),
        ((0.0, 15), (0.0, 30)),
    ] {
        let counts = call_service(healthy, third);
        let all: u64 = counts.iter().map(|c| c.0).sum();
        let to_third: u64 = counts.iter().map(|c| c.1).sum();
        assert!(to_third * 10 > all * 3, "{third:?}: {counts:?}");
    }
}

#[test]
fn results_without_a_meaning_change_nothing() {
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(CallTally::new(9.0, odd, 1.0), CallTally::default());
    }
    let none = CallTally::default();
    assert!(!none.is_worse_than(&none, false));
    let failed = CallTally::new(50.0, 60.0, 0.0);
    assert!(failed.is_worse_than(&CallTally::new(50.0, 0.0, 0.0), false));
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
