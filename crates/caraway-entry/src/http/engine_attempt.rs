//! [`EngineAttempt`]: one attempt on an engine that this instance holds.

use std::{net::SocketAddr, sync::Arc};

use caraway_calls::{Attempt, Generation};
use caraway_node::AttemptOutcome;
use caraway_types::{AttemptId, EndpointId, LoadName, Reason, Refusal};
use caraway_wire::{
    CallError, ChunkStream, EngineCallError, EngineClient,
    engine::{CompletionRequest, EngineErrorKind},
};
use tokio::time::timeout;

use super::{ask::Ask, gate::Gate, source::Fault};
use crate::events::emit;

/// An attempt on an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineAttempt {
    pub(super) endpoint: EndpointId,
    pub(super) addr: SocketAddr,
    pub(super) load: LoadName,
    pub(super) attempt: AttemptId,
}

impl EngineAttempt {
    /// Names the attempt towards the engine.
    fn request(&self, gate: &Gate) -> Arc<str> {
        let shared = &gate.shared;
        format!(
            "{}-{:x}-{:x}",
            shared.settings.instance, shared.incarnation, self.attempt
        )
        .into()
    }

    pub(super) fn expected(&self, gate: &Gate, ask: &Ask) -> Attempt {
        Attempt {
            request: self.request(gate),
            load: Arc::clone(&self.load),
            adapter: ask.adapter.clone(),
        }
    }

    /// Opens the stream of tokens from index `from`.
    pub(super) async fn open(
        &self,
        gate: &Gate,
        ask: &Ask,
        from: u32,
    ) -> Result<ChunkStream, Fault> {
        let http = gate.pool(self.addr).await;
        let generation = gate.generation(self.addr);
        let http = http.map_err(|_| Fault::Again(AttemptOutcome::NotRun))?;
        let request = CompletionRequest {
            model: Arc::clone(&self.load),
            prompt: Arc::clone(&ask.prompt),
            max_tokens: ask.tokens,
            stream: true,
            priority: ask.class as u8,
            request_id: self.request(gate),
            resume_from: from,
        };
        let client = EngineClient::new(http, self.addr);
        let limit = gate.shared.settings.times.first_token_ms.get();
        match timeout(limit, client.complete(&request)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(EngineCallError::Refused(kind, _))) => Err(refused(kind)),
            Ok(Err(EngineCallError::Call(error))) => Err(self.failed(gate, generation, &error)),
            Err(_) => Err(self.failed(gate, generation, &CallError::Timeout)),
        }
    }

    /// Judges a call without an answer; a completion may run twice, so the node chooses again.
    fn failed(&self, gate: &Gate, generation: Generation, error: &CallError) -> Fault {
        gate.suspect(self.addr, generation);
        emit!(gate.shared.log, warn, AttemptFailed;
            "endpoint" => &*self.endpoint, "error" => %error);
        if error.not_sent() {
            Fault::Again(AttemptOutcome::NotRun)
        } else {
            Fault::MayHaveRun(AttemptOutcome::NotRun)
        }
    }

    pub(super) async fn cancel(&self, gate: &Gate) {
        let Ok(http) = gate.pool(self.addr).await else {
            return;
        };
        let limit = gate.shared.settings.times.control_ms.get();
        let client = EngineClient::new(http, self.addr);
        // The engine also cancels by itself once the connection is closed.
        let _ = client.cancel(&self.request(gate), limit).await;
    }
}

fn refused(kind: EngineErrorKind) -> Fault {
    match kind {
        EngineErrorKind::UnknownModel => Fault::Again(AttemptOutcome::NotResident),
        EngineErrorKind::BadRequest => {
            let detail = "the engine does not take the request";
            Fault::Refused(Refusal::not_run(Reason::BadRequest, detail))
        }
        _ => Fault::Again(AttemptOutcome::NotRun),
    }
}
