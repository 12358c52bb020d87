//! [`TokenSource`] yields the tokens of one request, from an engine or through a peer, and
//! resumes or restarts a stream that breaks off.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use caraway_calls::{
    Answer, Attempt, AttemptResult, Chunk, ChunkEffect, Decision, Generation, Idempotency, Token,
};
use caraway_node::AttemptOutcome;
use caraway_types::{AttemptId, Certainty, EndpointId, LoadName, Reason, Refusal};
use caraway_wire::{CallError, ChunkStream, engine::CompletionChunk};
use tokio::time::{Instant, error::Elapsed, sleep_until, timeout};

use super::{app_state::AppState, engine_attempt::EngineAttempt, peer, request::ParsedRequest};
use crate::{events::emit, shared::RoutingDecision};

/// Extra wait after a progress timeout, for chunks that arrived while this process was paused.
const LATE_CHUNK_WAIT: Duration = Duration::from_millis(20);

/// Reason for which a [`TokenSource`] yields no further token.
#[derive(Clone, Debug)]
pub(crate) enum SourceError {
    /// The attempt did not run; the node may choose another target.
    DidNotRun(AttemptOutcome),
    /// The attempt may have run. The node may still choose another target, as a completion may run
    /// twice.
    MayHaveRun(AttemptOutcome),
    /// The request ends with this refusal.
    Refused(Refusal),
}

/// Source of the tokens of one request; yields each token exactly once and in order.
pub(crate) struct TokenSource {
    app: AppState,
    request: ParsedRequest,
    origin: Origin,
    answer: Answer,
    stream: ChunkStream,
    /// Generation of the connection pool that the stream uses.
    pool_generation: Generation,
    /// Whether the current stream has delivered a chunk; selects the progress timeout.
    has_received: bool,
    /// Tokens that are in order and not yet returned by [`Self::next`].
    ready: VecDeque<Token>,
}

/// Endpoint or peer that the tokens come from.
#[derive(Clone, Debug)]
enum Origin {
    /// An engine held by this instance.
    Engine(EngineAttempt),
    /// A peer that holds the engine, with its address and instance id.
    Peer(SocketAddr, Arc<str>),
}

impl Origin {
    fn addr(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.addr,
            Self::Peer(addr, _) => *addr,
        }
    }
}

impl TokenSource {
    /// Opens a source from an engine that this instance holds.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the engine is unknown or no stream could be opened.
    pub(crate) async fn from_engine(
        app: &AppState,
        request: &ParsedRequest,
        attempt: AttemptId,
        endpoint: EndpointId,
        load: LoadName,
    ) -> Result<Self, SourceError> {
        let Some(settings) = app.shared.endpoints.get(&endpoint) else {
            return Err(SourceError::DidNotRun(AttemptOutcome::NotRun));
        };
        let engine = EngineAttempt {
            addr: settings.addr,
            endpoint,
            load,
            attempt,
        };
        let now = tokio::time::Instant::now().into_std();
        app.retries
            .borrow_mut()
            .on_request(now, &request.account, &engine.endpoint);
        let answer = Answer::new(engine.identity(app, request));
        let stream = engine.open(app, request, 0).await?;
        Ok(Self::new(
            app,
            request,
            Origin::Engine(engine),
            answer,
            stream,
        ))
    }

    /// Opens a source by forwarding the request to a peer.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the address of the peer is unknown or it did not accept the
    /// request.
    pub(crate) async fn from_peer(
        app: &AppState,
        request: &ParsedRequest,
        peer: Arc<str>,
    ) -> Result<Self, SourceError> {
        let Some(addr) = app.shared.peer_addr(&peer) else {
            return Err(SourceError::DidNotRun(AttemptOutcome::NotRun));
        };
        let answer = Answer::new(Attempt {
            request: Arc::clone(&request.id),
            load: request.adapter.to_string().into(),
            adapter: request.adapter.clone(),
        });
        let stream = peer::forward(app, request, addr).await?;
        let origin = Origin::Peer(addr, peer);
        Ok(Self::new(app, request, origin, answer, stream))
    }

    fn new(
        app: &AppState,
        request: &ParsedRequest,
        origin: Origin,
        answer: Answer,
        stream: ChunkStream,
    ) -> Self {
        let pool_generation = app.pool_generation(origin.addr());
        Self {
            app: app.clone(),
            request: request.clone(),
            origin,
            answer,
            stream,
            pool_generation,
            has_received: false,
            ready: VecDeque::new(),
        }
    }

    /// Restarts the generation on the source that `decision` names, with the same adapter version.
    ///
    /// Tokens that were already delivered are compared with the new ones and not delivered again.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if the new source can't be opened.
    pub(crate) async fn switch_to(&mut self, decision: RoutingDecision) -> Result<(), SourceError> {
        let replacement = match decision {
            RoutingDecision::Start {
                attempt,
                endpoint,
                load,
            } => Self::from_engine(&self.app, &self.request, attempt, endpoint, load).await?,
            RoutingDecision::Forward(peer) => {
                Self::from_peer(&self.app, &self.request, peer).await?
            }
            RoutingDecision::Refuse(refusal) => {
                let certainty = Certainty::InDoubt;
                return Err(SourceError::Refused(Refusal {
                    certainty,
                    ..refusal
                }));
            }
        };
        self.answer.restart(replacement.answer.attempt().clone());
        self.origin = replacement.origin;
        self.stream = replacement.stream;
        self.pool_generation = replacement.pool_generation;
        self.has_received = false;
        Ok(())
    }

    /// Takes one retry from the retry budget, for a restart on another source or connection.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the budget allows no retry.
    pub(crate) fn spend_retry(&self) -> Result<(), Refusal> {
        let endpoint = match &self.origin {
            Origin::Engine(engine) => &engine.endpoint,
            Origin::Peer(_, peer) => peer,
        };
        // This result is decided as a restart, which takes a retry from the budget.
        let result = AttemptResult::NotResumable(self.answer.resume_from());
        match self.decide(endpoint, result) {
            Decision::Refuse(refusal) => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Waits for the next token; `None` means that the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns a [`SourceError`] if this source can't complete the answer.
    pub(crate) async fn next(&mut self) -> Result<Option<Token>, SourceError> {
        loop {
            if let Some(token) = self.ready.pop_front() {
                return Ok(Some(token));
            }
            if self.answer.is_finished() {
                return Ok(None);
            }
            let limit = self.progress_timeout();
            let result = match self.next_chunk(limit).await {
                Ok(Ok(Some(chunk))) => {
                    self.accept_chunk(chunk)?;
                    continue;
                }
                Ok(Ok(None) | Err(_)) => AttemptResult::Broken(self.answer.resume_from()),
                Err(_) => AttemptResult::Stalled(self.answer.resume_from()),
            };
            self.recover(result).await?;
        }
    }

    /// Waits for the next chunk, at most `limit`, or less once the connection pool was discarded.
    ///
    /// After the timeout it polls for another [`LATE_CHUNK_WAIT`], as this process may have been
    /// paused while chunks arrived.
    async fn next_chunk(
        &mut self,
        limit: Duration,
    ) -> Result<Result<Option<CompletionChunk>, CallError>, Elapsed> {
        let start = Instant::now();
        let addr = self.origin.addr();
        let mut discards = self.app.pool_discards();
        loop {
            let limit = self.app.progress_timeout(addr, self.pool_generation, limit);
            tokio::select! {
                chunk = self.stream.next() => return Ok(chunk),
                () = sleep_until(start + limit) => break,
                _ = discards.changed() => {}
            }
        }
        timeout(LATE_CHUNK_WAIT, self.stream.next()).await
    }

    /// Cancels the attempt if it runs on an engine of this instance; the caller has left.
    pub(crate) async fn cancel(self) {
        if let Origin::Engine(engine) = &self.origin {
            engine.cancel(&self.app).await;
        }
    }

    /// Returns how long the source may take for the next chunk.
    fn progress_timeout(&self) -> Duration {
        let times = &self.app.shared.settings.times;
        match (&self.origin, self.has_received) {
            (Origin::Engine(_), false) => times.first_token_ms.get(),
            (Origin::Engine(_), true) => times.between_tokens_ms.get(),
            // The request may wait in the peer's queue, and the peer applies its own timeouts.
            (Origin::Peer(..), false) => self.request.time_left() + times.control_ms.get(),
            (Origin::Peer(..), true) => times.between_tokens_ms.get() + times.control_ms.get(),
        }
    }

    /// Adds a chunk to the answer and queues the tokens that it completes.
    fn accept_chunk(&mut self, chunk: CompletionChunk) -> Result<(), SourceError> {
        let chunk = Chunk {
            request: chunk.request_id,
            load: chunk.model,
            index: chunk.index,
            text: chunk.text,
            finish: chunk.finish_reason,
        };
        let mut tokens = Vec::new();
        if let ChunkEffect::Dropped(why) = self.answer.accept(chunk, &mut tokens) {
            self.app.shared.metrics.record_chunk_dropped();
            emit!(self.app.shared.log, warn, ChunkDropped;
                "request" => &*self.request.id, "why" => ?why);
        }
        self.has_received = true;
        self.ready.extend(tokens);
        if self.answer.is_diverged() {
            let detail = "the answer broke off and a repeated generation differs";
            let refusal = Refusal::in_doubt(Reason::EndpointFailed, detail);
            return Err(SourceError::Refused(refusal));
        }
        Ok(())
    }

    /// Resumes an answer that broke off or stalled, or returns the error that ends this source.
    async fn recover(&mut self, result: AttemptResult) -> Result<(), SourceError> {
        self.app.shared.metrics.record_attempt_failed();
        match self.origin.clone() {
            Origin::Peer(addr, peer) => {
                self.app.discard_pool(addr, self.pool_generation);
                emit!(self.app.shared.log, warn, AttemptFailed;
                    "request" => &*self.request.id, "peer" => &*peer, "saw" => ?result);
                if self.answer.resume_from() > 0 && self.reopen_peer(addr).await {
                    return Ok(());
                }
                let never_answered = matches!(result, AttemptResult::Stalled(0));
                if !never_answered {
                    return Err(SourceError::MayHaveRun(AttemptOutcome::NotRun));
                }
                let detail = "the peer that served the request failed";
                Err(SourceError::Refused(Refusal::in_doubt(
                    Reason::EndpointFailed,
                    detail,
                )))
            }
            Origin::Engine(engine) => self.recover_engine(engine, result).await,
        }
    }

    /// Forwards the request to the same peer again, on a new connection; returns whether it worked.
    async fn reopen_peer(&mut self, addr: SocketAddr) -> bool {
        if self.spend_retry().is_err() {
            return false;
        }
        let Ok(stream) = peer::forward(&self.app, &self.request, addr).await else {
            return false;
        };
        self.answer.restart(self.answer.attempt().clone());
        self.stream = stream;
        self.pool_generation = self.app.pool_generation(addr);
        self.has_received = false;
        true
    }

    /// Resumes the attempt on a new connection if the engine can, or cancels it so that the node
    /// chooses another target.
    async fn recover_engine(
        &mut self,
        engine: EngineAttempt,
        result: AttemptResult,
    ) -> Result<(), SourceError> {
        emit!(self.app.shared.log, warn, AttemptFailed;
            "request" => &*self.request.id, "endpoint" => &*engine.endpoint, "saw" => ?result);
        if matches!(result, AttemptResult::Stalled(_)) {
            self.app.discard_pool(engine.addr, self.pool_generation);
        }
        let from = match self.decide(&engine.endpoint, result) {
            Decision::Resume(from) => from,
            Decision::Refuse(refusal) => return Err(SourceError::Refused(refusal)),
            _ => {
                engine.cancel(&self.app).await;
                return Err(SourceError::MayHaveRun(AttemptOutcome::NotRun));
            }
        };
        let reopened = engine.open(&self.app, &self.request, from).await;
        if reopened.is_err() {
            engine.cancel(&self.app).await;
        }
        self.stream = reopened?;
        self.pool_generation = self.app.pool_generation(engine.addr);
        self.has_received = false;
        emit!(self.app.shared.log, info, StreamResumed;
            "request" => &*self.request.id, "from" => from);
        Ok(())
    }

    /// Decides what follows an attempt; a completion may always run again.
    fn decide(&self, endpoint: &EndpointId, result: AttemptResult) -> Decision {
        let now = tokio::time::Instant::now().into_std();
        self.app.retries.borrow_mut().decide(
            now,
            &self.request.account,
            endpoint,
            Idempotency::Idempotent,
            result,
        )
    }
}
