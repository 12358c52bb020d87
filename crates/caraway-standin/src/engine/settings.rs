//! [`EngineSettings`] and [`EngineFaults`].

use std::sync::Arc;

use caraway_types::{EndpointId, Millis};
use serde::{Deserialize, Serialize};

use crate::Store;

/// How an engine behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The engine's id.
    pub id: EndpointId,
    /// Port of the server; zero lets the operating system choose.
    pub port: u16,
    /// Adapter slots.
    pub slots: u32,
    /// Most requests in a batch.
    pub max_batch: u32,
    /// Most requests that wait for a place in the batch.
    pub max_waiting: u32,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Cost of a step with one request, in microseconds.
    pub step_us: u64,
    /// Cost that each further request adds to a step, in microseconds.
    pub fill_us: u64,
    /// Cost of the prefill of one prompt byte that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Prompt prefixes that the cache keeps, in blocks.
    pub cache_blocks: u32,
    /// Age of the load report.
    pub report_lag: Millis,
    /// How long a disconnected attempt runs on so that it can be resumed.
    pub resume_window: Millis,
    /// The weight store that loads come from; they are immediate without one.
    #[serde(skip)]
    pub store: Option<Arc<Store>>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            id: "engine".into(),
            port: 0,
            slots: 8,
            max_batch: 16,
            max_waiting: 64,
            checks_fencing: true,
            step_us: 4_000,
            fill_us: 150,
            prefill_us: 5,
            cache_blocks: 512,
            report_lag: Millis::new(200),
            resume_window: Millis::new(5_000),
            store: None,
        }
    }
}

/// Faults of an engine, none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Loads that fail from now on.
    pub fail_loads: u32,
    /// Makes the batch stand still.
    pub stalled: bool,
    /// Time added to each step.
    pub slow_step: Millis,
    /// Runs that break off after their first token.
    pub break_runs: u32,
    /// Tokens from now on that go to another run of the batch, and that run's to this one.
    pub cross_tokens: u32,
    /// Tokens from now on that another version of the adapter generates.
    pub wrong_tokens: u32,
    /// Restarts the engine empty, once.
    pub restart: bool,
    /// Load reports that fail from now on.
    pub fail_reports: u32,
}
