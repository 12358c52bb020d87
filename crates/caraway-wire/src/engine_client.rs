//! [`EngineClient`] calls a model engine.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use caraway_types::{AdapterRef, FencingToken};
use ntex::{
    client::ClientResponse,
    http::{Method, StatusCode},
};

use crate::{
    CallError, EventStream, Http,
    engine::{
        CancelRequest, CompletionChunk, CompletionRequest, DONE, EngineError, EngineErrorKind,
        EngineLoad, FENCE_HEADER, LoadRequest, UnloadRequest,
    },
};

/// Calls one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Http,
    addr: SocketAddr,
}

/// Why an engine call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// The engine refused with a typed error.
    Refused(EngineErrorKind, Arc<str>),
    /// The call failed on the way.
    Call(CallError),
}

/// The tokens of one attempt, as they arrive.
pub struct ChunkStream {
    events: EventStream,
}

impl EngineClient {
    /// Calls the engine at `addr` through `http`.
    #[must_use]
    pub fn new(http: Http, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Starts or resumes a completion; returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineFault`]; a typed refusal means that the attempt did not run.
    pub async fn complete(&self, request: &CompletionRequest) -> Result<ChunkStream, EngineFault> {
        let body = serde_json::to_vec(request).map_err(|e| not_sent(&e))?;
        let path = "/v1/completions";
        let response = self
            .http
            .call(Method::POST, self.addr, path, &[], Some(body.into()))
            .await
            .map_err(EngineFault::Call)?;
        if response.status() == StatusCode::OK {
            return Ok(ChunkStream::new(response));
        }
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        Err(EngineFault::from(CallError::Status(status, text.into())))
    }

    /// Cancels an attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineFault`].
    pub async fn cancel(&self, id: &Arc<str>, limit: Duration) -> Result<(), EngineFault> {
        let body = CancelRequest {
            request_id: Arc::clone(id),
        };
        self.order("/v1/completions/cancel", &[], &body, limit)
            .await
    }

    /// Orders a load under `name`.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineFault`]; anything but a typed refusal leaves the outcome open.
    pub async fn load(
        &self,
        name: &Arc<str>,
        adapter: &AdapterRef,
        fence: FencingToken,
        limit: Duration,
    ) -> Result<(), EngineFault> {
        let body = LoadRequest {
            lora_name: Arc::clone(name),
            lora_path: adapter.clone(),
        };
        let fence = fence.to_string();
        let headers = [(FENCE_HEADER, fence.as_str())];
        self.order("/v1/load_lora_adapter", &headers, &body, limit)
            .await
    }

    /// Orders an unload of `name`.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineFault`]; anything but a typed refusal leaves the outcome open.
    pub async fn unload(
        &self,
        name: &Arc<str>,
        fence: FencingToken,
        limit: Duration,
    ) -> Result<(), EngineFault> {
        let body = UnloadRequest {
            lora_name: Arc::clone(name),
        };
        let fence = fence.to_string();
        let headers = [(FENCE_HEADER, fence.as_str())];
        self.order("/v1/unload_lora_adapter", &headers, &body, limit)
            .await
    }

    /// Fetches the load report.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineFault`].
    pub async fn report(&self, limit: Duration) -> Result<EngineLoad, EngineFault> {
        self.http
            .get(self.addr, "/load", limit)
            .await
            .map_err(EngineFault::from)
    }

    async fn order<Q: serde::Serialize>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Q,
        limit: Duration,
    ) -> Result<(), EngineFault> {
        self.http
            .order(self.addr, path, headers, body, limit)
            .await
            .map(|_| ())
            .map_err(EngineFault::from)
    }
}

impl ChunkStream {
    /// Reads the tokens of `response`; dropping the stream closes its connection.
    #[must_use]
    pub fn new(response: ClientResponse) -> Self {
        Self {
            events: EventStream::new(response),
        }
    }

    /// Waits for the next token; `None` closes a complete stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] when the stream breaks before it is closed.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, CallError> {
        match self.events.next().await? {
            None => Err(CallError::Unknown("stream ended early".into())),
            Some(data) if &*data == DONE => Ok(None),
            Some(data) => serde_json::from_str(&data)
                .map(Some)
                .map_err(|e| CallError::Unknown(e.to_string().into())),
        }
    }
}

impl From<CallError> for EngineFault {
    fn from(error: CallError) -> Self {
        if let CallError::Status(_, body) = &error
            && let Ok(refused) = serde_json::from_str::<EngineError>(body)
        {
            return Self::Refused(refused.error, refused.message);
        }
        Self::Call(error)
    }
}

impl fmt::Display for EngineFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(kind, why) => write!(f, "engine refused ({kind:?}): {why}"),
            Self::Call(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for EngineFault {}

fn not_sent(error: &serde_json::Error) -> EngineFault {
    EngineFault::Call(CallError::NotSent(error.to_string().into()))
}
