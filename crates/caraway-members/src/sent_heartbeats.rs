//! [`SentLog`]: when heartbeats were sent, to turn acknowledgements into leases.

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

/// Remembers the heartbeats whose leases still run.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct SentHeartbeats {
    sent: VecDeque<Sent>,
}

impl SentHeartbeats {
    /// Notes heartbeat `seq`, which states `lease`.
    pub(crate) fn record(&mut self, now: Instant, seq: u64, lease: Duration) {
        while self.sent.front().is_some_and(|s| s.lease_end <= now) {
            self.sent.pop_front();
        }
        let lease_end = now + lease;
        self.sent.push_back(Sent { seq, lease_end });
    }

    /// Returns when the lease of an acknowledged heartbeat ends, if it still runs.
    pub(crate) fn lease_end(&self, seq: u64) -> Option<Instant> {
        let first = self.sent.front()?.seq;
        let index = usize::try_from(seq.checked_sub(first)?).ok()?;
        self.sent.get(index).map(|s| s.lease_end)
    }
}
