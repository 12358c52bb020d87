//! What peers send each other: gossip, and requests for replicas that the other one holds.

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
    ask::{self, Ask, bad},
    caller::{CallerError, Shape},
    completions::{open, pump},
    gate::Gate,
    reply::{event, events, refuse},
    source::Fault,
};
use crate::{
    config_follower::{FollowerMessage, RecordsRequest},
    shared::ControlMessage,
};

/// A completion that is passed on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerCompletion {
    request: RequestId,
    account: AccountId,
    adapter: AdapterRef,
    class: Class,
    left: Millis,
    prompt: Arc<str>,
    tokens: u32,
    via: InstanceId,
    hops: u8,
}

/// Passes a request on and returns its stream of [`CompletionChunk`]s.
///
/// # Errors
///
/// Returns a [`Fault`] when the peer did not take it.
pub(crate) async fn forward(
    gate: &Gate,
    ask: &Ask,
    addr: SocketAddr,
) -> Result<ChunkStream, Fault> {
    let message = PeerCompletion {
        request: Arc::clone(&ask.request),
        account: Arc::clone(&ask.account),
        adapter: ask.adapter.clone(),
        class: ask.class,
        left: ask.left().into(),
        prompt: Arc::clone(&ask.prompt),
        tokens: ask.tokens,
        via: Arc::clone(&gate.shared.settings.instance),
        hops: ask.hops + 1,
    };
    let again = |_| Fault::Again(AttemptOutcome::NotRun);
    let body =
        rmp_serde::to_vec_named(&message).map_err(|_| Fault::Again(AttemptOutcome::NotRun))?;
    let http = gate.pool(addr).await.map_err(again)?;
    let generation = gate.generation(addr);
    let limit = ask.left() + gate.shared.settings.times.control_ms.get();
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
            gate.suspect(addr, generation);
            if error.not_sent() {
                return Err(Fault::Again(AttemptOutcome::NotRun));
            }
            return Err(Fault::MayHaveRun(AttemptOutcome::NotRun));
        }
        Err(_) => {
            gate.suspect(addr, generation);
            let detail = "the peer that holds the replica gave no answer in time";
            return Err(Fault::Refused(Refusal::in_doubt(Reason::Stalled, detail)));
        }
    };
    if response.status() == StatusCode::OK {
        return Ok(ChunkStream::new(response));
    }
    let body = response.body().await.unwrap_or_default();
    Err(refused(&body))
}

/// Judges a peer's refusal; one for lack of a place there may find a place elsewhere.
fn refused(body: &[u8]) -> Fault {
    let Ok(CallerError { error, .. }) = serde_json::from_slice(body) else {
        return Fault::MayHaveRun(AttemptOutcome::NotRun);
    };
    let elsewhere = matches!(error.reason, Reason::Leaving | Reason::NoEndpoint);
    if error.certainty == Certainty::NotRun && elsewhere {
        Fault::Again(AttemptOutcome::NotRun)
    } else {
        Fault::Refused(error)
    }
}

/// `POST /peer/completions`: serves a request that a peer passed on.
pub(crate) async fn completions(mut payload: Payload, gate: State<Gate>) -> HttpResponse {
    let message = match gate.admit() {
        Ok(()) => read::<PeerCompletion>(&gate, &mut payload).await,
        Err(refusal) => Err(refusal),
    };
    let ask = match message {
        Ok(message) => message.ask(&gate),
        Err(refusal) => return refuse(None, refusal),
    };
    match open(&gate, &ask).await {
        Err(refusal) => refuse(Some(&ask.request), refusal),
        Ok(opened) => {
            let (parts, body) = channel(gate.shared.settings.limits.caller_buffer);
            let response = events(&ask.request, body);
            let request = Arc::clone(&ask.request);
            let model: Arc<str> = ask.adapter.to_string().into();
            let encode = move |token: caraway_calls::Token| {
                event(&CompletionChunk {
                    request_id: Arc::clone(&request),
                    model: Arc::clone(&model),
                    index: token.index,
                    text: token.text,
                    finish_reason: token.finish,
                })
            };
            spawn(pump((*gate).clone(), ask, opened, parts, encode));
            response
        }
    }
}

/// `POST /peer/gossip`.
pub(crate) async fn gossip(mut payload: Payload, gate: State<Gate>) -> HttpResponse {
    match read::<Gossip>(&gate, &mut payload).await {
        Ok(gossip) => {
            offer(&gate, &gossip);
            let message = ControlMessage::Input(Input::Gossip(gossip));
            if gate.shared.rings.control.push(message).is_err() {
                return refuse(
                    None,
                    Refusal::not_run(Reason::QueueFull, "the ring is full"),
                );
            }
            answer(&())
        }
        Err(refusal) => refuse(None, refusal),
    }
}

/// Tells the log thread which configuration a peer has.
fn offer(gate: &Gate, gossip: &Gossip) {
    if let Some(mark) = gossip.config {
        let (next, digest) = (mark.next, mark.digest);
        let message = FollowerMessage::Offer(Arc::clone(&gossip.from), Offer { next, digest });
        // A dropped offer comes again with the next gossip.
        let _ = gate.shared.rings.follower.push(message);
    }
}

/// `POST /peer/records`: gives a peer the records that it lacks.
pub(crate) async fn records(mut payload: Payload, gate: State<Gate>) -> HttpResponse {
    let ask = match read::<RecordsRequest>(&gate, &mut payload).await {
        Ok(ask) => ask,
        Err(refusal) => return refuse(None, refusal),
    };
    let (reply, answer) = oneshot::channel();
    if gate
        .shared
        .rings
        .follower
        .push(FollowerMessage::Request(ask, reply))
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

/// Answers a peer with a message.
pub(crate) fn answer(message: &impl Serialize) -> HttpResponse {
    let body = rmp_serde::to_vec_named(message).unwrap_or_default();
    HttpResponse::Ok()
        .content_type("application/msgpack")
        .body(body)
}

/// Reads a peer's message.
pub(crate) async fn read<T: DeserializeOwned>(
    gate: &Gate,
    payload: &mut Payload,
) -> Result<T, Refusal> {
    let body = ask::body(gate, payload).await?;
    rmp_serde::from_slice(&body).map_err(|e| bad("body", &e.to_string()))
}

impl PeerCompletion {
    fn ask(self, gate: &Gate) -> Ask {
        Ask {
            request: self.request,
            ticket: gate.shared.next_ticket(),
            account: self.account,
            adapter: self.adapter,
            class: self.class,
            start: Instant::now(),
            deadline: Instant::now() + self.left.get(),
            prompt: self.prompt,
            tokens: self.tokens,
            shape: Shape::default(),
            via: Some(self.via),
            hops: self.hops,
        }
    }
}
