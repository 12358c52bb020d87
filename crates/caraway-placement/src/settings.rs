//! Settings of a placer.

use std::time::Duration;

/// Settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerSettings {
    /// Time constant by which an adapter's popularity decays.
    pub popularity_decay: Duration,
    /// Runs on the least used copy of an adapter from which a further copy is loaded.
    pub copy_threshold: u32,
    /// Limit of concurrent adapter loads at one endpoint.
    pub endpoint_load_limit: usize,
    /// Concurrent adapter loads from the weight store that are always allowed, per endpoint of the
    /// zone; more are allowed while they don't slow each other down.
    pub load_limit_floor: f64,
    /// Number of adapters whose copies an endpoint keeps in memory after they were unloaded.
    pub cached_adapters: usize,
    /// Initial estimate of the time of an adapter load from the weight store.
    pub load_time: Duration,
    /// Time of an adapter load from a copy in the endpoint's memory.
    pub reload_time: Duration,
    /// Interval between polls of an adapter load.
    pub poll_interval: Duration,
    /// Interval between polls of a load of model weights.
    pub weights_poll_interval: Duration,
    /// Window over which loads of model weights from the weight store are counted.
    pub load_window: Duration,
    /// Rate of weight loads that is allowed in a window, as a multiple of the weight store's rate.
    pub load_factor: f64,
    /// Number of zones that share the weight store's rate evenly.
    pub zones: u32,
    /// Time by which an endpoint's report lags behind.
    pub report_lag: Duration,
    /// Time after the announcement of a version in which an older one may still serve.
    pub version_grace: Duration,
    /// Time for which an endpoint is not used after it failed or could not be reached.
    pub endpoint_pause: Duration,
    /// Time for which an endpoint is not used after it stopped responding.
    pub stall_pause: Duration,
    /// Prompt tokens that an engine processes per ms.
    pub prompt_speed: f64,
    /// Time of a decoding step of an engine; with `prompt_speed` the unit of learned speeds.
    pub step_time: Duration,
    /// Shortest run that is worth starting before a deadline.
    pub min_run_time: Duration,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            // Popularity has to decay fast; results from 1 s to 6 s differ by 0.02 with one placer.
            popularity_decay: Duration::from_secs(3),
            // 10 and 16 serve best; 5 loads too many copies.
            copy_threshold: 10,
            // The protocol's limit for one endpoint.
            endpoint_load_limit: 4,
            // The deployments allow 16 for 9 endpoints and 112 for 60 and 72.
            load_limit_floor: 1.75,
            // The deployments' engines keep at least 51.
            cached_adapters: 50,
            // Loads take 250 ms and 288 ms in the deployments.
            load_time: Duration::from_millis(260),
            // A tenth of a load, as the protocol says.
            reload_time: Duration::from_millis(27),
            // A poll costs less than a hundredth of a late request.
            poll_interval: Duration::from_millis(12),
            // A twentieth of a load from the weight store.
            weights_poll_interval: Duration::from_millis(100),
            // The limits of the deployments.
            load_window: Duration::from_secs(5),
            load_factor: 1.0,
            zones: 1,
            // The protocol says some hundred ms; the deployments use 100 ms and 200 ms.
            report_lag: Duration::from_millis(250),
            // Leaves 2 s of the 5 s that the deployments allow for runs to begin.
            version_grace: Duration::from_secs(3),
            // A crashed endpoint is back after about 2 s.
            endpoint_pause: Duration::from_millis(300),
            // Some requests have to be sent there to find out whether it is back.
            stall_pause: Duration::from_secs(1),
            // Idle engines of the deployments process 38 tokens per ms; each decoding step takes
            // some time.
            prompt_speed: 30.0,
            // As long as 180 prompt tokens take, as in the deployments (4.43 ms for 169 tokens and
            // 9.47 ms for 182).
            step_time: Duration::from_millis(6),
            // A first event takes about 30 ms on an idle engine.
            min_run_time: Duration::from_millis(30),
        }
    }
}
