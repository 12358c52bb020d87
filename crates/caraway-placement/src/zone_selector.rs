//! [`ZoneSelector`]: selects the availability zone whose placer an instance sends a request to.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_members::rendezvous_weight;
use caraway_routes::ModelRef;
use caraway_types::ZoneId;

use crate::DecayingCount;

/// Settings of [`ZoneSelector`]: when an adapter is served in the caller's zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneSelectorSettings {
    /// Time constant of the decayed request counts.
    pub popularity_decay: Duration,
    /// Decayed requests in the zone from which an adapter gets a copy of its own there.
    pub popular_count: f64,
    /// Decayed requests at this instance below which it does not estimate the zone's demand.
    pub min_count: f64,
    /// Limit of a zone's pressure for adapters that other zones hold too.
    pub popular_limit: PressureLimit,
    /// Limit of a zone's pressure for adapters that another zone would have to fetch.
    pub rare_limit: PressureLimit,
    /// Number of tracked adapters from which those with negligible counts are dropped.
    pub prune_size: usize,
}

impl Default for ZoneSelectorSettings {
    fn default() -> Self {
        Self {
            popularity_decay: Duration::from_secs(6),
            // A count of 6 at each of two instances of a zone fetches as few adapters as one placer
            // for the whole fleet.
            popular_count: 12.0,
            // A single request does not predict another one.
            min_count: 2.0,
            // Forwarding to another zone takes a few ms, far less than running in a larger batch
            // costs.
            popular_limit: PressureLimit {
                ratio: 1.4,
                floor: 10.0,
            },
            // A fetch takes about 260 ms, half the time of a run.
            rare_limit: PressureLimit {
                ratio: 2.0,
                floor: 24.0,
            },
            // Covers the adapters requested within a few time constants in the large deployments.
            prune_size: 4096,
        }
    }
}

/// Limit above which a zone is excluded; see [`Placer::pressure`](crate::Placer::pressure).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PressureLimit {
    /// Multiple of the lowest pressure of any zone above which a zone is excluded.
    pub ratio: f64,
    /// Pressure up to which no zone is excluded.
    pub floor: f64,
}

impl PressureLimit {
    /// Returns the zones that have endpoints and whose pressure is within the limit.
    fn usable_zones<'a>(&self, zones: &'a [ZoneCandidate]) -> Vec<&'a ZoneCandidate> {
        let usable = zones.iter().filter(|z| z.endpoints > 0);
        let lowest = usable.clone().map(|z| z.pressure).min_by(f64::total_cmp);
        let limit = (lowest.unwrap_or(0.0) * self.ratio).max(self.floor);
        usable.filter(|z| z.pressure <= limit).collect()
    }
}

/// A zone that can serve a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneCandidate {
    /// Id of the zone.
    pub zone: ZoneId,
    /// Number of its engine endpoints that accept work; its weight among the zones.
    pub endpoints: usize,
    /// Running and waiting requests per endpoint; see
    /// [`Placer::pressure`](crate::Placer::pressure).
    pub pressure: f64,
}

/// Selects the zone whose placer handles a request.
///
/// A rare adapter is mapped to one zone by rendezvous hashing, so that its few requests share a
/// copy and it is fetched once. A popular adapter is served in the caller's zone.
#[derive(Debug, Default)]
pub struct ZoneSelector {
    settings: ZoneSelectorSettings,
    counts: HashMap<ModelRef, DecayingCount>,
}

impl ZoneSelector {
    /// Creates a selector that has counted no requests.
    #[must_use]
    pub fn new(settings: ZoneSelectorSettings) -> Self {
        Self {
            settings,
            counts: HashMap::new(),
        }
    }

    /// Counts a request and returns the zone to send it to, or `None` if no zone can serve it.
    ///
    /// `own` is this instance's zone, and `peers` the number of instances there, this one included.
    pub fn choose(
        &mut self,
        now: Instant,
        model: &ModelRef,
        own: &ZoneId,
        peers: usize,
        zones: &[ZoneCandidate],
    ) -> Option<ZoneId> {
        let is_popular = model.adapter.is_none() || self.is_popular(now, model, peers);
        if is_popular {
            let usable = self.settings.popular_limit.usable_zones(zones);
            if usable.iter().any(|z| z.zone == *own) {
                return Some(own.clone());
            }
            return rendezvous_zone(model, &usable);
        }
        rendezvous_zone(model, &self.settings.rare_limit.usable_zones(zones))
    }

    fn is_popular(&mut self, now: Instant, model: &ModelRef, peers: usize) -> bool {
        let time_constant = self.settings.popularity_decay;
        if self.counts.len() >= self.settings.prune_size {
            self.counts
                .retain(|_, c| c.value(now, time_constant) > NEGLIGIBLE_COUNT);
        }
        if !self.counts.contains_key(model) {
            self.counts.insert(model.clone(), DecayingCount::new(now));
        }
        let count = self
            .counts
            .get_mut(model)
            .expect("the entry was inserted above");
        count.add(now, time_constant);
        let own_count = count.value(now, time_constant);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let zone_count = own_count * peers.max(1) as f64;
        own_count >= self.settings.min_count && zone_count >= self.settings.popular_count
    }
}

/// Decayed count below which an adapter is no longer tracked.
const NEGLIGIBLE_COUNT: f64 = 0.05;

/// Returns the zone with the highest weighted rendezvous score for `model`.
fn rendezvous_zone(model: &ModelRef, zones: &[&ZoneCandidate]) -> Option<ZoneId> {
    let key = model.to_string();
    let score = |z: &ZoneCandidate| {
        #[expect(
            clippy::cast_precision_loss,
            reason = "53 bits are enough to choose by"
        )]
        let share = (rendezvous_weight(&key, &z.zone) >> 11) as f64 / (1_u64 << 53) as f64;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let weight = z.endpoints as f64;
        -weight / share.max(f64::MIN_POSITIVE).ln()
    };
    zones
        .iter()
        .max_by(|a, b| score(a).total_cmp(&score(b)))
        .map(|z| z.zone.clone())
}
