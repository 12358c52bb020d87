//! [`EngineLedger`]: the record of what an engine did, for checks after a run.

use std::{sync::Arc, time::SystemTime};

use caraway_types::{AdapterRef, EndpointId, FencingToken, Incarnation, LoadName};
use caraway_wire::engine::EngineErrorKind;
use serde::{Deserialize, Serialize};

/// What an engine did since it was created; simulated restarts do not clear it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLedger {
    /// Accepted attempts in the order of their arrival.
    pub runs: Vec<RunRecord>,
    /// Load and unload orders in the order of their arrival, failed ones included.
    pub orders: Vec<OrderRecord>,
    /// Violations of the platform's rules by callers.
    pub violations: Vec<Violation>,
    /// Number of batch steps.
    pub steps: u64,
    /// Sum over all steps of the number of runs in the batch.
    pub fill_sum: u64,
    /// Prompt bytes that were prefilled because the prefix cache did not have them.
    pub prefilled: u64,
    /// Prompt bytes that the prefix cache had.
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
    /// The whole prompt.
    pub prompt: Arc<str>,
    /// When it arrived.
    pub arrived: SystemTime,
    /// Whether it has entered the batch.
    pub started: bool,
    /// Number of tokens generated; a resumed attempt does not generate a token twice.
    pub generated: u32,
    /// How it ended; `None` while it waits or runs.
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
    /// The engine ended it because of a restart, a fault or an unload.
    Broken,
}

/// One load or unload order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// When it arrived.
    pub arrived: SystemTime,
    /// Whether it is a load or an unload.
    pub kind: OrderKind,
    /// The load's name.
    pub load: LoadName,
    /// Its fencing token; `None` if it carried none.
    pub fence: Option<FencingToken>,
    /// The engine's incarnation when the order arrived.
    pub incarnation: Incarnation,
    /// Why the order was refused; `None` if it was accepted, also when the load failed later.
    pub error: Option<EngineErrorKind>,
}

/// Kind of an order.
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
    /// An unload ended requests that ran on the load and had a connected caller.
    UnloadWhileRunning {
        /// The engine.
        engine: EndpointId,
        /// The load.
        load: LoadName,
        /// Number of these requests.
        running: u32,
    },
}
