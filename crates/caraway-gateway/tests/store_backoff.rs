//! The calls that the instances of a zone make to a store that is unavailable.

use std::time::Duration;

use caraway_gateway::StoreBackoff;

/// Returns the number of calls that an instance makes in `duration` if each fails immediately.
fn count_calls(has_readers: bool, duration: Duration) -> usize {
    let mut backoff = StoreBackoff::default();
    let mut elapsed = Duration::ZERO;
    let mut calls = 0;
    while elapsed < duration {
        calls += 1;
        elapsed += backoff.record_failure(has_readers, 3);
    }
    calls
}

#[test]
fn only_instances_with_readers_call_often() {
    let duration = Duration::from_secs(6);
    let holder = count_calls(true, duration);
    let others = count_calls(false, duration);
    assert!(
        holder >= 20,
        "the holder detects within 0.3 s that the store is back"
    );
    assert!(
        others * 2 < holder,
        "{others} calls of another instance, {holder} of the holder"
    );
}

#[test]
fn answer_resets_the_pause() {
    let mut backoff = StoreBackoff::default();
    let first = backoff.record_failure(false, 3);
    assert!(backoff.record_failure(false, 3) > first);
    backoff.record_success();
    assert_eq!(backoff.record_failure(false, 3), first);
}

/// Each instance of a zone probes an unavailable store. Without a pause that grows with the number
/// of instances, a large zone would overload the store as it comes back.
#[test]
fn large_zone_calls_about_as_often_as_a_small_one() {
    let calls_per_second = |zone_instances: usize| {
        let mut backoff = StoreBackoff::default();
        let last_pause = (0..10)
            .map(|_| backoff.record_failure(false, zone_instances))
            .last();
        let others = u32::try_from(zone_instances - 1).expect("few");
        f64::from(others) / last_pause.expect("ten of them").as_secs_f64()
    };
    assert!(calls_per_second(10) <= 3.0 * calls_per_second(4));
    assert!(
        calls_per_second(39) <= 13.0,
        "38 instances, each with the maximum pause"
    );
}
