//! [`SentHeartbeats`]: send times of heartbeats, from which an acknowledgement yields a lease.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A heartbeat that was sent.
#[derive(Clone, Copy, Debug, Hash)]
struct Sent {
    seq: u64,
    lease_end: Instant,
}

/// The heartbeats whose leases have not expired.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct SentHeartbeats {
    /// Ordered by sequence number, without gaps.
    sent: VecDeque<Sent>,
}

impl SentHeartbeats {
    /// Records that heartbeat `seq` is sent at `now` and requests `lease`.
    pub(crate) fn record(&mut self, now: Instant, seq: u64, lease: Duration) {
        while self.sent.front().is_some_and(|s| s.lease_end <= now) {
            self.sent.pop_front();
        }
        let lease_end = now + lease;
        self.sent.push_back(Sent { seq, lease_end });
    }

    /// Returns when the lease of an acknowledged heartbeat ends, or `None` if it has expired.
    pub(crate) fn lease_end(&self, seq: u64) -> Option<Instant> {
        let first = self.sent.front()?.seq;
        let index = usize::try_from(seq.checked_sub(first)?).ok()?;
        self.sent.get(index).map(|s| s.lease_end)
    }
}
