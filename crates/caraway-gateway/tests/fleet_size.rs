//! The number of instances by which shared budgets are divided.

use std::time::{Duration, Instant};

use caraway_gateway::FleetSize;
use caraway_routes::{RetryBudget, RetryLimits};

/// Zones and instances of a large deployment.
const ZONES: usize = 5;
const INSTANCES: usize = 195;

// Guards against: instances that lose their holder, count only themselves, and spend together many
// times the budget that all share.
#[test]
fn instances_that_lose_their_holder_keep_to_the_shared_retry_budget() {
    let now = Instant::now();
    let mut size = FleetSize::new(ZONES);
    size.on_stated(now, INSTANCES);
    let limits = RetryLimits {
        slack: 430.0,
        instances: size.estimate(None),
        ..RetryLimits::default()
    };
    let mut spent = 0;
    for _ in 0..INSTANCES {
        let mut budget = RetryBudget::new(limits);
        while budget.try_acquire(now, &"desk".into()) {
            spent += 1;
        }
    }
    assert!(spent <= 430, "{spent} retries without a request");
}

#[test]
fn estimate_grows_with_what_is_known() {
    let now = Instant::now();
    let mut size = FleetSize::new(3);
    assert!(size.estimate(None) >= 72, "nothing is known yet");
    assert_eq!(size.estimate(Some(2)), 9, "zones differ in size");
    assert_eq!(size.estimate(Some(25)), 75);
    size.on_stated(now, 89);
    assert_eq!(size.estimate(Some(25)), 89);
    assert_eq!(size.estimate(None), 89);
    size.on_stated(now + Duration::from_secs(1), 0);
    assert_eq!(size.stated(), Some((89, now)), "nothing was stated");
}
