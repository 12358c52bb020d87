//! Plain services: `/services/NAME/..` and `GET /v1/outcomes/KEY`.

use std::{cell::RefCell, rc::Rc, sync::Arc, sync::atomic::Ordering, time::SystemTime};

use caraway_calls::{
    CallKey, KeyedCall, LookupResult, Outcome, RecordedAnswer, Reply, RequestHash, SendResult,
};
use caraway_types::{Class, Reason, Refusal, Ticket};
use caraway_wire::service::IDEMPOTENCY_KEY_HEADER;
use ntex::{
    http::{StatusCode, header::CONTENT_TYPE},
    rt::spawn,
    web::{
        HttpRequest, HttpResponse,
        types::{Payload, State},
    },
};
use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{
    ask::{self, CLASS_HEADER, bad},
    gate::Gate,
    reply::refuse,
    service_call::{ServiceAnswer, ServiceCall, ended},
};
use crate::{
    calls_log::{CALL_EVENT_CAPACITY, CallEvent, CallsMessage},
    shared::Shared,
};

/// Header of a repeat's answer whose body was too large for the record.
const NOT_RECORDED_HEADER: &str = "x-body-not-recorded";

/// Counts a call as in flight until it is dropped.
struct InFlight(Arc<Shared>);

impl InFlight {
    fn new(gate: &Gate) -> Self {
        gate.shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(&gate.shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Any method under `/services/NAME/..`.
pub(crate) async fn call(
    req: HttpRequest,
    mut payload: Payload,
    gate: State<Gate>,
) -> HttpResponse {
    let result = match gate.admit() {
        Ok(()) => {
            let flight = InFlight::new(&gate);
            match read(&gate, &req, &mut payload).await {
                Ok(call) => carry_out(&gate, call, flight).await,
                Err(refusal) => Err(refusal_after(&gate, &mut payload, refusal).await),
            }
        }
        Err(refusal) => Err(refusal_after(&gate, &mut payload, refusal).await),
    };
    result.unwrap_or_else(|refusal| refuse(None, refusal))
}

async fn refusal_after(gate: &Gate, payload: &mut Payload, refusal: Refusal) -> Refusal {
    ask::discard(gate, payload).await;
    refusal
}

async fn read(
    gate: &Gate,
    req: &HttpRequest,
    payload: &mut Payload,
) -> Result<ServiceCall, Refusal> {
    let start = Instant::now();
    let headers = req.headers();
    let account = ask::account(gate, headers)?;
    let class = ask::parsed::<Class>(headers, CLASS_HEADER)?.unwrap_or_default();
    let limit = ask::deadline(gate, headers, class)?;
    let service = req.match_info().get("service").unwrap_or_default();
    if gate.shared.current_config().service(service).is_none() {
        let detail = format!("path: unknown service {service}");
        return Err(Refusal::not_run(Reason::UnknownService, detail));
    }
    let key = ask::text(headers, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| !CallKey::is_valid_key(key)) {
        return Err(bad(
            IDEMPOTENCY_KEY_HEADER,
            "not 1 to 255 visible ASCII characters",
        ));
    }
    let content = ask::text(headers, CONTENT_TYPE.as_str())?;
    Ok(ServiceCall {
        ticket: gate.shared.next_ticket(),
        account,
        service: service.into(),
        method: req.method().clone(),
        path: service_path(req, service),
        key: key.map(Into::into),
        content: content.map(Into::into),
        body: ask::body(gate, payload).await?.freeze(),
        deadline: start + limit,
    })
}

/// Returns the path and query below `/services/NAME`.
fn service_path(req: &HttpRequest, service: &str) -> Arc<str> {
    let uri = req.uri();
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let prefix = "/services/".len() + service.len();
    path.get(prefix..).unwrap_or("/").into()
}

async fn carry_out(
    gate: &Gate,
    call: ServiceCall,
    flight: InFlight,
) -> Result<HttpResponse, Refusal> {
    if call.key.is_some() {
        return keyed(gate, call, flight).await;
    }
    // The call goes on when its caller leaves, as it may not be cut off half way.
    let (done, answer) = oneshot::channel();
    let gate = gate.clone();
    spawn(async move {
        let _flight = flight;
        let _ = done.send(call.run(&gate, call.deadline).await);
    });
    let lost = |_| {
        Err(Refusal::in_doubt(
            Reason::EndpointFailed,
            "the call was lost",
        ))
    };
    answer.await.unwrap_or_else(lost).map(whole)
}

/// A sending that the calls thread knows; dropped early, it tells the thread that its caller left.
struct Waiting {
    gate: Gate,
    ticket: Ticket,
    events: mpsc::Receiver<CallEvent>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.events.close();
        while let Ok(event) = self.events.try_recv() {
            if let CallEvent::Send { nonce, .. } = event {
                let detail = "the caller left before the call was sent";
                let refusal = Refusal::not_run(Reason::Deadline, detail);
                tell(
                    &self.gate,
                    CallsMessage::SendEnded(nonce, SendResult::NotRun(refusal)),
                );
            }
        }
        tell(&self.gate, CallsMessage::Disconnected(self.ticket));
    }
}

/// Puts a message into the ring that must not be lost.
fn tell(gate: &Gate, mut message: CallsMessage) {
    while let Err(caraway_ring::Full(back)) = gate.shared.rings.calls.push(message) {
        if gate.shared.rings.calls.is_closed() {
            return;
        }
        message = back;
        std::thread::yield_now();
    }
}

async fn keyed(gate: &Gate, call: ServiceCall, flight: InFlight) -> Result<HttpResponse, Refusal> {
    let (sender, events) = mpsc::channel(CALL_EVENT_CAPACITY);
    let message = CallsMessage::Call(keyed_call(&call), sender);
    if gate.shared.rings.calls.push(message).is_err() {
        let detail = "the instance is overloaded";
        return Err(Refusal::not_run(Reason::QueueFull, detail).with_retry_after(1000));
    }
    let mut waiting = Waiting {
        gate: gate.clone(),
        ticket: call.ticket,
        events,
    };
    let flight = Rc::new(flight);
    let own: Rc<RefCell<Option<ServiceAnswer>>> = Rc::default();
    loop {
        match waiting.events.recv().await {
            Some(CallEvent::Send { nonce, until }) => {
                let (gate, call) = (gate.clone(), call.clone());
                let (own, flight) = (Rc::clone(&own), Rc::clone(&flight));
                spawn(async move {
                    let _flight = flight;
                    let result = call.run(&gate, until.into()).await;
                    let limit = gate.shared.settings.calls.body_limit;
                    let message = CallsMessage::SendEnded(nonce, ended(&result, limit));
                    *own.borrow_mut() = result.ok();
                    tell(&gate, message);
                });
            }
            Some(CallEvent::Reply(Reply::Answer(recorded))) => {
                let own = own.borrow_mut().take();
                return Ok(own.map_or_else(|| replay(&recorded), whole));
            }
            Some(CallEvent::Reply(Reply::Refuse(refusal))) => return Err(refusal),
            None => {
                let detail = "the calls thread ended";
                return Err(Refusal::in_doubt(Reason::OutcomeUnknown, detail));
            }
        }
    }
}

fn keyed_call(call: &ServiceCall) -> KeyedCall {
    let key = call.key.clone().unwrap_or_default();
    let made = caraway_calls::key_timestamp(&key);
    KeyedCall {
        ticket: call.ticket,
        hash: RequestHash::of(call.method.as_str(), &call.path, &call.body),
        age: made.map(|made| SystemTime::now().duration_since(made).unwrap_or_default()),
        deadline: call.deadline.into_std(),
        key: CallKey {
            account: Arc::clone(&call.account),
            service: Arc::clone(&call.service),
            key,
        },
    }
}

fn whole(answer: ServiceAnswer) -> HttpResponse {
    let mut response = HttpResponse::build(status(answer.status));
    if !answer.content.is_empty() {
        response.header(CONTENT_TYPE, &*answer.content);
    }
    response.body(answer.body)
}

/// Answers a repeat from the record.
fn replay(recorded: &RecordedAnswer) -> HttpResponse {
    let mut response = HttpResponse::build(status(recorded.status));
    if !recorded.content.is_empty() {
        response.header(CONTENT_TYPE, &*recorded.content);
    }
    match recorded.body.decode() {
        Some(body) => response.body(body),
        None => response.header(NOT_RECORDED_HEADER, "true").finish(),
    }
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Answers a question about an outcome.
#[derive(Serialize)]
struct OutcomeAnswer {
    key: Arc<str>,
    state: &'static str,
    answer: Option<RecordedAnswer>,
}

/// `GET /v1/outcomes/KEY?service=NAME`.
pub(crate) async fn outcome(req: HttpRequest, gate: State<Gate>) -> HttpResponse {
    look_up(&req, &gate)
        .await
        .unwrap_or_else(|refusal| refuse(None, refusal))
}

async fn look_up(req: &HttpRequest, gate: &Gate) -> Result<HttpResponse, Refusal> {
    let account = ask::account(gate, req.headers())?;
    let query = req.uri().query().unwrap_or_default();
    let service = query
        .split('&')
        .find_map(|part| part.strip_prefix("service="));
    let Some(service) = service else {
        return Err(bad("query: service", "missing"));
    };
    let key: Arc<str> = req.match_info().get("key").unwrap_or_default().into();
    let (sender, found) = oneshot::channel();
    let call = CallKey {
        account,
        service: service.into(),
        key: Arc::clone(&key),
    };
    let message = CallsMessage::Lookup(gate.shared.next_ticket(), call, sender);
    let full = |_| {
        Refusal::not_run(Reason::QueueFull, "the instance is overloaded").with_retry_after(1000)
    };
    gate.shared.rings.calls.push(message).map_err(full)?;
    let lost = |_| Refusal::not_run(Reason::QueueFull, "the calls thread ended");
    let (state, answer) = match found.await.map_err(lost)? {
        LookupResult::NotFound => ("unknown", None),
        LookupResult::Pending => ("pending", None),
        LookupResult::Ended(Outcome::Answered(recorded)) => ("answered", Some(recorded)),
        LookupResult::Ended(Outcome::InDoubt(_)) => ("in_doubt", None),
        LookupResult::Ended(Outcome::NotRun) => ("not_run", None),
        LookupResult::Unavailable(wait) => {
            let detail = "the platform's log cannot be reached";
            return Err(Refusal::in_doubt(Reason::LogUnavailable, detail).with_retry_after(wait));
        }
    };
    Ok(HttpResponse::Ok().json(&OutcomeAnswer { key, state, answer }))
}
