//! [`EngineClient`]: a client of the model engine's HTTP API.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use caraway_types::{AdapterRef, FencingToken};
use ntex::{
    client::ClientResponse,
    http::{Method, StatusCode},
};

use crate::{
    CallError, EventStream, HttpClient,
    engine::{
        CancelRequest, CompletionChunk, CompletionRequest, DONE, EngineError, EngineErrorKind,
        EngineStatus, FENCING_TOKEN_HEADER, LoadRequest, UnloadRequest,
    },
};

/// A client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
    addr: SocketAddr,
}

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCallError {
    /// The engine refused the request, with a typed cause and a human-readable detail.
    Refused(EngineErrorKind, Arc<str>),
    /// The call failed without a typed error from the engine.
    Call(CallError),
}

/// The stream of tokens of one attempt.
pub struct ChunkStream {
    events: EventStream,
}

impl EngineClient {
    /// Creates a client of the engine at `addr` that uses the connections of `http`.
    #[must_use]
    pub fn new(http: HttpClient, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Starts or resumes a completion. Returns once the head of the response is received.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineCallError`]; [`EngineCallError::Refused`] means that the attempt did not run.
    pub async fn complete(
        &self,
        request: &CompletionRequest,
    ) -> Result<ChunkStream, EngineCallError> {
        let body = serde_json::to_vec(request).map_err(|e| encode_error(&e))?;
        let path = "/v1/completions";
        let response = self
            .http
            .send(Method::POST, self.addr, path, &[], Some(body.into()))
            .await
            .map_err(EngineCallError::Call)?;
        if response.status() == StatusCode::OK {
            return Ok(ChunkStream::new(response));
        }
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        Err(EngineCallError::from(CallError::Status(
            status,
            text.into(),
        )))
    }

    /// Cancels the attempt with this id.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineCallError`].
    pub async fn cancel(&self, id: &Arc<str>, timeout: Duration) -> Result<(), EngineCallError> {
        let body = CancelRequest {
            request_id: Arc::clone(id),
        };
        self.post("/v1/completions/cancel", &[], &body, timeout)
            .await
    }

    /// Loads an adapter version under `name`.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineCallError`]; unless it is [`EngineCallError::Refused`], the outcome is unknown.
    pub async fn load(
        &self,
        name: &Arc<str>,
        adapter: &AdapterRef,
        fence: FencingToken,
        timeout: Duration,
    ) -> Result<(), EngineCallError> {
        let body = LoadRequest {
            lora_name: Arc::clone(name),
            lora_path: adapter.clone(),
        };
        let fence = fence.to_string();
        let headers = [(FENCING_TOKEN_HEADER, fence.as_str())];
        self.post("/v1/load_lora_adapter", &headers, &body, timeout)
            .await
    }

    /// Unloads the adapter version that was loaded under `name`.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineCallError`]; unless it is [`EngineCallError::Refused`], the outcome is unknown.
    pub async fn unload(
        &self,
        name: &Arc<str>,
        fence: FencingToken,
        timeout: Duration,
    ) -> Result<(), EngineCallError> {
        let body = UnloadRequest {
            lora_name: Arc::clone(name),
        };
        let fence = fence.to_string();
        let headers = [(FENCING_TOKEN_HEADER, fence.as_str())];
        self.post("/v1/unload_lora_adapter", &headers, &body, timeout)
            .await
    }

    /// Fetches the engine's load report.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineCallError`].
    pub async fn report(&self, timeout: Duration) -> Result<EngineStatus, EngineCallError> {
        self.http
            .get_json(self.addr, "/load", timeout)
            .await
            .map_err(EngineCallError::from)
    }

    /// Sends a request and discards the body of a successful response.
    async fn post<Q: serde::Serialize>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Q,
        timeout: Duration,
    ) -> Result<(), EngineCallError> {
        self.http
            .post(self.addr, path, headers, body, timeout)
            .await
            .map(|_| ())
            .map_err(EngineCallError::from)
    }
}

impl ChunkStream {
    /// Creates a stream of the tokens in `response`. Dropping the stream closes its connection.
    #[must_use]
    pub fn new(response: ClientResponse) -> Self {
        Self {
            events: EventStream::new(response),
        }
    }

    /// Waits for the next token. Returns `None` at the end of a complete stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] if the stream ends or fails before it is complete.
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

impl From<CallError> for EngineCallError {
    fn from(error: CallError) -> Self {
        if let CallError::Status(_, body) = &error
            && let Ok(engine_error) = serde_json::from_str::<EngineError>(body)
        {
            return Self::Refused(engine_error.error, engine_error.message);
        }
        Self::Call(error)
    }
}

impl fmt::Display for EngineCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(kind, detail) => write!(f, "engine refused ({kind:?}): {detail}"),
            Self::Call(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for EngineCallError {}

fn encode_error(error: &serde_json::Error) -> EngineCallError {
    EngineCallError::Call(CallError::NotSent(error.to_string().into()))
}
