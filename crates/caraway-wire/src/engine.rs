//! The model engine's protocol: completions by load name, adapter orders and the load report.
//!
//! - `POST /v1/completions` takes [`CompletionRequest`] and answers with server-sent events, each
//!   `data: ` a [`CompletionChunk`] in JSON, closed by `data: [DONE]`. A dropped connection
//!   cancels the work unless it is resumed in time.
//! - `POST /v1/completions/cancel` takes [`CancelRequest`].
//! - `POST /v1/load_lora_adapter` and `POST /v1/unload_lora_adapter` take [`LoadRequest`] and
//!   [`UnloadRequest`], with the header [`FENCE_HEADER`].
//! - `GET /load` answers [`EngineLoad`], which lags.
//!
//! Errors carry [`EngineError`] with a 4xx or 5xx status.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{AdapterRef, Incarnation, LoadName};

/// Header that carries the fencing token of an order, in decimal.
pub const FENCE_HEADER: &str = "x-fencing-token";
/// Closes a stream of completions.
pub const DONE: &str = "[DONE]";

/// Asks an engine for a completion.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// The name under which the adapter is loaded.
    pub model: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream; the daemon always streams.
    pub stream: bool,
    /// Lower goes first.
    pub priority: u8,
    /// The attempt's id, chosen by the caller and echoed in each chunk.
    pub request_id: Arc<str>,
    /// Index of the first token to send; above zero resumes the attempt of the same id.
    pub resume_from: u32,
}

/// One token of an answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionChunk {
    /// The attempt's id.
    pub request_id: Arc<str>,
    /// The load name that produced the token.
    pub model: Arc<str>,
    /// Position of the token in the answer, from zero.
    pub index: u32,
    /// The token.
    pub text: Arc<str>,
    /// `stop` or `length` on the last token.
    pub finish_reason: Option<Arc<str>>,
}

/// Cancels an attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CancelRequest {
    /// The attempt's id.
    pub request_id: Arc<str>,
}

/// Orders a load; repeating it for a name that is resident succeeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The name that the holder chooses.
    pub lora_name: LoadName,
    /// The adapter version to fetch from the weight store, `adapter@version`.
    pub lora_path: AdapterRef,
}

/// Orders an unload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnloadRequest {
    /// The name of the load.
    pub lora_name: LoadName,
}

/// A load that is resident on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The name of the load.
    pub lora_name: LoadName,
    /// The adapter version.
    pub lora_path: AdapterRef,
    /// Requests that run on it.
    pub running: u32,
}

/// What an engine says of itself, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Rises when the engine restarts empty.
    pub incarnation: Incarnation,
    /// Adapter slots.
    pub slots: u32,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Most requests in a batch.
    pub max_batch: u32,
    /// Largest fencing token seen, zero where none is kept.
    pub max_fence: u64,
    /// The loads that are resident.
    pub residents: Vec<Resident>,
}

/// Body of a failed engine call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// What went wrong.
    pub error: EngineErrorKind,
    /// Detail for a person.
    pub message: Arc<str>,
}

/// Why an engine call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorKind {
    /// The body or a header does not parse.
    BadRequest,
    /// No load of this name is resident; the request did not run.
    UnknownModel,
    /// Every slot is taken; the order had no effect.
    SlotsFull,
    /// The fencing token is smaller than one already seen; the order had no effect.
    StaleFence,
    /// The weight store failed or the adapter version is not in it.
    LoadFailed,
    /// The batch queue is full; the request did not run.
    Overloaded,
    /// No attempt of this id can be resumed.
    NotResumable,
}
