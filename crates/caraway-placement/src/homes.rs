//! [`Homes`]: which availability zone's placer an instance asks for an adapter.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_members::rendezvous_weight;
use caraway_routes::ModelRef;
use caraway_types::ZoneId;

use crate::Decayed;

/// Sets which adapters stay in the caller's zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomeSettings {
    /// Time constant of an adapter's popularity.
    pub popularity: Duration,
    /// Decayed requests in the zone that make an adapter worth a copy of its own there.
    pub popular: f64,
    /// Decayed requests at this instance that a guess about the zone needs at least.
    pub evidence: f64,
    /// When a zone is too pressed for an adapter that has copies in others.
    pub popular_bounds: PressureBounds,
    /// When a zone is too pressed for an adapter that would have to be fetched elsewhere.
    pub rare_bounds: PressureBounds,
    /// Adapters that are remembered before those that are forgotten anyway are dropped.
    pub sweep: usize,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            popularity: Duration::from_secs(6),
            // Measured: 6 at each of two instances of a zone fetches as few adapters as one placer
            // for the whole fleet.
            popular: 12.0,
            // A single request says nothing about the next.
            evidence: 2.0,
            // The way to another zone takes a few ms, far less than a more crowded batch.
            popular_bounds: PressureBounds {
                ratio: 1.4,
                floor: 10.0,
            },
            // A fetch takes some 260 ms, half of a run's time.
            rare_bounds: PressureBounds {
                ratio: 2.0,
                floor: 24.0,
            },
            // As many as are asked for within a few time constants at the grown deployments.
            sweep: 4096,
        }
    }
}

/// Says when a zone is too pressed; see [`Placer::pressure`](crate::Placer::pressure).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PressureBounds {
    /// Multiple of the least pressed zone's pressure beyond which a zone is passed over.
    pub ratio: f64,
    /// Pressure that is never too much.
    pub floor: f64,
}

impl PressureBounds {
    /// Returns the zones that are not too pressed.
    fn open<'a>(&self, zones: &'a [ZoneWeight]) -> Vec<&'a ZoneWeight> {
        let open = zones.iter().filter(|z| z.endpoints > 0);
        let least = open.clone().map(|z| z.pressure).min_by(f64::total_cmp);
        let most = (least.unwrap_or(0.0) * self.ratio).max(self.floor);
        open.filter(|z| z.pressure <= most).collect()
    }
}

/// A zone that can serve, and its share of the endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneWeight {
    /// The zone.
    pub zone: ZoneId,
    /// Its engine endpoints that take work.
    pub endpoints: usize,
    /// Requests that run and wait for each of them; see [`Placer::pressure`](crate::Placer::pressure).
    pub pressure: f64,
}

/// Chooses the zone whose placer is asked.
///
/// A rare adapter has one home among the zones, so that its few requests meet and it is fetched
/// once; a popular one is kept near its callers.
#[derive(Debug, Default)]
pub struct Homes {
    settings: HomeSettings,
    counts: HashMap<ModelRef, Decayed>,
}

impl Homes {
    /// Remembers no request.
    #[must_use]
    pub fn new(settings: HomeSettings) -> Self {
        Self {
            settings,
            counts: HashMap::new(),
        }
    }

    /// Counts a request and returns the zone to ask, `None` when there is none.
    ///
    /// `peers` is the number of instances in the own zone, this one included.
    pub fn choose(
        &mut self,
        now: Instant,
        model: &ModelRef,
        own: &ZoneId,
        peers: usize,
        zones: &[ZoneWeight],
    ) -> Option<ZoneId> {
        let is_popular = model.adapter.is_none() || self.is_popular(now, model, peers);
        if is_popular {
            let open = self.settings.popular_bounds.open(zones);
            if open.iter().any(|z| z.zone == *own) {
                return Some(own.clone());
            }
            return home(model, &open);
        }
        home(model, &self.settings.rare_bounds.open(zones))
    }

    fn is_popular(&mut self, now: Instant, model: &ModelRef, peers: usize) -> bool {
        let constant = self.settings.popularity;
        if self.counts.len() >= self.settings.sweep {
            self.counts
                .retain(|_, c| c.value(now, constant) > FORGOTTEN);
        }
        if !self.counts.contains_key(model) {
            self.counts.insert(model.clone(), Decayed::new(now));
        }
        let count = self
            .counts
            .get_mut(model)
            .expect("the entry was inserted above");
        count.add(now, constant);
        let seen = count.value(now, constant);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let zone = seen * peers.max(1) as f64;
        seen >= self.settings.evidence && zone >= self.settings.popular
    }
}

/// A decayed count below which an adapter is forgotten.
const FORGOTTEN: f64 = 0.05;

/// Returns the zone with the highest weighted rendezvous score for `model`.
fn home(model: &ModelRef, zones: &[&ZoneWeight]) -> Option<ZoneId> {
    let key = model.to_string();
    let score = |z: &ZoneWeight| {
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
