//! [`EngineAttempt`]: one attempt of a completion on an engine that this instance holds.

use std::{net::SocketAddr, sync::Arc};

use caraway_calls::{Attempt, Generation};
use caraway_node::AttemptOutcome;
use caraway_types::{AttemptId, EndpointId, LoadName, Reason, Refusal};
use caraway_wire::{
    CallError, ChunkStream, EngineCallError, EngineClient,
    engine::{CompletionRequest, EngineErrorKind},
};
use tokio::time::timeout;

use super::{app_state::AppState, request::ParsedRequest, token_source::SourceError};
use crate::events::emit;

/// One attempt of a completion on an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineAttempt {
    /// Engine that the attempt is sent to.
    pub(super) endpoint: EndpointId,
    pub(super) addr: SocketAddr,
    /// Load of the adapter version that generates the answer.
    pub(super) load: LoadName,
    /// Identifies the attempt within this incarnation of the instance.
    pub(super) attempt: AttemptId,
}

impl EngineAttempt {
    /// Returns the request id that the engine receives; each attempt has its own.
    fn engine_request_id(&self, app: &AppState) -> Arc<str> {
        let shared = &app.shared;
        format!(
            "{}-{:x}-{:x}",
            shared.settings.instance, shared.incarnation, self.attempt
        )
        .into()
    }

    /// Returns the identity by which chunks of this attempt are recognized.
    pub(super) fn identity(&self, app: &AppState, request: &ParsedRequest) -> Attempt {
        Attempt {
            request: self.engine_request_id(app),
            load: Arc::clone(&self.load),
            adapter: request.adapter.clone(),
        }
    }

    /// Sends the request to the engine and returns its stream of tokens, from index `from` on.
    pub(super) async fn open(
        &self,
        app: &AppState,
        request: &ParsedRequest,
        from: u32,
    ) -> Result<ChunkStream, SourceError> {
        let http = app.pool(self.addr).await;
        let generation = app.pool_generation(self.addr);
        let http = http.map_err(|_| SourceError::DidNotRun(AttemptOutcome::NotRun))?;
        let completion_request = CompletionRequest {
            model: Arc::clone(&self.load),
            prompt: Arc::clone(&request.prompt),
            max_tokens: request.max_tokens,
            stream: true,
            priority: request.class as u8,
            request_id: self.engine_request_id(app),
            resume_from: from,
        };
        let client = EngineClient::new(http, self.addr);
        let limit = app.shared.settings.times.first_token_ms.get();
        match timeout(limit, client.complete(&completion_request)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(EngineCallError::Refused(kind, _))) => Err(refusal_error(kind)),
            Ok(Err(EngineCallError::Call(error))) => {
                Err(self.on_call_error(app, generation, &error))
            }
            Err(_) => Err(self.on_call_error(app, generation, &CallError::Timeout)),
        }
    }

    /// Handles a call without an answer. The node may choose another target even if the attempt may
    /// have run, as a completion may run twice.
    fn on_call_error(
        &self,
        app: &AppState,
        generation: Generation,
        error: &CallError,
    ) -> SourceError {
        app.discard_pool(self.addr, generation);
        emit!(app.shared.log, warn, AttemptFailed;
            "endpoint" => &*self.endpoint, "error" => %error);
        if error.not_sent() {
            SourceError::DidNotRun(AttemptOutcome::NotRun)
        } else {
            SourceError::MayHaveRun(AttemptOutcome::NotRun)
        }
    }

    /// Tells the engine to stop generating for this attempt.
    pub(super) async fn cancel(&self, app: &AppState) {
        let Ok(http) = app.pool(self.addr).await else {
            return;
        };
        let limit = app.shared.settings.times.control_ms.get();
        let client = EngineClient::new(http, self.addr);
        // Errors are ignored: the engine also cancels the attempt once the connection is closed.
        let _ = client.cancel(&self.engine_request_id(app), limit).await;
    }
}

/// Converts an engine's refusal; most let the node choose another target.
fn refusal_error(kind: EngineErrorKind) -> SourceError {
    match kind {
        EngineErrorKind::UnknownModel => SourceError::DidNotRun(AttemptOutcome::NotResident),
        EngineErrorKind::BadRequest => {
            let detail = "the engine does not take the request";
            SourceError::Refused(Refusal::not_run(Reason::BadRequest, detail))
        }
        _ => SourceError::DidNotRun(AttemptOutcome::NotRun),
    }
}
