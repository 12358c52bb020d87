//! [`ZoneSelector`]: selects the availability zone whose placer an instance sends a request to.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_members::rendezvous_weight;
use caraway_routes::ModelRef;
use caraway_types::ZoneId;

use crate::{DecayingCount, ZoneLoad};

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
    /// When requests for adapters that other zones hold too leave a zone whose load is stated.
    pub popular_balance: LoadBalance,
    /// The same for adapters that another zone would have to fetch.
    pub rare_balance: LoadBalance,
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
            // Up to this load hardly a request waits for a slot.
            popular_balance: LoadBalance {
                floor: 0.6,
                margin: 1.0,
            },
            // Each adapter that leaves costs a load in another zone, which slight differences are not
            // worth.
            rare_balance: LoadBalance {
                floor: 0.8,
                margin: 1.1,
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

/// When requests leave a zone for others. The load of a zone is the part of its slots that is taken; a wait
/// adds to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBalance {
    /// Load up to which none leaves.
    pub floor: f64,
    /// Multiple of the mean load of all zones up to which none leaves.
    pub margin: f64,
}

/// Expected wait that counts as much as a zone without a free slot: about half of the time of a run.
const WAIT_SCALE: Duration = Duration::from_millis(200);
/// Steepness with which the part of a zone's requests that leaves grows with its load. With 3, a zone keeps
/// more of a wave than the others have, and requests wait (139 ms to the first event on average in the
/// simulated waves, 121 ms with 5); above 5 there is little gain.
const LEAVING_GAIN: f64 = 6.0;

impl LoadBalance {
    /// Returns the load that no zone is to exceed.
    fn target(&self, zones: &[LoadedZone<'_>]) -> f64 {
        let slots: f64 = zones.iter().map(|z| z.slots).sum();
        let load: f64 = zones.iter().map(|z| z.load * z.slots).sum();
        (load / slots.max(1.0) * self.margin).max(self.floor)
    }
}

/// A candidate whose load is known.
struct LoadedZone<'a> {
    candidate: &'a ZoneCandidate,
    /// Number of slots of its usable endpoints, as far as they are known to be taken or free.
    slots: f64,
    load: f64,
}

impl<'a> LoadedZone<'a> {
    fn new(candidate: &'a ZoneCandidate, own: &ZoneId) -> Option<Self> {
        let load = candidate.load?;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let (endpoints, free) = (candidate.endpoints as f64, load.free_slots as f64);
        let taken = (candidate.pressure * endpoints).max(0.0);
        let crossing = if candidate.zone == *own {
            Duration::ZERO
        } else {
            candidate.crossing
        };
        // While a slot is free, requests wait for loads of adapters, which another zone would have to
        // load as well.
        let slot_wait = if load.free_slots == 0 {
            load.expected_wait
        } else {
            Duration::ZERO
        };
        let wait = (slot_wait + crossing).as_secs_f64() / WAIT_SCALE.as_secs_f64();
        // Without a slot that is taken or free, the zone can serve nothing.
        let occupied = if taken + free > 0.0 {
            taken / (taken + free)
        } else {
            1.0
        };
        Some(Self {
            candidate,
            slots: taken + free,
            load: occupied + wait,
        })
    }

    fn endpoints(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let endpoints = self.candidate.endpoints as f64;
        endpoints
    }

    /// Returns the part of the zone's requests that leaves for zones with less load than `target`.
    fn leaving(&self, target: f64) -> f64 {
        (LEAVING_GAIN * (1.0 - target / self.load.max(target))).clamp(0.0, 1.0)
    }

    /// Returns how many requests the zone takes before its load reaches `target`.
    fn room(&self, target: f64) -> f64 {
        (target - self.load).max(0.0) * self.slots
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
    /// How busy it is, as its holder has stated it lately; `None` if it has not.
    pub load: Option<ZoneLoad>,
    /// Round trip between this instance and the zone's holder; zero within an instance.
    pub crossing: Duration,
}

/// Selects the zone whose placer handles a request.
///
/// A rare adapter is mapped to one zone by rendezvous hashing, so that its few requests share a
/// copy and it is fetched once. A popular adapter is served in the caller's zone.
#[derive(Debug, Default)]
pub struct ZoneSelector {
    settings: ZoneSelectorSettings,
    counts: HashMap<ModelRef, DecayingCount>,
    /// Number from 0 to 1, the next of a sequence that fills the interval evenly.
    draw: f64,
}

impl ZoneSelector {
    /// Creates a selector that has counted no requests.
    #[must_use]
    pub fn new(settings: ZoneSelectorSettings) -> Self {
        Self {
            settings,
            ..Self::default()
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
        let usable = zones.iter().filter(|z| z.endpoints > 0);
        let loaded: Option<Vec<_>> = usable.map(|z| LoadedZone::new(z, own)).collect();
        // A zone whose holder states no load can't be compared with the others.
        if let Some(loaded) = loaded {
            return self.choose_by_load(model, own, is_popular, &loaded);
        }
        if is_popular {
            let usable = self.settings.popular_limit.usable_zones(zones);
            if usable.iter().any(|z| z.zone == *own) {
                return Some(own.clone());
            }
            return rendezvous_zone(model, &usable);
        }
        rendezvous_zone(model, &self.settings.rare_limit.usable_zones(zones))
    }

    /// Chooses a zone by the load of all zones: as without, but a part of the requests leaves a zone that
    /// is busier than the others before it is full. Rare adapters leave one by one, so that all
    /// instances send the requests for one to the same zone.
    fn choose_by_load(
        &mut self,
        model: &ModelRef,
        own: &ZoneId,
        is_popular: bool,
        zones: &[LoadedZone<'_>],
    ) -> Option<ZoneId> {
        let own = zones.iter().find(|z| z.candidate.zone == *own);
        let (balance, home) = match own {
            Some(own) if is_popular => (&self.settings.popular_balance, Some(own)),
            _ => {
                let home = choose_weighted(model, zones, LoadedZone::endpoints);
                (&self.settings.rare_balance, home)
            }
        };
        let home = home?;
        let target = balance.target(zones);
        let leaving = home.leaving(target);
        if leaving <= 0.0 {
            return Some(home.candidate.zone.clone());
        }
        let next = if is_popular && own.is_some() {
            // The golden ratio.
            self.draw = (self.draw + 0.618_034).fract();
            let is_leaving = self.draw < leaving;
            let draw = self.draw / leaving;
            is_leaving.then(|| choose_by_room(zones, target, draw))
        } else {
            let is_leaving =
                hash_fraction(&format!("{model} leaves"), &home.candidate.zone) < leaving;
            is_leaving.then(|| choose_weighted(model, zones, |z| z.room(target)))
        };
        let chosen = next.flatten().unwrap_or(home);
        Some(chosen.candidate.zone.clone())
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

/// Chooses a zone at random, by the room that each has before its load reaches `target`.
fn choose_by_room<'a, 'b>(
    zones: &'a [LoadedZone<'b>],
    target: f64,
    draw: f64,
) -> Option<&'a LoadedZone<'b>> {
    let mut left = draw * zones.iter().map(|z| z.room(target)).sum::<f64>();
    zones.iter().find(|zone| {
        left -= zone.room(target);
        left < 0.0
    })
}

/// Returns the zone with the highest rendezvous score for `model` among those with a weight.
fn choose_weighted<'a, 'b>(
    model: &ModelRef,
    zones: &'a [LoadedZone<'b>],
    weight: impl Fn(&LoadedZone<'b>) -> f64,
) -> Option<&'a LoadedZone<'b>> {
    let key = model.to_string();
    let score = |z: &LoadedZone<'b>| {
        -weight(z)
            / hash_fraction(&key, &z.candidate.zone)
                .max(f64::MIN_POSITIVE)
                .ln()
    };
    let weighted = zones.iter().filter(|z| weight(z) > 0.0);
    weighted.max_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Returns a number from 0 to 1 that depends on both texts only.
fn hash_fraction(key: &str, zone: &str) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "53 bits are enough to choose by"
    )]
    let fraction = (rendezvous_weight(key, zone) >> 11) as f64 / (1_u64 << 53) as f64;
    fraction
}

/// Returns the zone with the highest weighted rendezvous score for `model`.
fn rendezvous_zone(model: &ModelRef, zones: &[&ZoneCandidate]) -> Option<ZoneId> {
    let key = model.to_string();
    let score = |z: &ZoneCandidate| {
        let share = hash_fraction(&key, &z.zone);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let weight = z.endpoints as f64;
        -weight / share.max(f64::MIN_POSITIVE).ln()
    };
    zones
        .iter()
        .max_by(|a, b| score(a).total_cmp(&score(b)))
        .map(|z| z.zone.clone())
}
