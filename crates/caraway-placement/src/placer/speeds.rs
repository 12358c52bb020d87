//! Learns the speeds of the endpoints and compares them.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use super::{Placer, PlacerStats};
use crate::{PlacementId, run_work::RunWork};

/// Interval between comparisons of the endpoints' speeds.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

impl Placer {
    /// Compares the speeds of the endpoints of each service if that is due.
    ///
    /// The reference is the median, so that a few slow endpoints do not change it.
    pub(super) fn update_speeds(&mut self, now: Instant) {
        let last = self.speeds_compared;
        let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= COMPARE_INTERVAL);
        if !is_due {
            return;
        }
        self.speeds_compared = Some(now);
        self.measure_oldest_runs(now);
        let mut speeds: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        for replica in self.replicas.values() {
            let service = speeds.entry(replica.endpoint.service.clone()).or_default();
            service.extend(replica.speed.log());
        }
        for service in speeds.values_mut() {
            service.sort_unstable_by(f64::total_cmp);
        }
        for (service, rate) in &mut self.rates {
            let replicas = self.replicas.values();
            let usable = replicas.filter(|r| r.is_usable(now) && r.endpoint.service == *service);
            rate.set_slots(usable.map(|r| r.endpoint.slots).sum());
        }
        for replica in self.replicas.values_mut() {
            let service = speeds.get(&replica.endpoint.service);
            if let Some(median) = service.and_then(|s| s.get(s.len() / 2)) {
                replica.speed.compare(*median);
            }
        }
    }

    /// Takes the oldest run of each endpoint into account, as an endpoint that has become very slow
    /// ends none for a long time.
    fn measure_oldest_runs(&mut self, now: Instant) {
        let mut oldest: HashMap<&EndpointId, (Instant, PlacementId, &RunWork)> = HashMap::new();
        for (id, run) in &self.granted {
            let Some(work) = &run.work else {
                continue;
            };
            let candidate = (work.granted_at, *id, work);
            let first = oldest.entry(&run.endpoint).or_insert(candidate);
            if (candidate.0, candidate.1) < (first.0, first.1) {
                *first = candidate;
            }
        }
        for (endpoint, (_, _, work)) in oldest {
            if let Some(replica) = self.replicas.get_mut(endpoint) {
                replica.record_progress(now, work, &self.settings);
            }
        }
    }

    /// Returns the part of the statistics that concerns the learned speeds.
    pub(super) fn speed_stats(&self, now: Instant) -> PlacerStats {
        let speeds = self.replicas.values().map(|r| &r.speed);
        let qualities = speeds.clone().filter_map(|s| s.quality(now));
        let error = qualities.clone().map(|(_, error)| error);
        let error = error.max_by(f64::total_cmp).unwrap_or(0.0) * 1000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and bounded by the largest change"
        )]
        let speed_error = error.round() as u32;
        PlacerStats {
            slow: speeds.clone().filter(|s| s.relative() < 1.0).count(),
            faulty: speeds.filter(|s| s.is_faulty()).count(),
            speed_age: qualities.map(|(age, _)| age).max().unwrap_or_default(),
            speed_error,
            ..PlacerStats::default()
        }
    }
}
