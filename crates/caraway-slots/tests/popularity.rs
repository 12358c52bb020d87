//! Tests the estimated request rates and the detection of popularity shifts.

use std::time::{Duration, Instant};

use caraway_slots::{Evidence, Popularity};
use caraway_types::AdapterRef;

fn adapter(i: u32) -> AdapterRef {
    AdapterRef::new(format!("a{i}"), "1")
}

#[test]
fn a_regular_adapter_outweighs_one_that_was_requested_once() {
    let start = Instant::now();
    let mut popularity = Popularity::new(start);
    for i in 0..20 {
        popularity.record_request(start + Duration::from_secs(10 * i), &adapter(1));
    }
    let now = start + Duration::from_secs(200);
    popularity.record_request(now, &adapter(2));
    assert!(popularity.rate(now, &adapter(1)) > popularity.rate(now, &adapter(2)));
    assert!(popularity.rate(now, &adapter(3)) < popularity.rate(now, &adapter(2)));
}

#[test]
fn a_shift_lowers_the_rate_of_adapters_without_further_requests() {
    let start = Instant::now();
    let mut popularity = Popularity::new(start);
    let at = |s: u64| start + Duration::from_secs(s);
    for s in 0..100 {
        popularity.record_request(at(s), &adapter(u32::try_from(s % 5).unwrap()));
    }
    let steady = popularity.evidence(at(100));
    assert!(!popularity.detect_shift(at(100), steady));
    for s in 100..130 {
        popularity.record_request(at(s), &adapter(10 + u32::try_from(s % 5).unwrap()));
    }
    let before = popularity.rate(at(130), &adapter(1));
    let shifted = popularity.evidence(at(130));
    assert!(popularity.detect_shift(at(130), shifted), "{shifted:?}");
    assert!(popularity.rate(at(130), &adapter(1)) < before / 10.0);
    assert!(popularity.rate(at(130), &adapter(11)) > popularity.rate(at(130), &adapter(1)));
}

#[test]
fn little_evidence_is_no_shift() {
    let now = Instant::now();
    let mut popularity = Popularity::new(now);
    let evidence = Evidence {
        expected: 0.5,
        observed: 0.0,
    };
    assert!(!popularity.detect_shift(now, evidence));
}
