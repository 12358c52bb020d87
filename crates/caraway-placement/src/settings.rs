//! [`PlacerSettings`].

use std::time::Duration;

/// Sets how a [`Placer`](crate::Placer) decides.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerSettings {
    /// Time constant of an adapter's popularity.
    pub popularity: Duration,
    /// Runs of an adapter on its least used copy that make a further copy worth its load.
    pub copy_runs: u32,
    /// Adapters on their way to one endpoint at once.
    pub endpoint_transit: usize,
    /// Adapters on their way from the weight store for each endpoint of the zone that are always
    /// allowed; more are while loads take no longer by it.
    pub zone_transit: f64,
    /// Adapters whose copies an endpoint keeps in its memory after they were unloaded.
    pub recent: usize,
    /// Time that an adapter's load from the weight store takes at first estimate.
    pub load: Duration,
    /// Time that a load takes where the endpoint held the adapter recently.
    pub reload: Duration,
    /// Pause between questions whether a load is complete.
    pub poll: Duration,
    /// Pause between questions whether a model's weights are there.
    pub weights_poll: Duration,
    /// Span over which loads of weights from the weight store are counted.
    pub load_window: Duration,
    /// Multiple of the weight store's rate that a span may have.
    pub load_factor: f64,
    /// Zones that share the weight store's rate evenly.
    pub zones: u32,
    /// How long an endpoint's report lags behind.
    pub report_lag: Duration,
    /// Time after the announcement of a version in which an older one may still serve.
    pub stale: Duration,
    /// Time for which an endpoint that could not be reached is left alone.
    pub pause: Duration,
    /// Time for which an endpoint that gives no sign of life is left alone.
    pub silence: Duration,
    /// Prompt tokens that an engine reads in a ms.
    pub prompt_speed: f64,
    /// Shortest run that is worth starting before a deadline.
    pub shortest_run: Duration,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            // Forgetting has to be fast; measured with one placer, 1 s to 6 s differ by 0.02.
            popularity: Duration::from_secs(3),
            // Measured: 10 and 16 serve best, 5 loads too many copies.
            copy_runs: 10,
            // The protocol's limit for one endpoint.
            endpoint_transit: 4,
            // The deployments' sheets allow 16 for 9 endpoints and 112 for 60 and 72.
            zone_transit: 1.75,
            // The smallest that the deployments' engines keep is 51.
            recent: 50,
            // The deployments' sheets give 250 ms and 288 ms.
            load: Duration::from_millis(260),
            // A tenth of a load, by the protocol.
            reload: Duration::from_millis(27),
            // A question costs less than a hundredth of a late request.
            poll: Duration::from_millis(12),
            // A twentieth of a load from the store.
            weights_poll: Duration::from_millis(100),
            // The deployments' bounds.
            load_window: Duration::from_secs(5),
            load_factor: 1.0,
            zones: 1,
            // The protocol names some hundred ms; the deployments use 100 and 200.
            report_lag: Duration::from_millis(250),
            // Leaves 2 s of the 5 s that the deployments allow for runs to begin.
            stale: Duration::from_secs(3),
            // An endpoint that crashed is back after some 2 s.
            pause: Duration::from_millis(300),
            // Some requests go there to see whether it is back.
            silence: Duration::from_secs(1),
            // The deployments' sheets give 38 on an idle engine; each step costs some.
            prompt_speed: 30.0,
            // A first event takes some 30 ms on an idle engine.
            shortest_run: Duration::from_millis(30),
        }
    }
}
