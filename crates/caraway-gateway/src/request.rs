//! Handling of a caller's request: checks its head, finds its route, reads its body, dispatches it
//! and logs the result.

use std::{cell::Cell, fmt, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use caraway_http::{BodyError, Payload, read_body_within};
use caraway_platform::{decode_request_head, has_token_count, refusal_response};
use caraway_quarantine::RequestDigest;
use caraway_reach::Reach;
use caraway_routes::{Limits, RequestHead, Route, RoutingConfig};
use caraway_types::{Certainty, EndpointId, Findings, Reason, Refusal};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    digest::{Caller, request_digest},
    event::emit,
    executor::millis,
    generate, hand_over, plain,
    quotas::{self, Charge},
    requester::{self, Requester},
    shared::{LastAnswers, Shared},
};

/// Timeout of a request without a deadline header; the longest route timeout of the deployments.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(12);
/// `Retry-After` of a request to an instance that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a request whose body exceeds the memory budget; long bodies take about 100 ms
/// to read.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// `Retry-After` of a request to an instance that is short of processor time; others take it at once,
/// as most have more.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(25);
/// Why such a request is refused.
pub(crate) const SHORT_OF_TIME: &str = "this instance is short of processor time";
/// `Retry-After` of a request to an instance that exits; other instances take it at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A caller's request with its route and its whole body, ready to be sent to an endpoint.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Recognises the request when its caller sends it again.
    pub(crate) digest: RequestDigest,
    pub(crate) route: Arc<Route>,
    pub(crate) requester: Requester,
    /// Priority among requests; 0 is the most urgent.
    pub(crate) priority: u8,
    /// The service of the route that was chosen for this request.
    pub(crate) service: Arc<str>,
    /// Whether the endpoints of `service` are model engines.
    pub(crate) is_engine_service: bool,
    /// Version of the configuration that its route comes from.
    pub(crate) config_version: u64,
    /// Whether another instance has handed the request over, so that this one must not.
    pub(crate) is_taken: bool,
    /// Whether the request was sent, so that it may run.
    pub(crate) was_sent: Cell<bool>,
    /// What the request was charged; `None` if its account has no quota.
    pub(crate) charge: Option<Charge>,
    pub(crate) arrived_at: Instant,
    /// Time by which the caller gets a final answer: the earlier of its own deadline and the
    /// route's timeout.
    pub(crate) deadline: Instant,
    /// Time at which the caller stops waiting.
    pub(crate) caller_deadline: Instant,
}

impl Call {
    /// Returns whether an attempt that takes `min_time` can still end before the deadline.
    pub(crate) fn has_time_for(&self, min_time: Duration) -> bool {
        Instant::now() + min_time <= self.deadline
    }

    /// Records that the request is sent, so that it may run.
    pub(crate) fn on_sent(&self) {
        self.was_sent.set(true);
        self.set_may_have_run(true);
    }

    /// Records whether the request may have run; if it certainly has not, its charge is refunded.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(charge) = &self.charge {
            charge.set_may_have_run(may_have_run);
        }
    }

    /// Counts the request's result for its account, unless the instance that handed it over does.
    fn record_account(&self, shared: &Shared, result: &'static str) {
        if let Some(account) = self.requester.account().filter(|_| !self.is_taken) {
            shared.metrics.record_account(&account.name, result);
        }
    }

    /// Returns the refusal of a request that no endpoint has run. Its reason is the deadline when less
    /// time is left than `min_time`, which another attempt would have needed.
    pub(crate) fn not_run(&self, why: &str, min_time: Duration) -> RefusalResponse {
        let reason = if self.has_time_for(min_time) {
            Reason::NoEndpoint
        } else {
            Reason::Deadline
        };
        RefusalResponse::not_run(reason, why)
    }

    /// Returns the refusal of a request that may have run. Its reason is the deadline when less time
    /// is left than `min_time`, which another attempt would have needed.
    pub(crate) fn in_doubt(&self, why: &str, min_time: Duration) -> RefusalResponse {
        let reason = if self.has_time_for(min_time) {
            Reason::EndpointFailed
        } else {
            Reason::Deadline
        };
        RefusalResponse::in_doubt(reason, why)
    }

    /// Returns the ids of the prompt's shared segments, for a log line.
    pub(crate) fn segment_ids(&self) -> String {
        let segments = self.head.shared_segments().iter();
        let ids: Vec<String> = segments.map(|s| format!("{:x}", s.id)).collect();
        ids.join(",")
    }

    /// Logs why what an endpoint has sent can't be used.
    pub(crate) fn log_unusable_answer(
        &self,
        shared: &Shared,
        endpoint: &EndpointId,
        error: &impl fmt::Display,
    ) {
        emit!(shared, info, AnswerUnusable; "request" => &*self.head.id,
            "endpoint" => &**endpoint, "error" => %error);
    }

    /// Logs and counts an attempt that ended without an answer.
    pub(crate) fn log_failed_attempt(
        &self,
        shared: &Shared,
        endpoint: &EndpointId,
        why: &'static str,
        in_doubt: bool,
        start: Instant,
    ) {
        shared.metrics.record_failed_attempt(why);
        emit!(shared, info, AttemptFailed; "request" => &*self.head.id,
            "endpoint" => &**endpoint, "why" => why, "in_doubt" => in_doubt, "events" => 0,
            "segments" => self.segment_ids(), "path" => self.uri.path(),
            "digest" => %self.digest, "ms" => millis(start.elapsed()));
    }
}

/// The answer to a request that gets none from an endpoint.
#[derive(Debug)]
pub(crate) struct RefusalResponse {
    pub(crate) status: StatusCode,
    pub(crate) refusal: Refusal,
}

impl RefusalResponse {
    /// Creates the refusal of a request that did not run.
    pub(crate) fn not_run(reason: Reason, detail: &str) -> Self {
        let status = match reason {
            Reason::BadRequest => StatusCode::BAD_REQUEST,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::UnknownService => StatusCode::NOT_FOUND,
            Reason::UnknownAccount => StatusCode::UNAUTHORIZED,
            Reason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            refusal: Refusal::not_run(reason, detail),
        }
    }

    /// Creates the refusal of a request that may have run.
    pub(crate) fn in_doubt(reason: Reason, detail: &str) -> Self {
        let status = if reason == Reason::Deadline {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Self {
            status,
            refusal: Refusal::in_doubt(reason, detail),
        }
    }

    /// Returns whether the request certainly did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.refusal.certainty == Certainty::NotRun
    }

    /// Sets the time after which the caller may retry; zero sets none.
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        if !retry_after.is_zero() {
            self.refusal = self.refusal.with_retry_after(retry_after);
        }
        self
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Rc<Shared>);

impl InFlightGuard {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Logs that the caller disconnected when the request is dropped before it has an answer.
#[derive(Debug)]
struct DisconnectGuard {
    shared: Rc<Shared>,
    id: Arc<str>,
    arrived_at: Instant,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            emit!(self.shared, info, CallerLeft; "request" => &*self.id, "events" => 0,
                "ms" => millis(self.arrived_at.elapsed()));
        }
    }
}

/// Handles a caller's request and returns its answer.
pub(crate) async fn handle(
    shared: Rc<Shared>,
    mut request: Request<Incoming>,
) -> Response<Payload> {
    requester::remove_handed_account(request.headers_mut());
    handle_from(shared, request, false).await
}

/// Handles a request that another instance has handed over, and returns its answer.
pub(crate) async fn handle_taken(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Response<Payload> {
    handle_from(shared, request, true).await
}

async fn handle_from(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    is_taken: bool,
) -> Response<Payload> {
    let in_flight = InFlightGuard::new(&shared);
    let arrived_at = Instant::now();
    let head = decode_request_head(request.headers());
    let id = head.as_ref().map_or_else(|_| "".into(), |h| h.id.clone());
    let mut disconnect_guard = DisconnectGuard {
        shared: shared.clone(),
        id: id.clone(),
        arrived_at,
        answered: false,
    };
    let response = respond(&shared, request, head, arrived_at, is_taken, in_flight).await;
    disconnect_guard.answered = true;
    response
}

/// Sends a request to an endpoint and logs and counts the result.
async fn respond(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    head: Result<RequestHead, Findings>,
    arrived_at: Instant,
    is_taken: bool,
    in_flight: InFlightGuard,
) -> Response<Payload> {
    let id = head.as_ref().map_or_else(|_| "".into(), |h| h.id.clone());
    let id = &*id;
    // Of those that other instances hand over, `hand_over` has refused some already.
    if !is_taken && shared.must_shed() {
        return shed(shared, request, id, arrived_at).await;
    }
    let call = match prepare(shared, request, head, arrived_at).await {
        Ok(call) => Call { is_taken, ..call },
        Err(refused) => return refuse(shared, "unrouted", id, arrived_at, &refused),
    };
    let kind = if call.route.streaming {
        "stream"
    } else {
        "plain"
    };
    let call = Rc::new(call);
    let result = tokio::select! {
        biased;
        result = serve(shared, call.clone(), in_flight) => result,
        () = last_answer_due(shared, &call) => Err(stop_refusal(&call)),
    };
    match result {
        Ok(response) => {
            call.record_account(shared, "served");
            shared.metrics.record_request(kind, "answered");
            shared.metrics.record_answer(kind, arrived_at.elapsed());
            emit!(shared, info, RequestAnswered; "request" => id, "kind" => kind,
                "status" => response.status().as_u16(), "ms" => millis(arrived_at.elapsed()));
            response
        }
        Err(refused) => {
            call.record_account(shared, "refused");
            if refused.is_not_run() {
                call.set_may_have_run(false);
            }
            let mut response = refuse(shared, kind, id, arrived_at, &refused);
            if is_taken && refused.is_not_run() {
                hand_over::set_not_run(&mut response);
            }
            response
        }
    }
}

/// Refuses a request with as little work as possible, so that its caller tries another instance.
async fn shed(
    shared: &Shared,
    request: Request<Incoming>,
    id: &str,
    arrived_at: Instant,
) -> Response<Payload> {
    // A connection that is closed before its body is read may be reset before its caller has the
    // answer.
    let mut body = request.into_body();
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // The refusal is the same after a body that does not end.
    timeout(DEFAULT_TIMEOUT, read).await.ok();
    shared.metrics.record_shed();
    shared.metrics.record_request("unrouted", "refused");
    emit!(shared, info, RequestShed; "request" => id, "ms" => millis(arrived_at.elapsed()));
    let refused = RefusalResponse::not_run(Reason::NoEndpoint, SHORT_OF_TIME)
        .with_retry_after(SHED_RETRY_AFTER);
    refusal_response(refused.status, id, &refused.refusal)
}

/// Waits until a request has to be answered because this instance exits.
async fn last_answer_due(shared: &Shared, call: &Call) {
    let mut last_answers = shared.last_answers.subscribe();
    let is_due = |last: &LastAnswers| match last {
        LastAnswers::None => false,
        LastAnswers::Unsent => !call.was_sent.get(),
        LastAnswers::All => true,
    };
    if last_answers.wait_for(is_due).await.is_err() {
        // The sender lives as long as the daemon.
        std::future::pending::<()>().await;
    }
}

/// Returns the refusal of a request that has no answer when this instance exits.
fn stop_refusal(call: &Call) -> RefusalResponse {
    let why = "this instance stops";
    if call.was_sent.get() {
        return RefusalResponse::in_doubt(Reason::EndpointFailed, why);
    }
    RefusalResponse::not_run(Reason::NoEndpoint, why).with_retry_after(STOP_RETRY_AFTER)
}

/// Serves a request at an endpoint or, if this instance reaches none, at another instance.
async fn serve(
    shared: &Rc<Shared>,
    call: Rc<Call>,
    in_flight: InFlightGuard,
) -> Result<Response<Payload>, RefusalResponse> {
    let is_cut = || !call.is_taken && shared.reach.reach() != Reach::Open;
    if !call.is_taken && shared.reach.reach() == Reach::Cut {
        return hand_over::serve(shared, &call, in_flight).await;
    }
    let result = if call.is_engine_service && call.head.model.is_some() {
        generate::serve(shared, call.clone(), in_flight).await
    } else {
        plain::serve(shared, &call).await
    };
    match result {
        // The way was lost before the request was sent.
        Err(refused)
            if is_cut() && refused.refusal.reason == Reason::NoEndpoint && refused.is_not_run() =>
        {
            hand_over::serve(shared, &call, InFlightGuard::new(shared)).await
        }
        result => result,
    }
}

/// Checks the head of a request, finds its route and service and reads its body.
async fn prepare(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    head: Result<RequestHead, Findings>,
    arrived_at: Instant,
) -> Result<Call, RefusalResponse> {
    let (mut parts, body) = request.into_parts();
    let routing = shared.routing();
    let route = routing
        .as_ref()
        .map(|r| find_route(r, &parts.headers, &parts.uri));
    let requester = match (&routing, &route) {
        (Some(routing), Some(Ok(route))) => requester::identify(routing, route, &parts.headers)?,
        _ => Requester::default(),
    };
    requester.strip_headers(&mut parts.headers);
    let head = head.map_err(|f| RefusalResponse::not_run(Reason::BadRequest, &f.to_string()))?;
    let (Some(routing), Some(route)) = (routing, route) else {
        let why = "no configuration is known yet";
        return Err(RefusalResponse::not_run(Reason::NoEndpoint, why)
            .with_retry_after(NO_CONFIG_RETRY_AFTER));
    };
    let route = route?;
    let service = route
        .choose_service(Shared::random_fraction())
        .ok_or_else(|| RefusalResponse::not_run(Reason::NoEndpoint, "the route has no service"))?
        .clone();
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let caller_deadline = arrived_at + timeout;
    let deadline = arrived_at + timeout.min(route.timeout);
    check_head(&parts.headers, &parts.uri, &routing.limits)?;
    let charge = match requester.account() {
        Some(account) => {
            let tokens = has_token_count(&parts.headers).then_some(head.tokens);
            let cost = account.cost(tokens);
            quotas::admit(shared, account, cost, &head.id, deadline).await?
        }
        None => None,
    };
    let body = read_body_within(body, routing.limits.body_bytes, &shared.body_budget);
    let body = timeout_at(deadline, body)
        .await
        .map_err(|_| RefusalResponse {
            status: StatusCode::REQUEST_TIMEOUT,
            refusal: Refusal::not_run(Reason::Deadline, "the body did not arrive in time"),
        })?
        .map_err(|e| match e {
            BodyError::BudgetExceeded => {
                let why = "too many long bodies are read at once";
                RefusalResponse::not_run(Reason::NoEndpoint, why)
                    .with_retry_after(BODY_MEMORY_RETRY_AFTER)
            }
            BodyError::TooLarge => {
                RefusalResponse::not_run(Reason::TooLarge, "the body is too large")
            }
            BodyError::Incomplete(why) => RefusalResponse::not_run(Reason::BadRequest, &why),
        })?;
    let caller = match &requester {
        Requester::Unchecked => Caller::Headers(&parts.headers),
        known => Caller::Account(known.name().unwrap_or_default()),
    };
    let digest = request_digest(&parts.method, &parts.uri, caller, &body);
    Ok(Call {
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        digest,
        priority: requester.priority(&route),
        requester,
        route,
        is_engine_service: routing
            .service(&service)
            .is_some_and(|s| s.engine.is_some()),
        service,
        config_version: routing.version,
        is_taken: false,
        was_sent: Cell::new(false),
        charge,
        arrived_at,
        deadline,
        caller_deadline,
    })
}

fn find_route(
    routing: &RoutingConfig,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Arc<Route>, RefusalResponse> {
    let host = headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    // Routes name a host without a port.
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    routing.route(host, uri.path()).cloned().ok_or_else(|| {
        let detail = format!("no route for {host}{}", uri.path());
        RefusalResponse::not_run(Reason::UnknownService, &detail)
    })
}

/// Refuses a request whose head exceeds the configured limit.
fn check_head(headers: &HeaderMap, uri: &Uri, limits: &Limits) -> Result<(), RefusalResponse> {
    let fields = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4);
    let size = fields.sum::<usize>() + uri.path().len();
    if size > limits.head_bytes {
        return Err(RefusalResponse {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            refusal: Refusal::not_run(Reason::TooLarge, "the head is too large"),
        });
    }
    Ok(())
}

/// Logs and counts a refused request; returns the answer to the caller.
fn refuse(
    shared: &Shared,
    kind: &'static str,
    id: &str,
    arrived_at: Instant,
    refused: &RefusalResponse,
) -> Response<Payload> {
    let RefusalResponse {
        status,
        refusal: details,
    } = refused;
    shared.metrics.record_request(kind, "refused");
    let version = shared.routing().map_or(0, |r| r.version);
    match details.reason {
        // It is logged where the state of the quota is known.
        Reason::OverLimit => {}
        Reason::UnknownAccount => {
            shared.metrics.record_refused_key();
            emit!(shared, info, RequestDenied; "request" => id, "status" => status.as_u16(),
                "detail" => &*details.detail, "version" => version,
                "config_age_ms" => shared.config_age().map(millis));
        }
        _ => {
            emit!(shared, warn, RequestFailed; "request" => id, "kind" => kind, "status" => status.as_u16(),
        "reason" => format!("{:?}", details.reason), "certainty" => format!("{:?}", details.certainty),
        "detail" => &*details.detail, "version" => version,
        "retry_after_ms" => details.retry_after.map_or(0, |r| millis(r.get())),
        "ms" => millis(arrived_at.elapsed()));
        }
    }
    refusal_response(*status, id, details)
}
