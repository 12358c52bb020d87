//! Limits that endpoints state in their answers, which arrive in any order.

use std::time::{Duration, Instant};

use caraway_routes::{EndpointLimits, LimitChange, LimitStatement, RequestRate};
use caraway_types::EndpointId;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::clamped(per_second).expect("a rate")
}

/// Limits of one endpoint, with times in ms since the start.
struct Fixture {
    start: Instant,
    limits: EndpointLimits,
    endpoint: EndpointId,
}

impl Fixture {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            limits: EndpointLimits::default(),
            endpoint: "e".into(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn state(&mut self, per_second: Option<f64>, sent_ms: u64, ms: u64) -> Option<LimitChange> {
        let statement = LimitStatement {
            rate: per_second.map(rate),
            sent_at: self.at(sent_ms),
            received_at: self.at(ms),
        };
        self.limits.on_statement(&self.endpoint, Some(1), statement)
    }

    fn current(&self) -> Option<f64> {
        let known = self.limits.get(&self.endpoint, Some(1));
        known.map(|l| l.rate.per_second())
    }
}

#[test]
fn limit_holds_until_a_newer_answer_states_another_or_none() {
    let mut limits = Fixture::new();
    assert_eq!(limits.state(None, 0, 10), None);
    let change = limits.state(Some(5.0), 20, 30).expect("a new limit");
    assert_eq!((change.former, change.rate), (None, Some(rate(5.0))));
    assert_eq!(limits.state(Some(5.0), 40, 50), None, "the same limit");
    limits.state(Some(8.0), 60, 70).expect("a higher limit");
    assert_eq!(limits.current(), Some(8.0));
    let change = limits.state(None, 80, 90).expect("the limit ends");
    assert_eq!((change.former, change.rate), (Some(rate(8.0)), None));
    assert_eq!(limits.current(), None);
}

#[test]
fn answer_to_an_earlier_request_does_not_raise_or_lift_the_limit() {
    let mut limits = Fixture::new();
    limits.state(Some(5.0), 20, 30);
    assert_eq!(limits.state(None, 10, 40), None);
    assert_eq!(limits.state(Some(9.0), 25, 45), None);
    assert_eq!(limits.current(), Some(5.0));
    limits.state(Some(3.0), 10, 50).expect("a lower limit");
    assert_eq!(limits.current(), Some(3.0));
}

#[test]
fn limit_belongs_to_an_incarnation_and_outlasts_silence() {
    let mut limits = Fixture::new();
    limits.state(Some(5.0), 0, 10);
    assert!(limits.limits.get(&limits.endpoint, Some(2)).is_none());
    assert!(limits.limits.get(&limits.endpoint, None).is_none());
    // Another limit, long after, removes only what is outdated.
    let minutes = Duration::from_mins(10);
    let statement = LimitStatement {
        rate: Some(rate(1.0)),
        sent_at: limits.start + minutes,
        received_at: limits.start + minutes,
    };
    limits.limits.on_statement(&"f".into(), Some(1), statement);
    assert_eq!(limits.current(), Some(5.0));
    assert_eq!(limits.limits.count(), 2);
}

// Guards against: a limit that comes back into force because an instance that did not see its end
// states it again.
#[test]
fn statement_from_before_a_limit_was_lifted_does_not_restore_it() {
    let mut limits = Fixture::new();
    limits.state(Some(5.0), 0, 10);
    limits.state(None, 20, 30).expect("the limit ends");
    assert_eq!(limits.state(Some(5.0), 0, 10), None);
    assert_eq!(limits.current(), None);
    limits.state(Some(5.0), 40, 50).expect("a new limit");
    assert_eq!(limits.current(), Some(5.0));
}

#[test]
fn statements_include_the_end_of_a_limit_for_other_instances() {
    let mut limits = Fixture::new();
    limits.state(Some(5.0), 0, 10);
    limits.state(None, 20, 30);
    let mut other = Fixture::new();
    other.state(Some(5.0), 0, 10);
    for (endpoint, started_ms, statement) in limits.limits.statements(limits.at(40)) {
        other.limits.on_statement(endpoint, started_ms, statement);
    }
    assert_eq!(other.current(), None);
    let minutes = limits.start + Duration::from_mins(5);
    assert_eq!(limits.limits.statements(minutes).count(), 0);
}
