//! Requests to plain services, those without model engines: the whole answer is read before any of
//! it goes to the caller.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use caraway_http::{BodyError, Payload, PooledConnection, ResponseBody, read_body_within};
use caraway_placement::{LOW_PRIORITY_WAIT_SHARE, Urgency};
use caraway_platform::{
    ForwardHeaders, KeepAlive, ResponseHead, SIGNATURE_MISSING, copy_request_headers,
    copy_response_headers, decode_response_head,
};
use caraway_quarantine::Quarantine;
use caraway_routes::{CallOutcome, Endpoint, Idempotency};
use caraway_types::{EndpointId, Reason};
use caraway_wire::CallError;
use http::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    crash_watch,
    endpoint_limits::{PERMIT_EXPIRED, PermitDenied, acquire_permit},
    endpoint_signals::{EndpointIncarnation, handle_answer_head},
    event::emit,
    executor::millis,
    generate::quarantine_refusal,
    reach::{self, CUT_OFF, ConnectFailure},
    request::{Call, RefusalResponse},
    shared::Shared,
};

/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Timeout of an attempt that may be followed by another, as a multiple of the route's latency
/// goal.
const ATTEMPT_TIMEOUT_GOALS: u32 = 3;
/// Maximum number of endpoints that one request is sent to.
const MAX_ENDPOINTS: usize = 4;
/// `Retry-After` of a request that no endpoint ran.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest wait for the permit of an endpoint with a limit. Permits that are given ahead stay in use
/// when the zone's holder changes, and the next holder does not know of them.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(1);
/// Time without an answer after which an endpoint counts as silent; answers take less than 100 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Least time before the deadline in which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Why an answer that its endpoint did not finish can't be used.
const ANSWER_BROKEN: &str = "the answer broke off";

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A whole answer that belongs to the request; it may be an error.
    Answer(Response<Payload>),
    /// The endpoint did not run the request, for this reason.
    NotRun(&'static str),
    /// The endpoint may have run the request; this is what failed.
    InDoubt(&'static str),
    /// The request was not sent, as it is in this quarantine.
    Quarantined(Quarantine),
}

/// Serves a request to a plain service.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    call: &Call,
) -> Result<Response<Payload>, RefusalResponse> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut sent = 0;
    let mut may_have_run = false;
    let mut error_response = None;
    let mut why = "no endpoint takes work";
    while tried.len() < MAX_ENDPOINTS {
        if !call.has_time_for(MIN_ATTEMPT_TIME) {
            break;
        }
        if let Some(quarantine) = shared.crash_watch.quarantine(call) {
            if error_response.is_some() {
                break;
            }
            return Err(quarantine_refusal(shared, call, may_have_run, &quarantine));
        }
        let permit_wait = max_permit_wait(shared, call, &tried);
        let Some(endpoint) = choose_endpoint(shared, call, &tried, permit_wait) else {
            if tried.is_empty()
                && let Some(end) = earliest_block_end(shared, call, permit_wait)
            {
                if end > call.arrived_at + call.route.latency_goal {
                    return Err(refuse_blocked(shared, call, end));
                }
                sleep_until(end).await;
                continue;
            }
            break;
        };
        let guard = LoadBalancerGuard {
            shared: shared.clone(),
            endpoint: endpoint.id.clone(),
            call_outcome: CallOutcome::Unrelated,
        };
        let permit = acquire_permit(shared, &endpoint, &call.head.id, permit_wait).await;
        if permit == Err(PermitDenied) {
            continue;
        }
        tried.push(endpoint.id.clone());
        let result = attempt(shared, call, &endpoint, guard, &mut sent).await;
        match result {
            Outcome::Answer(response) => {
                let failed = response.status().is_server_error();
                if !failed || !try_acquire_rerun(shared, call, sent) {
                    return Ok(response);
                }
                why = "the endpoint failed";
                error_response = Some(response);
            }
            Outcome::NotRun(reason) => {
                why = reason;
                if reason == CUT_OFF {
                    break;
                }
                if sent > 0 && !try_acquire_retry(shared, call) {
                    break;
                }
            }
            Outcome::InDoubt(reason) => {
                why = reason;
                may_have_run = true;
                if !try_acquire_rerun(shared, call, sent) {
                    return Err(call.in_doubt(reason, MIN_ATTEMPT_TIME));
                }
            }
            Outcome::Quarantined(_) if error_response.is_some() => break,
            Outcome::Quarantined(quarantine) => {
                return Err(quarantine_refusal(shared, call, may_have_run, &quarantine));
            }
        }
        shared.metrics.record_retry("plain");
        emit!(shared, info, RequestRetried; "request" => &*call.head.id, "why" => why,
            "sent" => sent, "ms" => millis(call.arrived_at.elapsed()));
    }
    if let Some(response) = error_response {
        return Ok(response);
    }
    if may_have_run {
        return Err(call.in_doubt(why, MIN_ATTEMPT_TIME));
    }
    Err(call
        .not_run(why, MIN_ATTEMPT_TIME)
        .with_retry_after(BUSY_RETRY_AFTER))
}

/// Returns how long the request can wait for a permit of an endpoint that limits its requests: not
/// at all while another endpoint has no limit, and longer for the most important requests.
fn max_permit_wait(shared: &Shared, call: &Call, tried: &[EndpointId]) -> Duration {
    let directory = shared.directory.borrow();
    let mut others = directory
        .of_service(&call.service)
        .filter(|e| e.is_ready() && !tried.contains(&e.id) && !shared.is_paused(e));
    if others.any(|e| shared.limits.rate(e).is_none()) {
        return Duration::ZERO;
    }
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let share = if call.priority == 0 {
        1.0
    } else {
        LOW_PRIORITY_WAIT_SHARE
    };
    let wait = remaining.saturating_sub(MIN_ATTEMPT_TIME).mul_f64(share);
    wait.min(MAX_PERMIT_WAIT)
}

/// Returns the endpoint for the next attempt, one that is not in `tried`, not paused, and for which
/// a permit may be due within `permit_wait`.
fn choose_endpoint(
    shared: &Shared,
    call: &Call,
    tried: &[EndpointId],
    permit_wait: Duration,
) -> Option<std::sync::Arc<Endpoint>> {
    let directory = shared.directory.borrow();
    let all = directory.of_service(&call.service);
    let is_denied = |e: &Endpoint| shared.limits.denied_until(e, permit_wait).is_some();
    let candidates = all.filter(|e| !shared.is_paused(e) && !is_denied(e));
    let mut balancer = shared.load_balancer.borrow_mut();
    balancer.choose(Shared::now(), &shared.site.zone, candidates, tried)
}

/// Returns when the first endpoint may get a request again if every ready endpoint of the service
/// has asked this instance for a pause, or has no permit that is due within `permit_wait`.
fn earliest_block_end(shared: &Shared, call: &Call, permit_wait: Duration) -> Option<Instant> {
    let now = Shared::now();
    let directory = shared.directory.borrow();
    let pauses = shared.pauses.borrow();
    let denied_until = |e: &Endpoint| {
        let until = shared.limits.denied_until(e, permit_wait)?;
        Some(until.max(pauses.paused_until(now, e).unwrap_or(until)))
    };
    let ready = directory.of_service(&call.service).filter(|e| e.is_ready());
    let (denied, others): (Vec<_>, Vec<_>) = ready.partition(|e| denied_until(e).is_some());
    let denial_end = denied.into_iter().filter_map(|e| denied_until(e)).min();
    let pause_end = pauses.earliest_end(now, others.iter().copied());
    if pause_end.is_none() && !others.is_empty() {
        return None;
    }
    let ends = pause_end.into_iter().chain(denial_end);
    ends.min().map(Instant::from_std)
}

/// Returns the refusal of a request whose endpoints all asked for a pause or have no permit.
/// `Retry-After` is randomized so that the callers' retries spread out after that.
fn refuse_blocked(shared: &Shared, call: &Call, end: Instant) -> RefusalResponse {
    let remaining = end.saturating_duration_since(Instant::now());
    let after = remaining + call.route.latency_goal.mul_f64(Shared::random_fraction());
    let limits = shared.describe_limits(&call.service);
    let detail = format!("all endpoints asked for a pause or limit their requests{limits}");
    RefusalResponse::not_run(Reason::NoEndpoint, &detail).with_retry_after(after)
}

/// Returns whether a request that may have run is sent again; if so, takes a retry from the
/// service's budget.
fn try_acquire_rerun(shared: &Shared, call: &Call, sent: u32) -> bool {
    call.route.idempotency == Idempotency::Idempotent
        && sent < call.route.max_attempts
        && call.has_time_for(MIN_ATTEMPT_TIME)
        && try_acquire_retry(shared, call)
}

/// Takes a retry from the service's budget; returns whether there was one.
pub(crate) fn try_acquire_retry(shared: &Shared, call: &Call) -> bool {
    let mut budget = shared.retry_budget.borrow_mut();
    budget.try_acquire(Shared::now(), &call.service)
}

/// Sends the request to an endpoint once; reports the outcome to the load balancer and logs a
/// failure.
async fn attempt(
    shared: &Rc<Shared>,
    call: &Call,
    endpoint: &Endpoint,
    guard: LoadBalancerGuard,
    sent: &mut u32,
) -> Outcome {
    let start = Instant::now();
    let timeout = call.route.latency_goal * ATTEMPT_TIMEOUT_GOALS;
    let is_last_attempt =
        call.route.idempotency == Idempotency::AtMostOnce || *sent + 1 >= call.route.max_attempts;
    let deadline = if is_last_attempt {
        call.deadline
    } else {
        call.deadline.min(start + timeout)
    };
    let (result, call_outcome) = exchange(shared, call, endpoint, deadline, sent).await;
    guard.end(call_outcome);
    if let Outcome::NotRun(why) | Outcome::InDoubt(why) = &result {
        let in_doubt = matches!(result, Outcome::InDoubt(_));
        call.log_failed_attempt(shared, &endpoint.id, why, in_doubt, start);
    }
    result
}

/// Sends the request to an endpoint and reads its answer. Adds to `sent` if the request may have
/// reached the endpoint.
async fn exchange(
    shared: &Rc<Shared>,
    call: &Call,
    endpoint: &Endpoint,
    deadline: Instant,
    sent: &mut u32,
) -> (Outcome, CallOutcome) {
    let start = Instant::now();
    let connect = reach::connect(shared, &endpoint.id, endpoint.addr);
    let mut pooled = match timeout_at(deadline, connect).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(ConnectFailure::CutOff)) => {
            return (Outcome::NotRun(CUT_OFF), CallOutcome::Unrelated);
        }
        Ok(Err(ConnectFailure::Unreachable)) => {
            return (Outcome::NotRun("can't connect"), CallOutcome::Unreachable);
        }
        Err(_) => {
            return (
                Outcome::NotRun("connecting took too long"),
                CallOutcome::Unrelated,
            );
        }
    };
    // The endpoint may have started draining or pausing while the connection was made.
    if let Some(reason) = shared.block_reason(&endpoint.id, endpoint.started_ms) {
        return (Outcome::NotRun(reason.as_str()), CallOutcome::Unrelated);
    }
    if let Some(quarantine) = shared.crash_watch.quarantine(call) {
        return (Outcome::Quarantined(quarantine), CallOutcome::Unrelated);
    }
    let incarnation = EndpointIncarnation {
        endpoint: endpoint.id.clone(),
        started_ms: endpoint.started_ms,
    };
    if shared.is_permit_expired(&incarnation, start.into_std()) {
        return (Outcome::NotRun(PERMIT_EXPIRED), CallOutcome::Unrelated);
    }
    let request = request_to_endpoint(call, &endpoint.id, None, deadline);
    record_first_send(shared, call, *sent);
    shared.record_limited_send(&incarnation, "plain");
    let sent_at = Instant::now();
    let silent_at = sent_at + SILENCE_TIMEOUT;
    let answer = pooled.connection.send(request);
    let answer = reach::watch_silence(shared, &endpoint.id, silent_at, answer);
    let answer = match timeout_at(deadline, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(CallError::NotSent(_))) => {
            return (
                Outcome::NotRun("the connection had ended"),
                CallOutcome::Unrelated,
            );
        }
        Ok(Err(error)) => {
            *sent += 1;
            call.log_unusable_answer(shared, &endpoint.id, &error);
            reach::on_break(shared, &endpoint.id, pooled.reused);
            crash_watch::on_break(shared, call, &incarnation, sent_at, false);
            return (
                Outcome::InDoubt("the connection broke"),
                CallOutcome::Broken,
            );
        }
        Err(_) => {
            *sent += 1;
            return (Outcome::InDoubt("no answer in time"), CallOutcome::Broken);
        }
    };
    *sent += 1;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let head = decode_response_head(status, &headers);
    let body = read_answer_body(shared, call, &endpoint.id, answer.into_body(), deadline);
    let body = match body.await {
        Ok(body) => body,
        Err(why) => {
            if why == ANSWER_BROKEN {
                crash_watch::on_break(shared, call, &incarnation, sent_at, false);
            }
            return (Outcome::InDoubt(why), CallOutcome::Broken);
        }
    };
    if let Some(mismatch) = find_mismatch(call, &head, status, pooled.reused) {
        return (Outcome::InDoubt(mismatch), CallOutcome::Broken);
    }
    reach::on_answer(shared, &endpoint.id, pooled.reused);
    handle_answer_head(shared, &incarnation, &head, sent_at.into_std());
    return_connection(shared, &endpoint.id, pooled, &head);
    if head.not_run {
        return (
            Outcome::NotRun("the endpoint did not run it"),
            CallOutcome::Refused,
        );
    }
    crash_watch::on_end(shared, call);
    let call_outcome = if status.is_server_error() {
        CallOutcome::Failed
    } else {
        CallOutcome::Answered(start.elapsed())
    };
    (
        Outcome::Answer(client_response(status, &headers, body)),
        call_outcome,
    )
}

/// Reads the body of an answer; the error says why it can't be used.
async fn read_answer_body(
    shared: &Shared,
    call: &Call,
    endpoint: &EndpointId,
    body: ResponseBody,
    deadline: Instant,
) -> Result<Bytes, &'static str> {
    let body = read_body_within(body, MAX_ANSWER_BYTES, &shared.body_budget);
    match timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err("the answer is too long"),
        Ok(Err(BodyError::BudgetExceeded)) => Err("too many long answers"),
        Ok(Err(error @ BodyError::Incomplete(_))) => {
            call.log_unusable_answer(shared, endpoint, &error);
            Err(ANSWER_BROKEN)
        }
        Err(_) => Err("the answer took too long"),
    }
}

/// Returns a connection to the pool after a whole answer, unless the endpoint closes it.
pub(crate) fn return_connection(
    shared: &Shared,
    endpoint: &EndpointId,
    pooled: PooledConnection,
    head: &ResponseHead,
) {
    match head.keep_alive {
        KeepAlive::Close => {}
        KeepAlive::Unspecified => shared.pool.put(endpoint, pooled, None),
        KeepAlive::Timeout(idle) => shared.pool.put(endpoint, pooled, Some(idle)),
    }
}

/// Returns why an answer can't be the answer to the request, `None` if it can. `reused` is whether the
/// connection has had an answer before, which an endpoint may write once more.
pub(crate) fn find_mismatch(
    call: &Call,
    head: &ResponseHead,
    status: StatusCode,
    reused: bool,
) -> Option<&'static str> {
    if head.id.as_ref().is_some_and(|id| *id != call.head.id) {
        Some("the answer belongs to another request")
    } else if head.not_run && head.id.is_none() && reused {
        Some("the refusal names no request")
    } else if head.not_run {
        None
    } else if head.id.is_none() {
        Some("the answer names no request")
    } else if head.encoded {
        Some("the answer is encoded")
    } else if status.is_success() && !head.signed {
        Some(SIGNATURE_MISSING)
    } else {
        None
    }
}

/// Creates the request to an endpoint. `resume_after` is the id of the last event that the caller
/// has received.
pub(crate) fn request_to_endpoint(
    call: &Call,
    endpoint: &str,
    resume_after: Option<&str>,
    deadline: Instant,
) -> Request<Payload> {
    let mut request = Request::new(Payload::whole(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = copy_request_headers(
        &call.headers,
        &ForwardHeaders {
            endpoint,
            deadline: deadline.saturating_duration_since(Instant::now()),
            resume_after,
            urgency: call
                .is_engine_service
                .then(|| Urgency::of(call.head.tokens)),
            account: call.requester.name(),
        },
    );
    request
}

/// Records that a request is sent, and counts it towards its service's retry budget the first time; `sent`
/// is the number of earlier sends.
pub(crate) fn record_first_send(shared: &Shared, call: &Call, sent: u32) {
    call.on_sent();
    if sent == 0 {
        let mut budget = shared.retry_budget.borrow_mut();
        budget.on_request(Shared::now(), &call.service);
    }
}

/// Creates the answer to the caller from an endpoint's answer.
pub(crate) fn client_response(
    status: StatusCode,
    headers: &http::HeaderMap,
    body: Bytes,
) -> Response<Payload> {
    let mut response = Response::new(Payload::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = copy_response_headers(headers);
    response
}

/// Reports the end of an attempt to the load balancer, also when the attempt is dropped.
struct LoadBalancerGuard {
    shared: Rc<Shared>,
    endpoint: EndpointId,
    call_outcome: CallOutcome,
}

impl LoadBalancerGuard {
    fn end(mut self, call_outcome: CallOutcome) {
        self.call_outcome = call_outcome;
    }
}

impl Drop for LoadBalancerGuard {
    fn drop(&mut self) {
        let mut balancer = self.shared.load_balancer.borrow_mut();
        balancer.on_end(Shared::now(), &self.endpoint, self.call_outcome);
    }
}
