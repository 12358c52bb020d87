//! Settings of a placer.

use std::time::Duration;

/// Settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerSettings {
    /// Time constant by which an adapter's popularity decays.
    pub popularity: Duration,
    /// Runs on the least used copy of an adapter from which a further copy is loaded.
    pub copy_runs: u32,
    /// Limit of concurrent adapter loads at one endpoint.
    pub endpoint_transit: usize,
    /// Concurrent adapter loads from the weight store that are always allowed, per endpoint of the
    /// zone; more are allowed while they don't slow each other down.
    pub zone_transit: f64,
    /// Number of adapters whose copies an endpoint keeps in memory after they were unloaded.
    pub recent: usize,
    /// Initial estimate of the time of an adapter load from the weight store.
    pub load: Duration,
    /// Time of an adapter load from a copy in the endpoint's memory.
    pub reload: Duration,
    /// Interval between polls of an adapter load.
    pub poll: Duration,
    /// Interval between polls of a load of model weights.
    pub weights_poll: Duration,
    /// Window over which loads of model weights from the weight store are counted.
    pub load_window: Duration,
    /// Multiple of the weight store's rate that a window may have.
    pub load_factor: f64,
    /// Number of zones that share the weight store's rate evenly.
    pub zones: u32,
    /// Time by which an endpoint's report lags behind.
    pub report_lag: Duration,
    /// Time after the announcement of a version in which an older one may still serve.
    pub stale: Duration,
    /// Time for which an endpoint is not used after it failed or could not be reached.
    pub pause: Duration,
    /// Time for which an endpoint is not used after it stopped responding.
    pub silence: Duration,
    /// Prompt tokens that an engine processes per ms.
    pub prompt_speed: f64,
    /// Shortest run that is worth starting before a deadline.
    pub shortest_run: Duration,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            // Popularity has to decay fast; results from 1 s to 6 s differ by 0.02 with one placer.
            popularity: Duration::from_secs(3),
            // 10 and 16 serve best; 5 loads too many copies.
            copy_runs: 10,
            // The protocol's limit for one endpoint.
            endpoint_transit: 4,
            // The deployments allow 16 for 9 endpoints and 112 for 60 and 72.
            zone_transit: 1.75,
            // The deployments' engines keep at least 51.
            recent: 50,
            // Loads take 250 ms and 288 ms in the deployments.
            load: Duration::from_millis(260),
            // A tenth of a load, as the protocol says.
            reload: Duration::from_millis(27),
            // A poll costs less than a hundredth of a late request.
            poll: Duration::from_millis(12),
            // A twentieth of a load from the weight store.
            weights_poll: Duration::from_millis(100),
            // The limits of the deployments.
            load_window: Duration::from_secs(5),
            load_factor: 1.0,
            zones: 1,
            // The protocol says some hundred ms; the deployments use 100 ms and 200 ms.
            report_lag: Duration::from_millis(250),
            // Leaves 2 s of the 5 s that the deployments allow for runs to begin.
            stale: Duration::from_secs(3),
            // A crashed endpoint is back after about 2 s.
            pause: Duration::from_millis(300),
            // Some requests have to be sent there to find out whether it is back.
            silence: Duration::from_secs(1),
            // Idle engines of the deployments process 38 tokens per ms; each decoding step takes
            // some time.
            prompt_speed: 30.0,
            // A first event takes about 30 ms on an idle engine.
            shortest_run: Duration::from_millis(30),
        }
    }
}
