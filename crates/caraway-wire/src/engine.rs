//! Messages of the model engine's HTTP API: completions, loading and unloading of adapters, and the
//! load report.
//!
//! - `POST /v1/completions` takes a [`CompletionRequest`] and responds with server-sent events.
//!   Each `data:` field is a [`CompletionChunk`] in JSON; `data: [DONE]` ends a complete stream.
//!   Closing the connection cancels the completion unless it is resumed in time.
//! - `POST /v1/completions/cancel` takes a [`CancelRequest`].
//! - `POST /v1/load_lora_adapter` takes a [`LoadRequest`] and `POST /v1/unload_lora_adapter` an
//!   [`UnloadRequest`], both with the header [`FENCING_TOKEN_HEADER`].
//! - `GET /load` responds with an [`EngineStatus`], which may be stale.
//!
//! Failed requests have a 4xx or 5xx status and an [`EngineError`] as their body.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{AdapterRef, Incarnation, LoadName};

/// Header with the fencing token of a load or unload request, in decimal.
pub const FENCING_TOKEN_HEADER: &str = "x-fencing-token";
/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Requests a completion.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// Load name of the adapter, as given in its [`LoadRequest`].
    pub model: Arc<str>,
    /// Text to complete.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream the response; an instance always sets it.
    pub stream: bool,
    /// Scheduling priority; smaller values run first.
    pub priority: u8,
    /// Id of the attempt, chosen by the caller and repeated in each chunk.
    pub request_id: Arc<str>,
    /// Index of the first token to send. A value above zero resumes the attempt with the same id.
    pub resume_from: u32,
}

/// One token of an answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionChunk {
    /// Id of the attempt.
    pub request_id: Arc<str>,
    /// Load name of the adapter that produced the token.
    pub model: Arc<str>,
    /// Position of the token in the answer, counted from zero.
    pub index: u32,
    /// Text of the token.
    pub text: Arc<str>,
    /// `stop` or `length` on the last token, `None` on all others.
    pub finish_reason: Option<Arc<str>>,
}

/// Cancels a completion.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CancelRequest {
    /// Id of the attempt to cancel.
    pub request_id: Arc<str>,
}

/// Loads an adapter version under a name. Succeeds without effect if the name is already resident.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Load name, chosen by the holder of the replica.
    pub lora_name: LoadName,
    /// Adapter version to fetch from the weight store, written as `adapter@version`.
    pub lora_path: AdapterRef,
}

/// Unloads an adapter version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnloadRequest {
    /// Load name under which it was loaded.
    pub lora_name: LoadName,
}

/// An adapter version that is resident on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Load name under which it was loaded.
    pub lora_name: LoadName,
    /// The adapter version, written as `adapter@version`.
    pub lora_path: AdapterRef,
    /// Number of running requests that use it.
    pub running: u32,
}

/// An engine's report of its own state, which may be stale.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Increases with each restart, after which no adapter is resident.
    pub incarnation: Incarnation,
    /// Number of adapter slots.
    pub slots: u32,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for room in the batch.
    pub waiting: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Largest fencing token that the engine has received; zero if it does not check tokens.
    pub max_fence: u64,
    /// The resident adapter versions.
    pub residents: Vec<Resident>,
}

/// Body of the response to a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// Machine-readable cause.
    pub error: EngineErrorKind,
    /// Human-readable detail.
    pub message: Arc<str>,
}

/// Cause of a failed request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorKind {
    /// The body or a header can't be parsed.
    BadRequest,
    /// No adapter version is resident under this name; the request did not run.
    UnknownModel,
    /// Every adapter slot is occupied; the load request had no effect.
    SlotsFull,
    /// The fencing token is smaller than one that the engine received before; the request had no
    /// effect.
    StaleFence,
    /// The weight store failed or does not have the adapter version.
    LoadFailed,
    /// The queue for the batch is full; the request did not run.
    Overloaded,
    /// No attempt with this id can be resumed.
    NotResumable,
}
