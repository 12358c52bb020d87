//! [`Source`]: the tokens of one request, from an engine or through a peer.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use caraway_calls::{
    Answer, Attempt, AttemptResult, Chunk, ChunkEffect, Decision, Generation, Idempotency, Token,
};
use caraway_node::AttemptOutcome;
use caraway_types::{AttemptId, Certainty, EndpointId, LoadName, Reason, Refusal};
use caraway_wire::{CallError, ChunkStream, engine::CompletionChunk};
use tokio::time::{Instant, error::Elapsed, sleep_until, timeout};

use super::{ask::Ask, engine_attempt::EngineAttempt, gate::Gate, peer};
use crate::{events::emit, shared::Verdict};

/// Wait after a progress deadline for chunks that came while this process was paused.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// Why a source gives no (more) tokens.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The attempt did not run; the node may choose again.
    Again(AttemptOutcome),
    /// The attempt may have run; the node may choose again, as a completion may run twice.
    MayHaveRun(AttemptOutcome),
    /// The request gets this final answer.
    Refused(Refusal),
}

/// The tokens of one request, each exactly once and in order.
pub(crate) struct Source {
    gate: Gate,
    ask: Ask,
    origin: Origin,
    answer: Answer,
    stream: ChunkStream,
    /// The pool that the stream's connection is from.
    generation: Generation,
    /// Whether the stream has sent anything yet.
    heard: bool,
    due: VecDeque<Token>,
}

/// Where the tokens come from.
#[derive(Clone, Debug)]
enum Origin {
    /// An engine that this instance holds.
    Engine(EngineAttempt),
    /// A peer.
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

impl Source {
    /// Starts an attempt on an engine.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] when the attempt did not start.
    pub(crate) async fn engine(
        gate: &Gate,
        ask: &Ask,
        attempt: AttemptId,
        endpoint: EndpointId,
        load: LoadName,
    ) -> Result<Self, Fault> {
        let Some(settings) = gate.shared.endpoints.get(&endpoint) else {
            return Err(Fault::Again(AttemptOutcome::NotRun));
        };
        let engine = EngineAttempt {
            addr: settings.addr,
            endpoint,
            load,
            attempt,
        };
        let now = tokio::time::Instant::now().into_std();
        gate.retries
            .borrow_mut()
            .on_request(now, &ask.account, &engine.endpoint);
        let answer = Answer::new(engine.expected(gate, ask));
        let stream = engine.open(gate, ask, 0).await?;
        Ok(Self::new(gate, ask, Origin::Engine(engine), answer, stream))
    }

    /// Passes the request on to a peer.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] when the peer did not take it.
    pub(crate) async fn peer(gate: &Gate, ask: &Ask, peer: Arc<str>) -> Result<Self, Fault> {
        let Some(addr) = gate.shared.peer_addr(&peer) else {
            return Err(Fault::Again(AttemptOutcome::NotRun));
        };
        let answer = Answer::new(Attempt {
            request: Arc::clone(&ask.request),
            load: ask.adapter.to_string().into(),
            adapter: ask.adapter.clone(),
        });
        let stream = peer::forward(gate, ask, addr).await?;
        let origin = Origin::Peer(addr, peer);
        Ok(Self::new(gate, ask, origin, answer, stream))
    }

    fn new(gate: &Gate, ask: &Ask, origin: Origin, answer: Answer, stream: ChunkStream) -> Self {
        let generation = gate.generation(origin.addr());
        Self {
            gate: gate.clone(),
            ask: ask.clone(),
            origin,
            answer,
            stream,
            generation,
            heard: false,
            due: VecDeque::new(),
        }
    }

    /// Goes on with another source of the same adapter version, which generates again.
    ///
    /// The tokens that the caller has are compared and not delivered again.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] when the source can't be opened.
    pub(crate) async fn switch(&mut self, verdict: Verdict) -> Result<(), Fault> {
        let fresh = match verdict {
            Verdict::Start {
                attempt,
                endpoint,
                load,
            } => Self::engine(&self.gate, &self.ask, attempt, endpoint, load).await?,
            Verdict::Forward(peer) => Self::peer(&self.gate, &self.ask, peer).await?,
            Verdict::Refuse(refusal) => {
                let certainty = Certainty::InDoubt;
                return Err(Fault::Refused(Refusal {
                    certainty,
                    ..refusal
                }));
            }
        };
        self.answer.restart(fresh.answer.attempt().clone());
        self.origin = fresh.origin;
        self.stream = fresh.stream;
        self.generation = fresh.generation;
        self.heard = false;
        Ok(())
    }

    /// Takes a retry for going on with another source.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when no retry is left.
    pub(crate) fn take_restart(&self) -> Result<(), Refusal> {
        let to = match &self.origin {
            Origin::Engine(engine) => &engine.endpoint,
            Origin::Peer(_, peer) => peer,
        };
        let saw = AttemptResult::NotResumable(self.answer.resume_from());
        match self.decide(to, saw) {
            Decision::Refuse(refusal) => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Waits for the next token; `None` is the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] when the answer can't be completed.
    pub(crate) async fn next(&mut self) -> Result<Option<Token>, Fault> {
        loop {
            if let Some(token) = self.due.pop_front() {
                return Ok(Some(token));
            }
            if self.answer.is_finished() {
                return Ok(None);
            }
            let limit = self.progress_limit();
            let saw = match self.next_chunk(limit).await {
                Ok(Ok(Some(chunk))) => {
                    self.accept(chunk)?;
                    continue;
                }
                Ok(Ok(None) | Err(_)) => AttemptResult::Broken(self.answer.resume_from()),
                Err(_) => AttemptResult::Stalled(self.answer.resume_from()),
            };
            self.recover(saw).await?;
        }
    }

    /// Waits for the next chunk, at most `limit`.
    ///
    /// After the limit it looks once more, as this process may have been paused while chunks came.
    async fn next_chunk(
        &mut self,
        limit: Duration,
    ) -> Result<Result<Option<CompletionChunk>, CallError>, Elapsed> {
        let start = Instant::now();
        let addr = self.origin.addr();
        let mut doubts = self.gate.doubts();
        loop {
            let limit = self.gate.limit(addr, self.generation, limit);
            tokio::select! {
                chunk = self.stream.next() => return Ok(chunk),
                () = sleep_until(start + limit) => break,
                _ = doubts.changed() => {}
            }
        }
        timeout(LAST_LOOK, self.stream.next()).await
    }

    /// Cancels the work, as nobody waits for it any more.
    pub(crate) async fn cancel(self) {
        if let Origin::Engine(engine) = &self.origin {
            engine.cancel(&self.gate).await;
        }
    }

    /// Returns the longest wait for the next token.
    fn progress_limit(&self) -> Duration {
        let times = &self.gate.shared.settings.times;
        match (&self.origin, self.heard) {
            (Origin::Engine(_), false) => times.first_token_ms.get(),
            (Origin::Engine(_), true) => times.between_tokens_ms.get(),
            // The peer has deadlines of its own, and the request may wait in its queue.
            (Origin::Peer(..), false) => self.ask.left() + times.control_ms.get(),
            (Origin::Peer(..), true) => times.between_tokens_ms.get() + times.control_ms.get(),
        }
    }

    fn accept(&mut self, chunk: CompletionChunk) -> Result<(), Fault> {
        let chunk = Chunk {
            request: chunk.request_id,
            load: chunk.model,
            index: chunk.index,
            text: chunk.text,
            finish: chunk.finish_reason,
        };
        let mut due = Vec::new();
        if let ChunkEffect::Dropped(why) = self.answer.accept(chunk, &mut due) {
            self.gate.shared.metrics.record_chunk_dropped();
            emit!(self.gate.shared.log, warn, ChunkDropped;
                "request" => &*self.ask.request, "why" => ?why);
        }
        self.heard = true;
        self.due.extend(due);
        if self.answer.is_diverged() {
            let detail = "the answer broke off and a repeated generation differs";
            let refusal = Refusal::in_doubt(Reason::EndpointFailed, detail);
            return Err(Fault::Refused(refusal));
        }
        Ok(())
    }

    /// Decides how an answer that broke off goes on.
    async fn recover(&mut self, saw: AttemptResult) -> Result<(), Fault> {
        self.gate.shared.metrics.record_attempt_failed();
        match self.origin.clone() {
            Origin::Peer(addr, peer) => {
                self.gate.suspect(addr, self.generation);
                emit!(self.gate.shared.log, warn, AttemptFailed;
                    "request" => &*self.ask.request, "peer" => &*peer, "saw" => ?saw);
                if self.answer.resume_from() > 0 && self.reopen_peer(addr).await {
                    return Ok(());
                }
                let expired = matches!(saw, AttemptResult::Stalled(0));
                if !expired {
                    return Err(Fault::MayHaveRun(AttemptOutcome::NotRun));
                }
                let detail = "the peer that served the request failed";
                Err(Fault::Refused(Refusal::in_doubt(
                    Reason::EndpointFailed,
                    detail,
                )))
            }
            Origin::Engine(engine) => self.recover_engine(engine, saw).await,
        }
    }

    /// Asks the same peer again on a new connection.
    async fn reopen_peer(&mut self, addr: SocketAddr) -> bool {
        if self.take_restart().is_err() {
            return false;
        }
        let Ok(stream) = peer::forward(&self.gate, &self.ask, addr).await else {
            return false;
        };
        self.answer.restart(self.answer.attempt().clone());
        self.stream = stream;
        self.generation = self.gate.generation(addr);
        self.heard = false;
        true
    }

    /// Resumes the attempt on a new connection, or leaves it to the node to choose again.
    async fn recover_engine(
        &mut self,
        engine: EngineAttempt,
        saw: AttemptResult,
    ) -> Result<(), Fault> {
        emit!(self.gate.shared.log, warn, AttemptFailed;
            "request" => &*self.ask.request, "endpoint" => &*engine.endpoint, "saw" => ?saw);
        if matches!(saw, AttemptResult::Stalled(_)) {
            self.gate.suspect(engine.addr, self.generation);
        }
        let from = match self.decide(&engine.endpoint, saw) {
            Decision::Resume(from) => from,
            Decision::Refuse(refusal) => return Err(Fault::Refused(refusal)),
            _ => {
                engine.cancel(&self.gate).await;
                return Err(Fault::MayHaveRun(AttemptOutcome::NotRun));
            }
        };
        let opened = engine.open(&self.gate, &self.ask, from).await;
        if opened.is_err() {
            engine.cancel(&self.gate).await;
        }
        self.stream = opened?;
        self.generation = self.gate.generation(engine.addr);
        self.heard = false;
        emit!(self.gate.shared.log, info, StreamResumed;
            "request" => &*self.ask.request, "from" => from);
        Ok(())
    }

    fn decide(&self, to: &EndpointId, saw: AttemptResult) -> Decision {
        let now = tokio::time::Instant::now().into_std();
        self.gate.retries.borrow_mut().decide(
            now,
            &self.ask.account,
            to,
            Idempotency::Idempotent,
            saw,
        )
    }
}
