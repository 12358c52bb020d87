//! Tests that the stall of a connection pool replaces it once.

use std::time::Duration;

use caraway_calls::PoolHealth;

const LIMIT: Duration = Duration::from_secs(8);

#[test]
fn a_silent_pool_is_replaced_once() {
    let mut health = PoolHealth::default();
    let attempts: Vec<_> = (0..100).map(|_| health.current(&"engine")).collect();
    let replaced = attempts.iter().filter(|g| health.suspect(&"engine", **g));
    assert_eq!(replaced.count(), 1);
    let fresh = health.current(&"engine");
    assert!(!health.is_suspected(&"engine", fresh));
    assert_eq!(health.current(&"other"), attempts[0]);
}

#[test]
fn attempts_on_a_suspected_pool_get_a_short_deadline() {
    let mut health = PoolHealth::default();
    let old = health.current(&"engine");
    assert_eq!(health.limit(&"engine", old, LIMIT), LIMIT);
    assert!(health.suspect(&"engine", old));
    assert_eq!(health.limit(&"engine", old, LIMIT), LIMIT / 4);
    let fresh = health.current(&"engine");
    assert_eq!(health.limit(&"engine", fresh, LIMIT), LIMIT);
    assert!(health.suspect(&"engine", fresh));
}
