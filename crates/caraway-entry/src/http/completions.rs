//! Completions and chat completions, streamed and whole.

use std::{sync::Arc, time::Duration};

use caraway_calls::Token;
use caraway_node::AttemptOutcome;
use caraway_types::{Certainty, Refusal};
use ntex::{
    rt::spawn,
    util::Bytes,
    web::{
        HttpRequest, HttpResponse,
        types::{Payload, State},
    },
};
use tokio::{
    sync::mpsc::{Sender, channel},
    time::{sleep, timeout},
};

use super::{
    ask::{self, Ask, REQUEST_HEADER},
    caller::{CallerAnswer, CallerError},
    gate::Gate,
    reply::{event, events, refuse},
    source::{Fault, Source},
    tally::Tally,
};
use crate::{events::emit, guard::RequestGuard, metrics::Outcome, shared::Verdict};

/// First pause before a broken answer goes on with another source; each further one doubles.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Closes a stream of server-sent events.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// `POST /v1/completions`.
pub(crate) async fn text(req: HttpRequest, payload: Payload, gate: State<Gate>) -> HttpResponse {
    handle(&req, payload, &gate, false).await
}

/// `POST /v1/chat/completions`.
pub(crate) async fn chat(req: HttpRequest, payload: Payload, gate: State<Gate>) -> HttpResponse {
    handle(&req, payload, &gate, true).await
}

async fn handle(req: &HttpRequest, mut payload: Payload, gate: &Gate, chat: bool) -> HttpResponse {
    let ask = match gate.admit() {
        Ok(()) => Ask::read(gate, req.headers(), &mut payload, chat).await,
        Err(refusal) => Err(refusal),
    };
    match ask {
        Ok(ask) => serve(gate, ask).await,
        Err(refusal) => {
            ask::discard(gate, &mut payload).await;
            refuse(None, refusal)
        }
    }
}

/// A request that has its first token.
pub(crate) struct Opened {
    /// The rest of the answer.
    pub(crate) source: Source,
    /// The first token.
    pub(crate) first: Token,
    /// Ends the request.
    pub(crate) guard: RequestGuard,
    /// Times and counts it.
    pub(crate) tally: Tally,
}

/// Brings a request to its first token, over as many verdicts as the node gives.
///
/// # Errors
///
/// Returns the request's final refusal.
pub(crate) async fn open(gate: &Gate, ask: &Ask) -> Result<Opened, Refusal> {
    let mut tally = Tally::new(gate, ask);
    let (mut guard, mut verdict) = RequestGuard::submit(&gate.shared, ask.submission()).await;
    tally.verdict();
    let mut may_have_run = false;
    loop {
        let source = match verdict {
            Verdict::Refuse(refusal) => {
                let refusal = certain(refusal, may_have_run);
                tally.refused(ask, &refusal);
                return Err(refusal);
            }
            Verdict::Start {
                attempt,
                endpoint,
                load,
            } => Source::engine(gate, ask, attempt, endpoint, load).await,
            Verdict::Forward(peer) => Source::peer(gate, ask, peer).await,
        };
        let first = match source {
            Ok(mut source) => source.next().await.map(|token| (source, token)),
            Err(fault) => Err(fault),
        };
        match first {
            Ok((source, Some(first))) => {
                tally.token();
                return Ok(Opened {
                    source,
                    first,
                    guard,
                    tally,
                });
            }
            Ok((_, None)) => {
                may_have_run = true;
                verdict = guard.retry(AttemptOutcome::NotRun).await;
            }
            Err(Fault::Again(done)) => verdict = guard.retry(done).await,
            Err(Fault::MayHaveRun(done)) => {
                may_have_run = true;
                verdict = guard.retry(done).await;
            }
            Err(Fault::Refused(refusal)) => {
                let refusal = certain(refusal, may_have_run);
                guard.finish(AttemptOutcome::Failed);
                tally.refused(ask, &refusal);
                return Err(refusal);
            }
        }
    }
}

/// Puts a refusal in doubt where an earlier attempt may have run.
pub(crate) fn certain(refusal: Refusal, may_have_run: bool) -> Refusal {
    if !may_have_run {
        return refusal;
    }
    Refusal {
        certainty: Certainty::InDoubt,
        ..refusal
    }
}

async fn serve(gate: &Gate, ask: Ask) -> HttpResponse {
    match open(gate, &ask).await {
        Err(refusal) => refuse(Some(&ask.request), refusal),
        Ok(opened) if ask.shape.stream => stream(gate, ask, opened),
        Ok(opened) => whole(ask, opened).await,
    }
}

async fn whole(ask: Ask, opened: Opened) -> HttpResponse {
    let Opened {
        mut source,
        first,
        mut guard,
        mut tally,
    } = opened;
    let mut tokens = vec![first];
    loop {
        match next_token(&mut source, &mut guard).await {
            Ok(Some(token)) => {
                tally.token();
                tokens.push(token);
            }
            Ok(None) => break,
            Err(refusal) => {
                guard.finish(AttemptOutcome::Failed);
                tally.refused(&ask, &refusal);
                return refuse(Some(&ask.request), refusal);
            }
        }
    }
    guard.finish(AttemptOutcome::Complete);
    tally.end(Outcome::Complete);
    let answer = CallerAnswer::whole(&ask.request, &ask.adapter, ask.shape.chat, &tokens);
    HttpResponse::Ok()
        .header(REQUEST_HEADER, &*ask.request)
        .json(&answer)
}

fn stream(gate: &Gate, ask: Ask, opened: Opened) -> HttpResponse {
    let (parts, body) = channel(gate.shared.settings.limits.caller_buffer);
    let response = events(&ask.request, body);
    let chat = ask.shape.chat;
    let (id, model) = (Arc::clone(&ask.request), ask.adapter.clone());
    let encode = move |token| event(&CallerAnswer::part(&id, &model, chat, token));
    spawn(pump(gate.clone(), ask, opened, parts, encode));
    response
}

/// Passes tokens on until the answer is whole, the caller leaves or the source fails.
///
/// A full buffer holds the source back; a caller that takes nothing for the limit has left.
pub(crate) async fn pump(
    gate: Gate,
    ask: Ask,
    opened: Opened,
    parts: Sender<Bytes>,
    encode: impl Fn(Token) -> Bytes,
) {
    let Opened {
        mut source,
        first,
        mut guard,
        mut tally,
    } = opened;
    let limit = gate.shared.settings.times.slow_caller_ms.get();
    let mut token = Some(first);
    loop {
        let (part, last) = match token.take() {
            Some(token) => (encode(token), false),
            None => (Bytes::from_static(DONE_EVENT), true),
        };
        let sent = timeout(limit, parts.send(part)).await;
        if !matches!(sent, Ok(Ok(()))) {
            emit!(gate.shared.log, info, CallerLeft; "request" => &*ask.request);
            tally.end(Outcome::CallerLeft);
            source.cancel().await;
            guard.finish(AttemptOutcome::Cancelled);
            return;
        }
        if last {
            tally.end(Outcome::Complete);
            guard.finish(AttemptOutcome::Complete);
            return;
        }
        match next_token(&mut source, &mut guard).await {
            Ok(next) => {
                if next.is_some() {
                    tally.token();
                }
                token = next;
            }
            Err(refusal) => {
                tally.refused(&ask, &refusal);
                let body = CallerError {
                    error: refusal,
                    id: Some(ask.request),
                };
                let _ = timeout(limit, parts.send(event(&body))).await;
                guard.finish(AttemptOutcome::Failed);
                return;
            }
        }
    }
}

/// Waits for the next token, over as many sources as the retry budget allows.
///
/// # Errors
///
/// Returns the final refusal of an answer that can't be completed.
async fn next_token(
    source: &mut Source,
    guard: &mut RequestGuard,
) -> Result<Option<Token>, Refusal> {
    let mut fault = match source.next().await {
        Ok(token) => return Ok(token),
        Err(fault) => fault,
    };
    let mut pause = RESTART_PAUSE;
    loop {
        match fault {
            // The answer ran in part, whatever the last source says of itself.
            Fault::Refused(refusal) => return Err(certain(refusal, true)),
            Fault::Again(done) | Fault::MayHaveRun(done) => {
                source.take_restart()?;
                sleep(pause).await;
                pause *= 2;
                let verdict = guard.retry(done).await;
                fault = match source.switch(verdict).await {
                    Err(fault) => fault,
                    Ok(()) => match source.next().await {
                        Ok(token) => return Ok(token),
                        Err(fault) => fault,
                    },
                };
            }
        }
    }
}
