//! The choice between endpoints of plain services, and the budget of repeats.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Chooser, Endpoint, EndpointState, RepeatBudget, RepeatLimits, Verdict};
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
        born: None,
        is_engine: false,
        models: Vec::new(),
    })
}

fn choose(chooser: &mut Chooser, now: Instant, all: &[Arc<Endpoint>]) -> String {
    let zone: ZoneId = "here".into();
    let chosen = chooser.choose(now, &zone, all.iter(), &[]);
    chosen.expect("an endpoint takes work").id.to_string()
}

#[test]
fn the_own_zone_serves_until_it_is_busy() {
    let now = Instant::now();
    let all = [endpoint("near", "here"), endpoint("far", "there")];
    let mut chooser = Chooser::default();
    let first: Vec<String> = (0..4).map(|_| choose(&mut chooser, now, &all)).collect();
    assert_eq!(first, ["near", "near", "near", "far"]);
}

#[test]
fn an_unreachable_endpoint_is_left_alone_for_a_while() {
    let now = Instant::now();
    let all = [endpoint("near", "here"), endpoint("far", "there")];
    let mut chooser = Chooser::default();
    assert_eq!(choose(&mut chooser, now, &all), "near");
    chooser.on_end(now, &"near".into(), Verdict::Unreachable);
    assert_eq!(choose(&mut chooser, now, &all), "far");
    let later = now + Duration::from_secs(2);
    assert_eq!(choose(&mut chooser, later, &all), "near");
}

#[test]
fn an_endpoint_that_fails_most_calls_is_avoided() {
    let now = Instant::now();
    let all = [endpoint("a", "here"), endpoint("b", "here")];
    let mut chooser = Chooser::default();
    for _ in 0..20 {
        choose(&mut chooser, now, &all);
        chooser.on_end(now, &"a".into(), Verdict::Failed);
        chooser.on_end(
            now,
            &"b".into(),
            Verdict::Answered(Duration::from_millis(9)),
        );
    }
    let next: Vec<String> = (0..5).map(|_| choose(&mut chooser, now, &all)).collect();
    assert!(next.iter().all(|id| id == "b"), "{next:?}");
}

#[test]
fn repeats_stay_within_the_share_of_an_instance() {
    let start = Instant::now();
    let limits = RepeatLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 50.0,
        instances: 5,
    };
    let mut budget = RepeatBudget::new(limits);
    let service: Arc<str> = "s".into();
    for _ in 0..100 {
        budget.on_request(start, &service);
    }
    let taken = (0..100).filter(|_| budget.take(start, &service)).count();
    // 0.2 for each of 100 requests, and a fifth of the slack.
    assert!((20..=30).contains(&taken), "{taken} repeats");
    assert!(!budget.take(start + Duration::from_secs(9), &service));
    assert!(
        budget.take(start + Duration::from_secs(11), &service),
        "a new window"
    );
}
