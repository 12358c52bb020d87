//! [`Store`]: a test double for the weight store, from which every engine loads adapters.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use caraway_types::{AdapterRef, Millis};
use serde::{Deserialize, Serialize};

/// Minimum effective rate, in loads per second; avoids a division by zero.
const MIN_RATE: f64 = 0.001;

/// Settings of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Loads that it starts per second.
    pub rate: f64,
    /// Loads that it can start at once after an idle time; `places` in the settings file.
    #[serde(rename = "places")]
    pub burst: u32,
    /// Duration of a load while no more than `transit_limit` loads are in transit.
    pub transfer: Millis,
    /// Maximum number of concurrent loads at full speed; beyond it a load takes proportionally
    /// longer.
    pub transit_limit: u32,
    /// Length of the sliding window in which [`StoreLedger::rate_exceeded`] counts loads.
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

/// Faults to inject into the weight store; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every load fails.
    pub down: bool,
    /// Time added to each load.
    pub slow: Millis,
}

/// Record of what the weight store did, for checks after a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreLedger {
    /// Adapter versions of all requested loads, in order.
    pub loads: Vec<AdapterRef>,
    /// Number of loads that failed.
    pub failed: u64,
    /// Number of loads that had to wait because the rate was exhausted.
    pub throttled: u64,
    /// Number of loads requested beyond `rate * window + burst` within the window before them.
    pub rate_exceeded: u64,
    /// Number of loads requested while `transit_limit` or more others were in transit.
    pub transit_exceeded: u64,
    /// Maximum number of loads that were in transit at once.
    pub most_transit: u32,
}

/// Error of a load that the store failed because of [`StoreFaults::down`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreDown;

/// The weight store, which the engines of a deployment share.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    state: Mutex<StoreState>,
}

/// Active faults, ledger, use of the rate and loads in transit of the weight store.
#[derive(Debug, Default)]
struct StoreState {
    faults: StoreFaults,
    ledger: StoreLedger,
    /// Earliest time at which the rate allows the next load; `None` before the first load.
    next_start: Option<Instant>,
    /// Times of the load requests within the last window.
    recent_starts: Vec<Instant>,
    /// Number of loads in transit.
    transit: u32,
}

impl Store {
    /// Returns a store without active faults.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            state: Mutex::default(),
        })
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.with(|s| s.faults = faults);
    }

    /// Returns a copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> StoreLedger {
        self.with(|s| s.ledger.clone())
    }

    /// Starts a load at `now` and returns the time until it is complete. The caller waits for that
    /// time and then calls [`Self::end_load`].
    ///
    /// # Errors
    ///
    /// Returns [`StoreDown`] while [`StoreFaults::down`] is set; [`Self::end_load`] must not be
    /// called then.
    pub fn begin_load(&self, now: Instant, adapter: &AdapterRef) -> Result<Duration, StoreDown> {
        self.with(|s| s.begin_load(&self.settings, now, adapter))
    }

    /// Ends a load that [`Self::begin_load`] started.
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

    /// Records a load request and counts it if it exceeds `rate * window + burst` in the window.
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

    /// Reserves the next start time that the rate allows and returns the time until then.
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
