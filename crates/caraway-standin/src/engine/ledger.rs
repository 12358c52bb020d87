//! [`EngineLedger`]: what an engine did.

use std::{sync::Arc, time::SystemTime};

use caraway_types::{AdapterRef, EndpointId, FencingToken, Incarnation, LoadName};
use caraway_wire::engine::EngineErrorKind;
use serde::{Deserialize, Serialize};

/// Everything that an engine did since it was first started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLedger {
    /// The attempts in the order of their arrival.
    pub runs: Vec<RunRecord>,
    /// The orders in the order of their arrival.
    pub orders: Vec<OrderRecord>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Steps of the batch.
    pub steps: u64,
    /// Sum of the fill over all steps.
    pub fill_sum: u64,
    /// Prompt bytes that were prefilled.
    pub prefilled: u64,
    /// Prompt bytes that the prefix cache saved.
    pub prefix_hits: u64,
}

/// One attempt on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The attempt's id.
    pub attempt: Arc<str>,
    /// The load that it named.
    pub load: LoadName,
    /// The adapter version behind that load.
    pub adapter: AdapterRef,
    /// The prompt.
    pub prompt: Arc<str>,
    /// When it arrived.
    pub arrived: SystemTime,
    /// Whether it entered the batch.
    pub started: bool,
    /// Tokens generated, each once.
    pub generated: u32,
    /// How it ended, if it did.
    pub end: Option<RunEnd>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// The caller cancelled it.
    Cancelled,
    /// The caller disconnected and did not resume it in time.
    Abandoned,
    /// The engine broke it off: a restart, a fault or an unload.
    Broken,
}

/// One order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// When it arrived.
    pub arrived: SystemTime,
    /// What was ordered.
    pub kind: OrderKind,
    /// The load's name.
    pub load: LoadName,
    /// The fencing token that came with it.
    pub fence: Option<FencingToken>,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Why it failed, if it did.
    pub error: Option<EngineErrorKind>,
}

/// What an order asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// To load an adapter version.
    Load,
    /// To unload a load.
    Unload,
}

/// A rule of the platform that a caller broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// An unload hit a load while a request ran on it.
    UnloadWhileRunning {
        /// The engine.
        engine: EndpointId,
        /// The load.
        load: LoadName,
        /// Requests that ran on it.
        running: u32,
    },
}
