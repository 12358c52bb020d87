//! When another instance follows a zone's holder.

use std::time::Duration;

use caraway_gateway::{HolderState, claim_place};

const LEASE: Duration = Duration::from_secs(3);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All instances are killed at once and start again: nobody who gave orders is left to wait for.
#[test]
fn a_holder_whose_run_is_over_is_followed_at_once() {
    let state = HolderState::Gone(millis(200));
    let wait = state.claim_after(true, 1.0).expect("it is followed");
    assert!(wait <= millis(300), "claimers only spread");
    assert_eq!(state.order_after(LEASE), Duration::ZERO);
}

#[test]
fn a_holder_that_may_still_order_keeps_its_lease() {
    assert_eq!(
        HolderState::Silent(millis(500)).claim_after(true, 0.0),
        None
    );
    let state = HolderState::Silent(millis(1500));
    assert!(state.claim_after(true, 0.0).is_some());
    assert_eq!(state.order_after(LEASE), LEASE);
    assert_eq!(HolderState::Reachable.claim_after(true, 0.0), None);
    assert_eq!(HolderState::Reachable.order_after(LEASE), LEASE);
}

#[test]
fn another_zone_s_instances_leave_the_first_claim_to_the_zone() {
    for state in [
        HolderState::None,
        HolderState::Released,
        HolderState::Gone(millis(200)),
    ] {
        let home = state.claim_after(true, 1.0).expect("it is followed");
        let foreign = state.claim_after(false, 0.0).expect("it is followed");
        assert!(home < foreign, "{state:?}");
    }
}

/// Half of a zone's instances are killed while configurations come in quick succession: an instance
/// with a link of 10 Mbit/s that speaks for the zone has no room left for its orders.
#[test]
fn strong_instances_claim_before_weak_ones() {
    let strong = claim_place(200.0, 0.5, 1.0);
    for (link, cpu) in [(10.0, 0.5), (200.0, 0.06), (10.0, 0.06)] {
        let weak = claim_place(link, cpu, 0.2);
        assert!(strong < weak, "{link} Mbit/s, {cpu} cores");
    }
    let places = [0.0, 0.5, 1.0].map(|draw| claim_place(1000.0, 0.25, draw));
    assert!(
        places.is_sorted() && places[0] < places[2],
        "equal ones spread"
    );
}
