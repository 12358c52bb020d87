//! [`Store`]: the weight store that every engine of a deployment loads from.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use caraway_types::{AdapterRef, Millis};
use serde::{Deserialize, Serialize};

/// Smallest rate, in loads a second.
const MIN_RATE: f64 = 0.001;

/// How the weight store behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Loads that it starts a second.
    pub rate: f64,
    /// Loads that it starts at once after an idle time.
    #[serde(rename = "places")]
    pub burst: u32,
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
            burst: 2,
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
    /// Loads that were asked for beyond `rate * window + burst` within one window.
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
    state: Mutex<StoreState>,
}

/// What changes in the weight store.
#[derive(Debug, Default)]
struct StoreState {
    faults: StoreFaults,
    ledger: StoreLedger,
    /// When the rate allows the next load.
    next_start: Option<Instant>,
    /// Starts within the last window.
    recent_starts: Vec<Instant>,
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

    /// Starts a load and returns the time until it is complete; [`Self::end_load`] closes it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreDown`] while the store fails loads.
    pub fn begin_load(&self, now: Instant, adapter: &AdapterRef) -> Result<Duration, StoreDown> {
        self.with(|s| s.begin_load(&self.settings, now, adapter))
    }

    /// Closes a load that [`Self::begin_load`] started.
    pub fn end_load(&self) {
        self.with(|s| s.transit = s.transit.saturating_sub(1));
    }

    fn with<R>(&self, f: impl FnOnce(&mut StoreState) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl StoreState {
    fn begin_load(
        &mut self,
        settings: &StoreSettings,
        now: Instant,
        adapter: &AdapterRef,
    ) -> Result<Duration, StoreDown> {
        self.ledger.loads.push(adapter.clone());
        self.record_start(settings, now);
        if self.faults.down {
            self.ledger.failed += 1;
            return Err(StoreDown);
        }
        let wait = self.reserve_start(settings, now);
        self.record_transit(settings);
        let slowdown = f64::from(self.transit) / f64::from(settings.transit_limit.max(1));
        let transfer = settings.transfer.get().mul_f64(slowdown.max(1.0));
        Ok(wait + transfer + self.faults.slow.get())
    }

    /// Holds the callers to `rate * window + burst` starts within one window.
    fn record_start(&mut self, settings: &StoreSettings, now: Instant) {
        let window = settings.window.get();
        self.recent_starts
            .retain(|at| now.saturating_duration_since(*at) < window);
        self.recent_starts.push(now);
        let limit = settings.rate * window.as_secs_f64() + f64::from(settings.burst);
        let count = u32::try_from(self.recent_starts.len()).unwrap_or(u32::MAX);
        if f64::from(count) > limit {
            self.ledger.rate_exceeded += 1;
        }
    }

    /// Takes the next start that the rate allows and returns the time until then.
    fn reserve_start(&mut self, settings: &StoreSettings, now: Instant) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / settings.rate.max(MIN_RATE));
        let burst_time = interval * settings.burst.saturating_sub(1);
        let earliest = now.checked_sub(burst_time).unwrap_or(now);
        let start = self.next_start.map_or(earliest, |next| next.max(earliest));
        self.next_start = Some(start + interval);
        let wait = start.saturating_duration_since(now);
        if wait > Duration::ZERO {
            self.ledger.throttled += 1;
        }
        wait
    }

    fn record_transit(&mut self, settings: &StoreSettings) {
        if self.transit >= settings.transit_limit {
            self.ledger.transit_exceeded += 1;
        }
        self.transit += 1;
        self.ledger.most_transit = self.ledger.most_transit.max(self.transit);
    }
}
