//! Workloads for a [`Simulation`](super::Simulation).

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Zipf};

use super::{Simulation, adapter};

/// Requests for adapters of Zipf-distributed popularity, with exponentially distributed gaps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SkewedWorkload {
    pub(crate) per_second: f64,
    pub(crate) adapters: usize,
    pub(crate) skew: f64,
    pub(crate) timeout: Duration,
    /// Added to each adapter's number, to move the demand to other adapters.
    pub(crate) shift: usize,
}

impl SkewedWorkload {
    /// Schedules requests from `from` to `to`, with tickets from `first_ticket` on; returns their number.
    pub(crate) fn schedule(
        &self,
        sim: &mut Simulation,
        from: Duration,
        to: Duration,
        first_ticket: u64,
    ) -> u64 {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let zipf = Zipf::new(self.adapters as f64, self.skew).expect("a skew above zero");
        let mut at = from;
        let mut ticket = first_ticket;
        loop {
            let draw: f64 = sim.rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / self.per_second);
            if at >= to {
                return ticket - first_ticket;
            }
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a rank of the distribution"
            )]
            let rank = zipf.sample(&mut sim.rng) as usize;
            let model = adapter(rank + self.shift);
            sim.request_at(at, ticket, model, self.timeout);
            ticket += 1;
        }
    }
}
