//! [`HolderTurns`]: keeps the holders of a zone from ordering in turns within the lease.

use std::time::{Duration, Instant};

/// Time after which an order that was sent has arrived at its endpoint or is given up.
const ORDER_TIME: Duration = Duration::from_millis(150);

/// The last hand-over of a zone, as far as an instance knows.
///
/// After a hand-over the next holder orders at once. Endpoints can't tell more holders than these two
/// apart, so that neither a third one nor the first may order before the lease has passed since the
/// last order. All instances learn of a hand-over, so that any of them complies that holds the zone next.
#[derive(Clone, Copy, Debug, Default)]
pub struct HolderTurns {
    /// When the zone was last handed over, or was claimed within the lease after that.
    passed_at: Option<Instant>,
    /// Earliest first order of the holder since then.
    first_order_at: Option<Instant>,
}

impl HolderTurns {
    /// Returns how long the next holder must not order if the present one gives the zone up now;
    /// `last_order` is when that one sent its last order, if it has sent any.
    #[must_use]
    pub fn next_wait(
        &self,
        now: Instant,
        lease: Duration,
        last_order: Option<Instant>,
    ) -> Duration {
        let Some(passed_at) = self.passed_at.filter(|at| is_within(lease, *at, now)) else {
            return Duration::ZERO;
        };
        let last_order = last_order.map_or(passed_at, |at| at.max(passed_at));
        let lease_end = last_order + lease + ORDER_TIME;
        let until = self
            .first_order_at
            .map_or(lease_end, |at| at.max(lease_end));
        until.saturating_duration_since(now)
    }

    /// Records that the zone is handed over, and returns how long the next holder must not order.
    /// `stated` is what the former holder states; zero of builds that do not know.
    pub fn on_hand_over(&mut self, now: Instant, lease: Duration, stated: Duration) -> Duration {
        let wait = if stated.is_zero() {
            self.claim_wait(now, lease)
        } else {
            stated
        };
        self.pass(now, wait);
        wait
    }

    /// Records that an instance takes the zone without a hand-over, and returns how long it must not
    /// order.
    pub fn on_claim(&mut self, now: Instant, lease: Duration) -> Duration {
        let wait = self.claim_wait(now, lease);
        if !wait.is_zero() {
            self.pass(now, wait);
        }
        wait
    }

    /// Returns how long the next holder must not order if the former one may have ordered until now.
    fn claim_wait(&self, now: Instant, lease: Duration) -> Duration {
        self.next_wait(now, lease, Some(now))
    }

    fn pass(&mut self, now: Instant, wait: Duration) {
        self.passed_at = Some(now);
        self.first_order_at = Some(now + wait);
    }
}

/// Returns whether an order before `passed_at` may be less than the lease ago.
fn is_within(lease: Duration, passed_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(passed_at) < lease + ORDER_TIME
}
