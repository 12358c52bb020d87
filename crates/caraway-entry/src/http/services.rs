//! Handlers for plain services: `/services/NAME/..` and `GET /v1/outcomes/KEY`.

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
    app_state::AppState,
    request::{self, CLASS_HEADER, bad_request},
    response::refusal_response,
    service_call::{ServiceAnswer, ServiceCall, to_send_result},
};
use crate::{
    calls_log::{CALL_EVENT_CAPACITY, CallEvent, CallsMessage},
    shared::Shared,
};

/// Set on the replayed answer of a repeated call if the original body was too large to be recorded.
const NOT_RECORDED_HEADER: &str = "x-body-not-recorded";

/// Counts a call as in flight until it is dropped.
struct InFlight(Arc<Shared>);

impl InFlight {
    fn new(app: &AppState) -> Self {
        app.shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(&app.shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handles any method under `/services/NAME/..`.
pub(crate) async fn call(
    req: HttpRequest,
    mut payload: Payload,
    app: State<AppState>,
) -> HttpResponse {
    let result = match app.admit() {
        Ok(()) => {
            let in_flight = InFlight::new(&app);
            match parse(&app, &req, &mut payload).await {
                Ok(call) => execute(&app, call, in_flight).await,
                Err(refusal) => Err(discard_and_refuse(&app, &mut payload, refusal).await),
            }
        }
        Err(refusal) => Err(discard_and_refuse(&app, &mut payload, refusal).await),
    };
    result.unwrap_or_else(|refusal| refusal_response(None, refusal))
}

/// Reads the rest of the request body, then returns `refusal`.
async fn discard_and_refuse(app: &AppState, payload: &mut Payload, refusal: Refusal) -> Refusal {
    request::discard_body(app, payload).await;
    refusal
}

/// Parses and validates a call, and reads its body.
async fn parse(
    app: &AppState,
    req: &HttpRequest,
    payload: &mut Payload,
) -> Result<ServiceCall, Refusal> {
    let start = Instant::now();
    let headers = req.headers();
    let account = request::account_header(app, headers)?;
    let class = request::parsed_header::<Class>(headers, CLASS_HEADER)?.unwrap_or_default();
    let timeout = request::deadline_header(app, headers, class)?;
    let service = req.match_info().get("service").unwrap_or_default();
    if app.shared.current_config().service(service).is_none() {
        let detail = format!("path: unknown service {service}");
        return Err(Refusal::not_run(Reason::UnknownService, detail));
    }
    let key = request::text_header(headers, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| !CallKey::is_valid_key(key)) {
        return Err(bad_request(
            IDEMPOTENCY_KEY_HEADER,
            "not 1 to 255 visible ASCII characters",
        ));
    }
    let content_type = request::text_header(headers, CONTENT_TYPE.as_str())?;
    Ok(ServiceCall {
        ticket: app.shared.next_ticket(),
        account,
        service: service.into(),
        method: req.method().clone(),
        path: service_path(req, service),
        key: key.map(Into::into),
        content_type: content_type.map(Into::into),
        body: request::read_body(app, payload).await?.freeze(),
        deadline: start + timeout,
    })
}

/// Returns the path and query below `/services/NAME`.
fn service_path(req: &HttpRequest, service: &str) -> Arc<str> {
    let uri = req.uri();
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let prefix = "/services/".len() + service.len();
    path.get(prefix..).unwrap_or("/").into()
}

/// Runs a call to its end; once it is sent, it continues even if its caller leaves.
async fn execute(
    app: &AppState,
    call: ServiceCall,
    in_flight: InFlight,
) -> Result<HttpResponse, Refusal> {
    if call.key.is_some() {
        return execute_keyed(app, call, in_flight).await;
    }
    // The task outlives this handler: a call must not be cut off halfway when its caller leaves.
    let (sender, answer) = oneshot::channel();
    let app = app.clone();
    spawn(async move {
        let _in_flight = in_flight;
        let _ = sender.send(call.run(&app, call.deadline).await);
    });
    let lost = |_| {
        Err(Refusal::in_doubt(
            Reason::EndpointFailed,
            "the call was lost",
        ))
    };
    answer.await.unwrap_or_else(lost).map(to_response)
}

/// A keyed call that was submitted to the calls thread. On drop it reports that the caller has
/// left, and that a call which was due to be sent did not run.
struct PendingCall {
    app: AppState,
    ticket: Ticket,
    events: mpsc::Receiver<CallEvent>,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.events.close();
        while let Ok(event) = self.events.try_recv() {
            if let CallEvent::Send { nonce, .. } = event {
                let detail = "the caller left before the call was sent";
                let refusal = Refusal::not_run(Reason::Deadline, detail);
                send_to_calls(
                    &self.app,
                    CallsMessage::SendEnded(nonce, SendResult::NotRun(refusal)),
                );
            }
        }
        send_to_calls(&self.app, CallsMessage::Disconnected(self.ticket));
    }
}

/// Sends a message that must not be lost to the calls thread; spins while the ring is full.
fn send_to_calls(app: &AppState, mut message: CallsMessage) {
    while let Err(caraway_ring::PushError(returned)) = app.shared.rings.calls.push(message) {
        if app.shared.rings.calls.is_closed() {
            return;
        }
        message = returned;
        std::thread::yield_now();
    }
}

/// Runs a call with an idempotency key as the calls thread directs, or replays its recorded answer.
async fn execute_keyed(
    app: &AppState,
    call: ServiceCall,
    in_flight: InFlight,
) -> Result<HttpResponse, Refusal> {
    let (sender, events) = mpsc::channel(CALL_EVENT_CAPACITY);
    let message = CallsMessage::Call(keyed_call(&call), sender);
    if app.shared.rings.calls.push(message).is_err() {
        let detail = "the instance is overloaded";
        return Err(Refusal::not_run(Reason::QueueFull, detail).with_retry_after(1000));
    }
    let mut pending = PendingCall {
        app: app.clone(),
        ticket: call.ticket,
        events,
    };
    let in_flight = Rc::new(in_flight);
    // Complete answer if the call ran here; the recorded one may lack the body.
    let local_answer: Rc<RefCell<Option<ServiceAnswer>>> = Rc::default();
    loop {
        match pending.events.recv().await {
            Some(CallEvent::Send { nonce, until }) => {
                let (app, call) = (app.clone(), call.clone());
                let (local_answer, in_flight) = (Rc::clone(&local_answer), Rc::clone(&in_flight));
                spawn(async move {
                    let _in_flight = in_flight;
                    let result = call.run(&app, until.into()).await;
                    let limit = app.shared.settings.calls.body_limit;
                    let message = CallsMessage::SendEnded(nonce, to_send_result(&result, limit));
                    *local_answer.borrow_mut() = result.ok();
                    send_to_calls(&app, message);
                });
            }
            Some(CallEvent::Reply(Reply::Answer(recorded))) => {
                let local_answer = local_answer.borrow_mut().take();
                return Ok(local_answer.map_or_else(|| replay(&recorded), to_response));
            }
            Some(CallEvent::Reply(Reply::Refuse(refusal))) => return Err(refusal),
            None => {
                let detail = "the calls thread ended";
                return Err(Refusal::in_doubt(Reason::OutcomeUnknown, detail));
            }
        }
    }
}

/// Returns the description of the call for the calls thread.
fn keyed_call(call: &ServiceCall) -> KeyedCall {
    let key = call.key.clone().unwrap_or_default();
    let created = caraway_calls::key_timestamp(&key);
    KeyedCall {
        ticket: call.ticket,
        hash: RequestHash::of(call.method.as_str(), &call.path, &call.body),
        age: created.map(|created| {
            SystemTime::now()
                .duration_since(created)
                .unwrap_or_default()
        }),
        deadline: call.deadline.into_std(),
        key: CallKey {
            account: Arc::clone(&call.account),
            service: Arc::clone(&call.service),
            key,
        },
    }
}

/// Builds the response from an answer of the service.
fn to_response(answer: ServiceAnswer) -> HttpResponse {
    let mut response = HttpResponse::build(status_code(answer.status));
    if !answer.content_type.is_empty() {
        response.header(CONTENT_TYPE, &*answer.content_type);
    }
    response.body(answer.body)
}

/// Builds the response to a repeated call from its recorded answer.
fn replay(recorded: &RecordedAnswer) -> HttpResponse {
    let mut response = HttpResponse::build(status_code(recorded.status));
    if !recorded.content_type.is_empty() {
        response.header(CONTENT_TYPE, &*recorded.content_type);
    }
    match recorded.body.decode() {
        Some(body) => response.body(body),
        None => response.header(NOT_RECORDED_HEADER, "true").finish(),
    }
}

fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Response body of `GET /v1/outcomes/KEY`.
#[derive(Serialize)]
struct OutcomeAnswer {
    key: Arc<str>,
    state: &'static str,
    answer: Option<RecordedAnswer>,
}

/// Handles `GET /v1/outcomes/KEY?service=NAME`: returns what is known about a keyed call.
pub(crate) async fn outcome(req: HttpRequest, app: State<AppState>) -> HttpResponse {
    find_outcome(&req, &app)
        .await
        .unwrap_or_else(|refusal| refusal_response(None, refusal))
}

/// Queries the calls thread for the outcome of the call that the request names.
async fn find_outcome(req: &HttpRequest, app: &AppState) -> Result<HttpResponse, Refusal> {
    let account = request::account_header(app, req.headers())?;
    let query = req.uri().query().unwrap_or_default();
    let service = query
        .split('&')
        .find_map(|part| part.strip_prefix("service="));
    let Some(service) = service else {
        return Err(bad_request("query: service", "missing"));
    };
    let key: Arc<str> = req.match_info().get("key").unwrap_or_default().into();
    let (sender, result) = oneshot::channel();
    let call = CallKey {
        account,
        service: service.into(),
        key: Arc::clone(&key),
    };
    let message = CallsMessage::Lookup(app.shared.next_ticket(), call, sender);
    let ring_full = |_| {
        Refusal::not_run(Reason::QueueFull, "the instance is overloaded").with_retry_after(1000)
    };
    app.shared.rings.calls.push(message).map_err(ring_full)?;
    let thread_ended = |_| Refusal::not_run(Reason::QueueFull, "the calls thread ended");
    let (state, answer) = match result.await.map_err(thread_ended)? {
        LookupResult::NotFound => ("unknown", None),
        LookupResult::Pending => ("pending", None),
        LookupResult::Ended(Outcome::Answered(recorded)) => ("answered", Some(recorded)),
        LookupResult::Ended(Outcome::InDoubt(_)) => ("in_doubt", None),
        LookupResult::Ended(Outcome::NotRun) => ("not_run", None),
        LookupResult::Unavailable(retry_after) => {
            let detail = "the platform's log cannot be reached";
            return Err(
                Refusal::in_doubt(Reason::LogUnavailable, detail).with_retry_after(retry_after)
            );
        }
    };
    Ok(HttpResponse::Ok().json(&OutcomeAnswer { key, state, answer }))
}
