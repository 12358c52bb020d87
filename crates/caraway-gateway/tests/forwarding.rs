//! When an instance relies on a holder to forward records instead of reading the store.

use std::time::{Duration, Instant};

use caraway_gateway::ForwardingStatus;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_prompt_heartbeat_is_valid_until_the_next() {
    let start = Instant::now();
    let mut forwarding = ForwardingStatus::default();
    assert!(
        !forwarding.is_active(start),
        "no heartbeat was received yet"
    );
    assert!(!forwarding.on_heartbeat(Some(start), true));
    assert!(forwarding.is_active(start + millis(600)));
    assert!(!forwarding.is_active(start + millis(1200)));
}

/// A holder freezes while configurations follow each other quickly, and answers old pings whenever
/// it resumes for a moment.
#[test]
fn answers_to_old_pings_do_not_keep_an_instance_from_reading() {
    let start = Instant::now();
    let mut forwarding = ForwardingStatus::default();
    forwarding.on_heartbeat(Some(start), true);
    for resumed_ms in [1500, 3000, 4500] {
        let now = start + millis(resumed_ms);
        forwarding.on_heartbeat(Some(now.checked_sub(millis(1400)).expect("a time")), true);
        assert!(
            !forwarding.is_active(now),
            "the holder was frozen for 1.4 s"
        );
    }
}

/// A holder is killed, and another instance of its zone succeeds it within two seconds. If the
/// deployment allows that delay, the zone's instances wait for the successor.
#[test]
fn a_longer_delay_leaves_time_for_the_next_holder() {
    let start = Instant::now();
    for (max_delay, active, expired) in [(2000, 1000, 1200), (3000, 2000, 2200), (4000, 3000, 3200)]
    {
        let mut forwarding = ForwardingStatus::new(millis(max_delay));
        forwarding.on_heartbeat(Some(start), true);
        assert!(forwarding.is_active(start + millis(active)), "{max_delay}");
        assert!(
            !forwarding.is_active(start + millis(expired)),
            "{max_delay}"
        );
    }
}

#[test]
fn an_instance_reads_at_once_when_its_holder_stops_reading() {
    let start = Instant::now();
    let mut forwarding = ForwardingStatus::default();
    forwarding.on_heartbeat(Some(start), true);
    assert!(
        forwarding.on_heartbeat(None, false),
        "this instance starts reading"
    );
    assert!(!forwarding.is_active(start));
    assert!(
        !forwarding.on_heartbeat(None, false),
        "it is reading already"
    );
}
