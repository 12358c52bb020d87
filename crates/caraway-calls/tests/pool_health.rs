//! Tests that the stall of a connection pool replaces it once.

use std::time::Duration;

use caraway_calls::PoolHealth;

const TIMEOUT: Duration = Duration::from_secs(8);

#[test]
fn a_stalled_pool_is_replaced_once() {
    let mut health = PoolHealth::default();
    let attempts: Vec<_> = (0..100).map(|_| health.current(&"engine")).collect();
    let replaced = attempts.iter().filter(|g| health.on_stall(&"engine", **g));
    assert_eq!(replaced.count(), 1);
    let fresh = health.current(&"engine");
    assert!(!health.is_replaced(&"engine", fresh));
    assert_eq!(health.current(&"other"), attempts[0]);
}

#[test]
fn attempts_on_a_replaced_pool_get_a_shorter_timeout() {
    let mut health = PoolHealth::default();
    let old = health.current(&"engine");
    assert_eq!(health.progress_timeout(&"engine", old, TIMEOUT), TIMEOUT);
    assert!(health.on_stall(&"engine", old));
    assert_eq!(
        health.progress_timeout(&"engine", old, TIMEOUT),
        TIMEOUT / 4
    );
    let fresh = health.current(&"engine");
    assert_eq!(health.progress_timeout(&"engine", fresh, TIMEOUT), TIMEOUT);
    assert!(health.on_stall(&"engine", fresh));
}
