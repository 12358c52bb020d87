//! Settings of an engine, [`EngineSettings`], and faults to inject, [`EngineFaults`].

use std::sync::Arc;

use caraway_types::{EndpointId, Millis};
use serde::{Deserialize, Serialize};

use crate::Store;

/// Settings of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The engine's id.
    pub id: EndpointId,
    /// Port of the server; zero lets the operating system choose.
    pub port: u16,
    /// Number of adapter slots.
    pub slots: u32,
    /// Maximum number of requests in the batch.
    pub max_batch: u32,
    /// Maximum number of requests that wait for room in the batch.
    pub max_waiting: u32,
    /// Whether orders with a stale or missing fencing token are refused.
    pub checks_fencing: bool,
    /// Duration of a batch step with one request, in microseconds.
    pub step_us: u64,
    /// Time that each further request in the batch adds to a step, in microseconds.
    pub fill_us: u64,
    /// Time to prefill one prompt byte that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Capacity of the prefix cache, in blocks of 16 prompt bytes.
    pub cache_blocks: u32,
    /// Age of the load report when it is answered.
    pub report_lag: Millis,
    /// How long an attempt without a connected caller can be resumed before it is ended.
    pub resume_window: Millis,
    /// The weight store that adapters are loaded from; `None` makes loads immediate. Not part of
    /// the settings file: [`Fleet`](crate::Fleet) sets it.
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

/// Faults to inject into an engine; none by default.
///
/// Counts say how many of the next events are affected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of the next loads that fail.
    pub fail_loads: u32,
    /// Whether the batch makes no progress.
    pub stalled: bool,
    /// Time added to each batch step.
    pub slow_step: Millis,
    /// Number of runs that are ended as broken, each at the end of a batch step.
    pub break_runs: u32,
    /// Number of the next steps in which two runs of the batch receive each other's token.
    pub cross_tokens: u32,
    /// Number of the next tokens that are those of another version of the adapter.
    pub wrong_tokens: u32,
    /// Restarts the engine once, when the faults are set; it loses its loads and runs.
    pub restart: bool,
    /// Number of the next requests for the load report that fail.
    pub fail_reports: u32,
}
