//! [`HolderState`]: when another instance follows a zone's holder, and when it may give orders.

use std::time::Duration;

/// Time for which a holder can't be reached before another instance of its zone claims; a lost
/// session is opened again well within it.
const UNREACHABLE_CLAIM_DELAY: Duration = Duration::from_secs(1);
/// The same where the holder's run of the program is known to be over.
const EXITED_CLAIM_DELAY: Duration = Duration::from_millis(100);
/// Further time before an instance of another zone claims.
const OTHER_ZONE_CLAIM_DELAY: Duration = Duration::from_secs(2);
/// Time in which a holder that reaches the store reads its follower's record, and the endpoints have
/// carried out what it ordered before: the store tells of it within 100 ms, and an order's answer is
/// awaited for 150 ms.
const RECORD_READ_TIME: Duration = Duration::from_millis(500);
/// Claimers spread over this time, so that most see the first one's claim before their own.
const CLAIM_SPREAD: Duration = Duration::from_millis(300);

/// What an instance knows of the holder of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderState {
    /// The zone never had one.
    None,
    /// It gave the zone up.
    Released,
    /// It was an earlier run of this instance, or this run before endpoints saw a later token.
    Own,
    /// It can be asked.
    Reachable,
    /// It can't be reached for so long, and may still give orders.
    Unreachable(Duration),
    /// It can't be reached for so long, and its run of the program is over: its machine refuses
    /// connections, or runs the program anew.
    Exited(Duration),
}

/// Link from which an instance counts as strong, in Mbit/s: a configuration of 15 KB every third of
/// a second for each of 25 instances takes a tenth of it.
const FULL_LINK_MBPS: f64 = 100.0;
/// Share of a core from which an instance counts as strong; the smaller deployments have it.
const FULL_CPU_SHARE: f64 = 0.25;

/// Part of the spread by which the weakest come after the strongest; the rest tells equal ones apart
/// by 90 ms, ten times the way to the store and back.
const WEAKNESS_SHARE: f64 = 0.7;

/// Weakness by which a holder exceeds another instance before it hands its zone over, half of the
/// scale: a hand-over interrupts the zone for some 100 ms, and slight differences are not worth it.
const HAND_OVER_MARGIN: f64 = 0.5;
/// Time for which the stronger instance has been in touch: three signs of life.
const HAND_OVER_MIN_CONNECTED: Duration = Duration::from_millis(1500);

/// Returns how weak an instance is as a zone's holder, which reads and speaks for its whole zone: 0
/// for one with all that this takes, to 1.
#[must_use]
pub fn weakness(link_mbps: f64, cpu_share: f64) -> f64 {
    let link = (link_mbps / FULL_LINK_MBPS).min(1.0);
    let cpu = (cpu_share / FULL_CPU_SHARE).min(1.0);
    1.0 - link.min(cpu)
}

/// Returns an instance's place among the claimers of a zone, 0 to 1: strong ones come first. `draw`
/// tells equal ones apart, 0 to 1.
#[must_use]
pub fn claim_rank(weakness: f64, tie_breaker: f64) -> f64 {
    WEAKNESS_SHARE * weakness + (1.0 - WEAKNESS_SHARE) * tie_breaker
}

/// Tells whether a holder should hand its zone over to another instance of the zone, which has been
/// in touch for a time. A zone that was left to a weak instance, as after a kill of most, would stay
/// with it.
#[must_use]
pub fn should_hand_over(own_weakness: f64, weakness: f64, connected_for: Duration) -> bool {
    own_weakness - weakness >= HAND_OVER_MARGIN && connected_for >= HAND_OVER_MIN_CONNECTED
}

impl HolderState {
    /// Returns how long this instance waits before it claims the zone; `None` while it leaves the
    /// zone to its holder. `share` is this instance's place among the claimers, 0 to 1.
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
            Self::Unreachable(down) => (down >= UNREACHABLE_CLAIM_DELAY).then_some(wait),
            Self::Exited(down) => (down >= EXITED_CLAIM_DELAY).then_some(wait),
        }
    }

    /// Returns how long the first order of whoever follows has to wait. One that can't be reached
    /// may give orders until it sees its follower's record. Where endpoints don't refuse its token,
    /// the lease keeps their orders apart; where they do, as `is_fenced` tells, time to read the
    /// record is enough.
    #[must_use]
    pub fn first_order_delay(self, lease: Duration, checks_fencing: bool) -> Duration {
        match self {
            Self::None | Self::Released | Self::Own | Self::Exited(_) => Duration::ZERO,
            Self::Reachable | Self::Unreachable(_) if checks_fencing => lease.min(RECORD_READ_TIME),
            Self::Reachable | Self::Unreachable(_) => lease,
        }
    }
}
