//! Orders that a process has decided on before a pause that outlasts its lease.

use std::time::{Duration, Instant};

use caraway_members::MemberSettings;

/// If a process is paused between deciding and sending an order, a peer may take over the replica.
/// An engine that does not check fencing tokens would execute the old order.
#[test]
fn an_order_decided_before_a_pause_is_not_sent_after_it() {
    let settings = MemberSettings::default();
    let decided = Instant::now();
    assert!(settings.may_send(decided, decided + Duration::from_millis(5)));
    let taken_over = decided + settings.lease.get() + settings.guard.get();
    assert!(!settings.may_send(decided, taken_over));
    let guard = decided + settings.guard.get();
    assert!(
        !settings.may_send(decided, guard),
        "an order decided at the end of the lease must arrive before the peer's first one"
    );
}
