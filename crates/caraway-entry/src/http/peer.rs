//! Messages between peers: gossip, configuration records, and completions that are forwarded to
//! the instance that holds the engine.

use std::{net::SocketAddr, sync::Arc};

use caraway_node::{AttemptOutcome, Gossip, Input};
use caraway_records::Offer;
use caraway_types::{
    AccountId, AdapterRef, Certainty, Class, InstanceId, Millis, Reason, Refusal, RequestId,
};
use caraway_wire::{ChunkStream, engine::CompletionChunk};
use ntex::{
    http::{Method, StatusCode},
    rt::spawn,
    web::{
        HttpResponse,
        types::{Payload, State},
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    sync::{mpsc::channel, oneshot},
    time::{Instant, timeout},
};

use super::{
    api::{ErrorBody, ResponseFormat},
    app_state::AppState,
    completions::{relay_tokens, start_answer},
    request::{self, ParsedRequest, bad_request},
    response::{encode_event, event_stream, refusal_response},
    token_source::SourceError,
};
use crate::{
    config_follower::{FollowerMessage, RecordsRequest},
    shared::ControlMessage,
};

/// A completion that is forwarded to a peer, encoded as `MessagePack` with named fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    request: RequestId,
    account: AccountId,
    adapter: AdapterRef,
    class: Class,
    /// Time until the deadline when the message was sent.
    left: Millis,
    prompt: Arc<str>,
    /// Largest number of tokens to generate.
    tokens: u32,
    /// Instance that forwards the request.
    via: InstanceId,
    /// Number of times that the request was forwarded, including this one.
    hops: u8,
}

/// Forwards a request to the peer at `addr` and returns its stream of [`CompletionChunk`]s.
///
/// # Errors
///
/// Returns a [`SourceError`] if the peer can't be reached, refuses the request or gives no answer
/// in time.
pub(crate) async fn forward(
    app: &AppState,
    request: &ParsedRequest,
    addr: SocketAddr,
) -> Result<ChunkStream, SourceError> {
    let message = ForwardedRequest {
        request: Arc::clone(&request.id),
        account: Arc::clone(&request.account),
        adapter: request.adapter.clone(),
        class: request.class,
        left: request.time_left().into(),
        prompt: Arc::clone(&request.prompt),
        tokens: request.max_tokens,
        via: Arc::clone(&app.shared.settings.instance),
        hops: request.hops + 1,
    };
    let did_not_run = |_| SourceError::DidNotRun(AttemptOutcome::NotRun);
    let body = rmp_serde::to_vec_named(&message)
        .map_err(|_| SourceError::DidNotRun(AttemptOutcome::NotRun))?;
    let http = app.pool(addr).await.map_err(did_not_run)?;
    let generation = app.pool_generation(addr);
    let limit = request.time_left() + app.shared.settings.times.control_ms.get();
    let call = http.send(
        Method::POST,
        addr,
        "/peer/completions",
        &[],
        Some(body.into()),
    );
    let response = match timeout(limit, call).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            app.discard_pool(addr, generation);
            if error.not_sent() {
                return Err(SourceError::DidNotRun(AttemptOutcome::NotRun));
            }
            return Err(SourceError::MayHaveRun(AttemptOutcome::NotRun));
        }
        Err(_) => {
            app.discard_pool(addr, generation);
            let detail = "the peer that holds the replica gave no answer in time";
            return Err(SourceError::Refused(Refusal::in_doubt(
                Reason::Stalled,
                detail,
            )));
        }
    };
    if response.status() == StatusCode::OK {
        return Ok(ChunkStream::new(response));
    }
    let body = response.body().await.unwrap_or_default();
    Err(refusal_error(&body))
}

/// Converts a peer's refusal. If the peer is leaving or has no endpoint for the request, the node
/// may choose another target.
fn refusal_error(body: &[u8]) -> SourceError {
    let Ok(ErrorBody { error, .. }) = serde_json::from_slice(body) else {
        return SourceError::MayHaveRun(AttemptOutcome::NotRun);
    };
    let other_target_may_accept = matches!(error.reason, Reason::Leaving | Reason::NoEndpoint);
    if error.certainty == Certainty::NotRun && other_target_may_accept {
        SourceError::DidNotRun(AttemptOutcome::NotRun)
    } else {
        SourceError::Refused(error)
    }
}

/// Handles `POST /peer/completions`: serves a request that a peer forwarded.
pub(crate) async fn completions(mut payload: Payload, app: State<AppState>) -> HttpResponse {
    let message = match app.admit() {
        Ok(()) => read_message::<ForwardedRequest>(&app, &mut payload).await,
        Err(refusal) => Err(refusal),
    };
    let request = match message {
        Ok(message) => message.into_request(&app),
        Err(refusal) => return refusal_response(None, refusal),
    };
    match start_answer(&app, &request).await {
        Err(refusal) => refusal_response(Some(&request.id), refusal),
        Ok(started) => {
            let (sender, receiver) = channel(app.shared.settings.limits.caller_buffer);
            let response = event_stream(&request.id, receiver);
            let id = Arc::clone(&request.id);
            let model: Arc<str> = request.adapter.to_string().into();
            let encode = move |token: caraway_calls::Token| {
                encode_event(&CompletionChunk {
                    request_id: Arc::clone(&id),
                    model: Arc::clone(&model),
                    index: token.index,
                    text: token.text,
                    finish_reason: token.finish,
                })
            };
            spawn(relay_tokens(
                (*app).clone(),
                request,
                started,
                sender,
                encode,
            ));
            response
        }
    }
}

/// Handles `POST /peer/gossip`: passes the message to the control thread and its configuration
/// digest to the log thread.
pub(crate) async fn gossip(mut payload: Payload, app: State<AppState>) -> HttpResponse {
    match read_message::<Gossip>(&app, &mut payload).await {
        Ok(gossip) => {
            send_offer(&app, &gossip);
            let message = ControlMessage::Input(Input::Gossip(gossip));
            if app.shared.rings.control.push(message).is_err() {
                return refusal_response(
                    None,
                    Refusal::not_run(Reason::QueueFull, "the ring is full"),
                );
            }
            message_response(&())
        }
        Err(refusal) => refusal_response(None, refusal),
    }
}

/// Sends the log thread the offset and digest of a peer's configuration.
fn send_offer(app: &AppState, gossip: &Gossip) {
    if let Some(mark) = gossip.config {
        let (next, digest) = (mark.next, mark.digest);
        let message = FollowerMessage::Offer(Arc::clone(&gossip.from), Offer { next, digest });
        // If the ring is full, the next gossip brings the offer again.
        let _ = app.shared.rings.follower.push(message);
    }
}

/// Handles `POST /peer/records`: returns configuration records that a peer lacks.
pub(crate) async fn records(mut payload: Payload, app: State<AppState>) -> HttpResponse {
    let request = match read_message::<RecordsRequest>(&app, &mut payload).await {
        Ok(request) => request,
        Err(refusal) => return refusal_response(None, refusal),
    };
    let (reply, answer) = oneshot::channel();
    if app
        .shared
        .rings
        .follower
        .push(FollowerMessage::Request(request, reply))
        .is_err()
    {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match answer.await {
        Ok(body) => HttpResponse::Ok()
            .content_type("application/msgpack")
            .body(body),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Returns a response with a message encoded as `MessagePack`.
pub(crate) fn message_response(message: &impl Serialize) -> HttpResponse {
    let body = rmp_serde::to_vec_named(message).unwrap_or_default();
    HttpResponse::Ok()
        .content_type("application/msgpack")
        .body(body)
}

/// Reads and decodes a message of a peer.
///
/// # Errors
///
/// Returns a refusal if the body can't be read or decoded.
pub(crate) async fn read_message<T: DeserializeOwned>(
    app: &AppState,
    payload: &mut Payload,
) -> Result<T, Refusal> {
    let body = request::read_body(app, payload).await?;
    rmp_serde::from_slice(&body).map_err(|e| bad_request("body", &e.to_string()))
}

impl ForwardedRequest {
    /// Converts the message to a request of this instance, with a ticket and times of its own.
    fn into_request(self, app: &AppState) -> ParsedRequest {
        ParsedRequest {
            id: self.request,
            ticket: app.shared.next_ticket(),
            account: self.account,
            adapter: self.adapter,
            class: self.class,
            arrived: Instant::now(),
            deadline: Instant::now() + self.left.get(),
            prompt: self.prompt,
            max_tokens: self.tokens,
            format: ResponseFormat::default(),
            forwarded_by: Some(self.via),
            hops: self.hops,
        }
    }
}
