//! [`Store`]: the weight store that every engine of a deployment loads from.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use caraway_types::{AdapterRef, Millis};
use serde::{Deserialize, Serialize};

/// Smallest rate, in loads a second.
const SLOWEST_RATE: f64 = 0.001;

/// How the weight store behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Loads that it starts a second.
    pub rate: f64,
    /// Loads that it starts at once after an idle time.
    pub places: u32,
    /// Time of a load while no more than `transit_limit` are in transit.
    pub transfer: Millis,
    /// Loads in transit at full speed; more of them slow each other down proportionally.
    pub transit_limit: u32,
    /// Time over which [`StoreLedger::rate_exceeded`] holds the callers to the rate.
    pub window: Millis,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            rate: 3.0,
            places: 2,
            transfer: Millis::new(250),
            transit_limit: 16,
            window: Millis::new(10_000),
        }
    }
}

/// Faults of the weight store, none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Fails every load.
    pub down: bool,
    /// Time added to each load.
    pub slow: Millis,
}

/// What the weight store did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreLedger {
    /// The loads that were asked for, in order.
    pub loads: Vec<AdapterRef>,
    /// Loads that failed.
    pub failed: u64,
    /// Loads that waited because the rate was used up.
    pub throttled: u64,
    /// Loads that were asked for beyond `rate * window + places` within one window.
    pub rate_exceeded: u64,
    /// Loads that were asked for while `transit_limit` others were in transit.
    pub transit_exceeded: u64,
    /// Most loads that were in transit at once.
    pub most_transit: u32,
}

/// Says that the store failed a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreDown;

/// The weight store; shared by the engines of a deployment.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    state: Mutex<State>,
}

/// What changes in the weight store.
#[derive(Debug, Default)]
struct State {
    faults: StoreFaults,
    ledger: StoreLedger,
    /// When the rate allows the next load.
    next: Option<Instant>,
    /// Starts within the last window.
    recent: Vec<Instant>,
    transit: u32,
}

impl Store {
    /// Makes a store.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            state: Mutex::default(),
        })
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.with(|s| s.faults = faults);
    }

    /// Returns a copy of what the store did so far.
    #[must_use]
    pub fn ledger(&self) -> StoreLedger {
        self.with(|s| s.ledger.clone())
    }

    /// Starts a load and returns the time until it is complete; [`Self::end`] closes it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreDown`] while the store fails loads.
    pub fn begin(&self, now: Instant, adapter: &AdapterRef) -> Result<Duration, StoreDown> {
        self.with(|s| s.begin(&self.settings, now, adapter))
    }

    /// Closes a load that [`Self::begin`] started.
    pub fn end(&self) {
        self.with(|s| s.transit = s.transit.saturating_sub(1));
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State {
    fn begin(
        &mut self,
        settings: &StoreSettings,
        now: Instant,
        adapter: &AdapterRef,
    ) -> Result<Duration, StoreDown> {
        self.ledger.loads.push(adapter.clone());
        self.count_rate(settings, now);
        if self.faults.down {
            self.ledger.failed += 1;
            return Err(StoreDown);
        }
        let wait = self.take_turn(settings, now);
        self.count_transit(settings);
        let crowd = f64::from(self.transit) / f64::from(settings.transit_limit.max(1));
        let transfer = settings.transfer.get().mul_f64(crowd.max(1.0));
        Ok(wait + transfer + self.faults.slow.get())
    }

    /// Holds the callers to `rate * window + places` starts within one window.
    fn count_rate(&mut self, settings: &StoreSettings, now: Instant) {
        let window = settings.window.get();
        self.recent
            .retain(|at| now.saturating_duration_since(*at) < window);
        self.recent.push(now);
        let limit = settings.rate * window.as_secs_f64() + f64::from(settings.places);
        let count = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        if f64::from(count) > limit {
            self.ledger.rate_exceeded += 1;
        }
    }

    /// Takes the next turn that the rate allows and returns the time until then.
    fn take_turn(&mut self, settings: &StoreSettings, now: Instant) -> Duration {
        let gap = Duration::from_secs_f64(1.0 / settings.rate.max(SLOWEST_RATE));
        let credit = gap * settings.places.saturating_sub(1);
        let earliest = now.checked_sub(credit).unwrap_or(now);
        let turn = self.next.map_or(earliest, |next| next.max(earliest));
        self.next = Some(turn + gap);
        let wait = turn.saturating_duration_since(now);
        if wait > Duration::ZERO {
            self.ledger.throttled += 1;
        }
        wait
    }

    fn count_transit(&mut self, settings: &StoreSettings) {
        if self.transit >= settings.transit_limit {
            self.ledger.transit_exceeded += 1;
        }
        self.transit += 1;
        self.ledger.most_transit = self.ledger.most_transit.max(self.transit);
    }
}
