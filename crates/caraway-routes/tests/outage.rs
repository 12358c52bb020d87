//! A registry that was away against one that only this instance could not reach.

use std::time::{Duration, Instant};

use caraway_routes::{Lapse, Outage, OutageLimits};

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn entries_may_come_back_after_the_registry_was_away_for_all() {
    let start = Instant::now();
    let mut outage = Outage::new(OutageLimits::default());
    assert_eq!(outage.on_read(start), Lapse::Gone);
    let back = after(start, 6000);
    let until = back + OutageLimits::default().grace;
    assert_eq!(outage.on_read(back), Lapse::Until(until));
    assert_eq!(outage.lapse(after(start, 7000)), Lapse::Until(until));
    assert_eq!(outage.on_read(after(start, 8300)), Lapse::Gone);
}

#[test]
fn a_removed_entry_is_gone_when_others_read_all_the_while() {
    let start = Instant::now();
    let mut outage = Outage::new(OutageLimits::default());
    outage.on_read(start);
    for ms in (500..7000).step_by(500) {
        outage.on_peer(after(start, ms));
    }
    assert_eq!(outage.on_read(after(start, 7000)), Lapse::Gone);
}

#[test]
fn reads_that_wait_are_no_outage() {
    let start = Instant::now();
    let mut outage = Outage::new(OutageLimits::default());
    for ms in [0, 2200, 4400, 6600] {
        assert_eq!(outage.on_read(after(start, ms)), Lapse::Gone);
    }
}
