//! [`HolderState`]: when another instance may claim a zone, and when it may give its first order.

use std::time::Duration;

/// Time for which a holder has to be unreachable before another instance of its zone claims the
/// zone; a lost session is opened again well within it.
const CLAIM_UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
/// The same time if the holder's process is known to have ended.
const CLAIM_EXITED_AFTER: Duration = Duration::from_millis(100);
/// Additional delay before an instance of another zone claims the zone.
const OTHER_ZONE_CLAIM_DELAY: Duration = Duration::from_secs(2);
/// Time in which a holder that can reach the store has read its successor's record, and its earlier
/// orders have ended: the store delivers the record within 100 ms, and an order times out after
/// 150 ms.
const RECORD_READ_TIME: Duration = Duration::from_millis(500);
/// Time over which claims are spread, so that most claimers read the first claim before their own
/// is due.
const CLAIM_SPREAD: Duration = Duration::from_millis(300);

/// What an instance knows about the holder of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderState {
    /// The zone never had a holder.
    None,
    /// The holder has given the zone up.
    Released,
    /// The holder was an earlier incarnation of this instance, or this incarnation until an
    /// endpoint received a later token.
    Own,
    /// The holder is reachable, or a session to it was not tried yet.
    Reachable,
    /// The holder has been unreachable for this long, and may still give orders.
    Unreachable(Duration),
    /// The holder has been unreachable for this long, and its process has ended: its address
    /// refuses connections, or another incarnation answers.
    Exited(Duration),
}

/// Link speed that is sufficient for a holder, in Mbit/s: a configuration of 15 KB every third of a
/// second for each of 25 instances uses a tenth of it.
const SUFFICIENT_LINK_MBPS: f64 = 100.0;
/// Share of a core that is sufficient for a holder; instances of the smaller deployments have it.
const SUFFICIENT_CPU_SHARE: f64 = 0.25;

/// Part of the claim rank that depends on the weakness. The rest orders equally strong instances,
/// by up to 90 ms, ten times the round trip to the store.
const WEAKNESS_SHARE: f64 = 0.7;

/// Least difference in weakness, on a scale of 0 to 1, for which a holder hands its zone over: a
/// hand-over interrupts the zone for about 100 ms, which slight differences are not worth.
const HAND_OVER_MARGIN: f64 = 0.5;
/// Least time for which the stronger instance has to be connected: three ping intervals.
const HAND_OVER_MIN_CONNECTED: Duration = Duration::from_millis(1500);

/// Returns the part of the link speed or processor time that an instance lacks as a zone's holder,
/// whichever is larger: from 0 if it lacks nothing to 1. A holder reads the store and sends orders
/// for its whole zone.
#[must_use]
pub fn weakness(link_mbps: f64, cpu_share: f64) -> f64 {
    let link = (link_mbps / SUFFICIENT_LINK_MBPS).min(1.0);
    let cpu = (cpu_share / SUFFICIENT_CPU_SHARE).min(1.0);
    1.0 - link.min(cpu)
}

/// Returns an instance's rank among the claimers of a zone, from 0 for the first to 1. Strong
/// instances come first; `tie_breaker`, 0 to 1, orders equally strong ones.
#[must_use]
pub fn claim_rank(weakness: f64, tie_breaker: f64) -> f64 {
    WEAKNESS_SHARE * weakness + (1.0 - WEAKNESS_SHARE) * tie_breaker
}

/// Returns whether a holder should hand its zone over to another instance of the zone, which has
/// been connected for `connected_for`. Otherwise a weak instance would keep a zone that it claimed
/// while the strong ones were down.
#[must_use]
pub fn should_hand_over(own_weakness: f64, weakness: f64, connected_for: Duration) -> bool {
    own_weakness - weakness >= HAND_OVER_MARGIN && connected_for >= HAND_OVER_MIN_CONNECTED
}

impl HolderState {
    /// Returns how long this instance waits before it claims the zone; `None` while the holder
    /// keeps it. `rank` is this instance's [rank](claim_rank) among the claimers, 0 to 1.
    #[must_use]
    pub fn claim_delay(self, is_own_zone: bool, rank: f64) -> Option<Duration> {
        let zone_delay = if is_own_zone {
            Duration::ZERO
        } else {
            OTHER_ZONE_CLAIM_DELAY
        };
        let wait = zone_delay + CLAIM_SPREAD.mul_f64(rank);
        match self {
            Self::None | Self::Released => Some(wait),
            Self::Own => Some(zone_delay),
            Self::Reachable => None,
            Self::Unreachable(down) => (down >= CLAIM_UNREACHABLE_AFTER).then_some(wait),
            Self::Exited(down) => (down >= CLAIM_EXITED_AFTER).then_some(wait),
        }
    }

    /// Returns how long the next holder has to wait before its first order.
    ///
    /// A holder that is unreachable may give orders until it reads its successor's record. If
    /// endpoints reject outdated fencing tokens (`checks_fencing`), the time to read that record is
    /// enough; otherwise the next holder waits for the lease to end.
    #[must_use]
    pub fn first_order_delay(self, lease: Duration, checks_fencing: bool) -> Duration {
        match self {
            Self::None | Self::Released | Self::Own | Self::Exited(_) => Duration::ZERO,
            Self::Reachable | Self::Unreachable(_) if checks_fencing => lease.min(RECORD_READ_TIME),
            Self::Reachable | Self::Unreachable(_) => lease,
        }
    }
}
