//! Handlers for text and chat completions, streamed or as one body.

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
    api::{CompletionAnswer, ErrorBody},
    app_state::AppState,
    request::{self, ParsedRequest, REQUEST_HEADER},
    request_metrics::RequestMetrics,
    response::{encode_event, event_stream, refusal_response},
    token_source::{SourceError, TokenSource},
};
use crate::{events::emit, guard::RequestGuard, metrics::Outcome, shared::RoutingDecision};

/// Delay before the first restart of a broken answer on another source; doubles each time.
const RESTART_BACKOFF: Duration = Duration::from_millis(100);
/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Handles `POST /v1/completions`.
pub(crate) async fn text_completion(
    req: HttpRequest,
    payload: Payload,
    app: State<AppState>,
) -> HttpResponse {
    handle(&req, payload, &app, false).await
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn chat_completion(
    req: HttpRequest,
    payload: Payload,
    app: State<AppState>,
) -> HttpResponse {
    handle(&req, payload, &app, true).await
}

async fn handle(
    req: &HttpRequest,
    mut payload: Payload,
    app: &AppState,
    chat: bool,
) -> HttpResponse {
    let request = match app.admit() {
        Ok(()) => ParsedRequest::parse(app, req.headers(), &mut payload, chat).await,
        Err(refusal) => Err(refusal),
    };
    match request {
        Ok(request) => respond(app, request).await,
        Err(refusal) => {
            request::discard_body(app, &mut payload).await;
            refusal_response(None, refusal)
        }
    }
}

/// An answer whose first token has arrived.
pub(crate) struct StartedAnswer {
    /// Yields the tokens after the first.
    pub(crate) source: TokenSource,
    /// First token, not yet sent to the caller.
    pub(crate) first: Token,
    /// Reports the end of the request to the control thread.
    pub(crate) guard: RequestGuard,
    /// Measurements of the request.
    pub(crate) metrics: RequestMetrics,
}

/// Submits a request and follows the node's routing decisions until the first token arrives.
///
/// # Errors
///
/// Returns the request's final refusal.
pub(crate) async fn start_answer(
    app: &AppState,
    request: &ParsedRequest,
) -> Result<StartedAnswer, Refusal> {
    let mut metrics = RequestMetrics::new(app, request);
    let (mut guard, mut decision) = RequestGuard::submit(&app.shared, request.submission()).await;
    metrics.record_decision();
    let mut may_have_run = false;
    loop {
        let source = match decision {
            RoutingDecision::Refuse(refusal) => {
                let refusal = in_doubt_if(refusal, may_have_run);
                metrics.record_refusal(request, &refusal);
                return Err(refusal);
            }
            RoutingDecision::Start {
                attempt,
                endpoint,
                load,
            } => TokenSource::from_engine(app, request, attempt, endpoint, load).await,
            RoutingDecision::Forward(peer) => TokenSource::from_peer(app, request, peer).await,
        };
        let first = match source {
            Ok(mut source) => source.next().await.map(|token| (source, token)),
            Err(error) => Err(error),
        };
        match first {
            Ok((source, Some(first))) => {
                metrics.record_token();
                return Ok(StartedAnswer {
                    source,
                    first,
                    guard,
                    metrics,
                });
            }
            Ok((_, None)) => {
                may_have_run = true;
                decision = guard.retry(AttemptOutcome::NotRun).await;
            }
            Err(SourceError::DidNotRun(outcome)) => decision = guard.retry(outcome).await,
            Err(SourceError::MayHaveRun(outcome)) => {
                may_have_run = true;
                decision = guard.retry(outcome).await;
            }
            Err(SourceError::Refused(refusal)) => {
                let refusal = in_doubt_if(refusal, may_have_run);
                guard.finish(AttemptOutcome::Failed);
                metrics.record_refusal(request, &refusal);
                return Err(refusal);
            }
        }
    }
}

/// Returns the refusal with certainty `in_doubt` if an earlier attempt may have run.
pub(crate) fn in_doubt_if(refusal: Refusal, may_have_run: bool) -> Refusal {
    if !may_have_run {
        return refusal;
    }
    Refusal {
        certainty: Certainty::InDoubt,
        ..refusal
    }
}

async fn respond(app: &AppState, request: ParsedRequest) -> HttpResponse {
    match start_answer(app, &request).await {
        Err(refusal) => refusal_response(Some(&request.id), refusal),
        Ok(started) if request.format.stream => respond_streaming(app, request, started),
        Ok(started) => respond_complete(request, started).await,
    }
}

async fn respond_complete(request: ParsedRequest, started: StartedAnswer) -> HttpResponse {
    let StartedAnswer {
        mut source,
        first,
        mut guard,
        mut metrics,
    } = started;
    let mut tokens = vec![first];
    loop {
        match next_token(&mut source, &mut guard).await {
            Ok(Some(token)) => {
                metrics.record_token();
                tokens.push(token);
            }
            Ok(None) => break,
            Err(refusal) => {
                guard.finish(AttemptOutcome::Failed);
                metrics.record_refusal(&request, &refusal);
                return refusal_response(Some(&request.id), refusal);
            }
        }
    }
    guard.finish(AttemptOutcome::Complete);
    metrics.record_end(Outcome::Complete);
    let answer =
        CompletionAnswer::complete(&request.id, &request.adapter, request.format.chat, &tokens);
    HttpResponse::Ok()
        .header(REQUEST_HEADER, &*request.id)
        .json(&answer)
}

fn respond_streaming(
    app: &AppState,
    request: ParsedRequest,
    started: StartedAnswer,
) -> HttpResponse {
    let (sender, receiver) = channel(app.shared.settings.limits.caller_buffer);
    let response = event_stream(&request.id, receiver);
    let chat = request.format.chat;
    let (id, model) = (Arc::clone(&request.id), request.adapter.clone());
    let encode = move |token| encode_event(&CompletionAnswer::chunk(&id, &model, chat, token));
    spawn(relay_tokens(app.clone(), request, started, sender, encode));
    response
}

/// Sends the tokens of an answer until it is complete, the caller leaves or the source fails.
///
/// A full channel applies backpressure to the source. A caller that reads nothing for
/// `slow_caller_ms` counts as gone.
pub(crate) async fn relay_tokens(
    app: AppState,
    request: ParsedRequest,
    started: StartedAnswer,
    sender: Sender<Bytes>,
    encode: impl Fn(Token) -> Bytes,
) {
    let StartedAnswer {
        mut source,
        first,
        mut guard,
        mut metrics,
    } = started;
    let send_timeout = app.shared.settings.times.slow_caller_ms.get();
    let mut next = Some(first);
    loop {
        let (event, is_last) = match next.take() {
            Some(token) => (encode(token), false),
            None => (Bytes::from_static(DONE_EVENT), true),
        };
        let sent = timeout(send_timeout, sender.send(event)).await;
        if !matches!(sent, Ok(Ok(()))) {
            emit!(app.shared.log, info, CallerLeft; "request" => &*request.id);
            metrics.record_end(Outcome::CallerLeft);
            source.cancel().await;
            guard.finish(AttemptOutcome::Cancelled);
            return;
        }
        if is_last {
            metrics.record_end(Outcome::Complete);
            guard.finish(AttemptOutcome::Complete);
            return;
        }
        match next_token(&mut source, &mut guard).await {
            Ok(token) => {
                if token.is_some() {
                    metrics.record_token();
                }
                next = token;
            }
            Err(refusal) => {
                metrics.record_refusal(&request, &refusal);
                let body = ErrorBody {
                    error: refusal,
                    id: Some(request.id),
                };
                let _ = timeout(send_timeout, sender.send(encode_event(&body))).await;
                guard.finish(AttemptOutcome::Failed);
                return;
            }
        }
    }
}

/// Waits for the next token, and restarts the answer on other sources within the retry budget.
///
/// # Errors
///
/// Returns the final refusal of an answer that can't be completed.
async fn next_token(
    source: &mut TokenSource,
    guard: &mut RequestGuard,
) -> Result<Option<Token>, Refusal> {
    let mut error = match source.next().await {
        Ok(token) => return Ok(token),
        Err(error) => error,
    };
    let mut backoff = RESTART_BACKOFF;
    loop {
        match error {
            // Part of the answer was generated before, even if the last attempt did not run.
            SourceError::Refused(refusal) => return Err(in_doubt_if(refusal, true)),
            SourceError::DidNotRun(outcome) | SourceError::MayHaveRun(outcome) => {
                source.spend_retry()?;
                sleep(backoff).await;
                backoff *= 2;
                let decision = guard.retry(outcome).await;
                error = match source.switch_to(decision).await {
                    Err(error) => error,
                    Ok(()) => match source.next().await {
                        Ok(token) => return Ok(token),
                        Err(error) => error,
                    },
                };
            }
        }
    }
}
