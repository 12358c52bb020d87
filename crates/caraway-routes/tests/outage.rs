//! A registry that was down for all instances against one that only this instance could not reach.

use std::time::{Duration, Instant};

use caraway_routes::{MissingPolicy, OutageDetector, OutageLimits};

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn missing_entries_are_kept_after_an_outage_for_all_instances() {
    let start = Instant::now();
    let mut outage = OutageDetector::new(OutageLimits::default());
    assert_eq!(outage.on_read(start), MissingPolicy::Remove);
    let return_time = after(start, 6000);
    let until = return_time + OutageLimits::default().grace;
    assert_eq!(outage.on_read(return_time), MissingPolicy::KeepUntil(until));
    assert_eq!(
        outage.missing_policy(after(start, 7000)),
        MissingPolicy::KeepUntil(until)
    );
    assert_eq!(outage.on_read(after(start, 8300)), MissingPolicy::Remove);
}

#[test]
fn missing_entries_are_removed_if_peers_could_read_throughout() {
    let start = Instant::now();
    let mut outage = OutageDetector::new(OutageLimits::default());
    outage.on_read(start);
    for ms in (500..7000).step_by(500) {
        outage.on_peer_read(after(start, ms));
    }
    assert_eq!(outage.on_read(after(start, 7000)), MissingPolicy::Remove);
}

#[test]
fn long_polls_are_not_taken_for_an_outage() {
    let start = Instant::now();
    let mut outage = OutageDetector::new(OutageLimits::default());
    for ms in [0, 2200, 4400, 6600] {
        assert_eq!(outage.on_read(after(start, ms)), MissingPolicy::Remove);
    }
}
