//! Requests to plain services: each is answered whole, or not at all.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use caraway_http::{BodyError, Payload, PooledConnection, read_body_within};
use caraway_placement::Urgency;
use caraway_platform::{
    AnswerHead, Onward, Reuse, SEAL_MISSING, answer_head, copy_answer, copy_request,
};
use caraway_routes::{CallOutcome, Endpoint, Idempotency};
use caraway_types::{EndpointId, Reason};
use caraway_wire::CallError;
use http::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    event::emit,
    executor::millis,
    heed::{Callee, heed},
    request::{Call, Refused},
    shared::Shared,
};

/// Largest answer that is read whole, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
/// Multiple of a route's goal after which an idempotent request is tried elsewhere.
const PATIENCE_GOALS: u32 = 3;
/// Endpoints that are tried one after the other while none has run the request.
const TRIES: usize = 4;
/// When a caller may come back whose request no endpoint took.
const FULL_RETURN: Duration = Duration::from_millis(250);
/// Time before the final answer that a further try needs to make sense.
const SHORTEST_TRY: Duration = Duration::from_millis(20);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A whole answer that belongs to the request.
    Answer(Response<Payload>),
    /// The endpoint did not run the request.
    NotRun(&'static str),
    /// The endpoint may have run the request.
    InDoubt(&'static str),
}

/// Serves a request to a plain service.
pub(crate) async fn serve(shared: &Rc<Shared>, call: &Call) -> Result<Response<Payload>, Refused> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut sent = 0;
    let mut ran = false;
    let mut kept = None;
    let mut why = "no endpoint takes work";
    while tried.len() < TRIES {
        if !call.has_time(SHORTEST_TRY) {
            break;
        }
        let Some(endpoint) = choose(shared, call, &tried) else {
            if tried.is_empty()
                && let Some(end) = pause_end(shared, call)
            {
                if end > call.arrived + call.route.goal {
                    return Err(paused(call, end));
                }
                sleep_until(end).await;
                continue;
            }
            break;
        };
        tried.push(endpoint.id.clone());
        let outcome = attempt(shared, call, &endpoint, &mut sent).await;
        match outcome {
            Attempt::Answer(response) => {
                let failed = response.status().is_server_error();
                if !failed || !may_repeat(shared, call, sent) {
                    return Ok(response);
                }
                why = "the endpoint failed";
                kept = Some(response);
            }
            Attempt::NotRun(reason) => {
                why = reason;
                if sent > 0 && !take_budget(shared, call) {
                    break;
                }
            }
            Attempt::InDoubt(reason) => {
                why = reason;
                ran = true;
                if !may_repeat(shared, call, sent) {
                    return Err(call.in_doubt(reason, SHORTEST_TRY));
                }
            }
        }
        shared.metrics.repeat("plain");
        emit!(shared, info, Repeated; "request" => &*call.head.id, "why" => why,
            "sent" => sent, "ms" => millis(call.arrived.elapsed()));
    }
    if let Some(response) = kept {
        return Ok(response);
    }
    if ran || !call.has_time(SHORTEST_TRY) {
        return Err(call.in_doubt(why, SHORTEST_TRY));
    }
    Err(Refused::not_run(Reason::NoEndpoint, why).after(FULL_RETURN))
}

fn choose(shared: &Shared, call: &Call, tried: &[EndpointId]) -> Option<std::sync::Arc<Endpoint>> {
    let directory = shared.directory.borrow();
    let all = directory.of_service(&call.service);
    let candidates = all.filter(|e| !shared.is_paused(e));
    let mut chooser = shared.load_balancer.borrow_mut();
    chooser.choose(Shared::now(), &shared.site.zone, candidates, tried)
}

/// Returns when the first endpoint takes work again, where all that are ready asked this instance
/// for a pause.
fn pause_end(shared: &Shared, call: &Call) -> Option<Instant> {
    let directory = shared.directory.borrow();
    let pauses = shared.pauses.borrow();
    let end = pauses.earliest_end(Shared::now(), directory.of_service(&call.service))?;
    Some(Instant::from_std(end))
}

/// Refuses a request whose service's endpoints all asked for a pause; callers return one after the
/// other once the first pause has ended.
fn paused(call: &Call, end: Instant) -> Refused {
    let left = end.saturating_duration_since(Instant::now());
    let after = left + call.route.goal.mul_f64(Shared::random_fraction());
    Refused::not_run(Reason::NoEndpoint, "all endpoints asked for a pause").after(after)
}

/// Tells whether a request that may have run is sent again, and takes it from the budget.
fn may_repeat(shared: &Shared, call: &Call, sent: u32) -> bool {
    call.route.idempotency == Idempotency::Idempotent
        && sent < call.route.max_attempts
        && call.has_time(SHORTEST_TRY)
        && take_budget(shared, call)
}

pub(crate) fn take_budget(shared: &Shared, call: &Call) -> bool {
    let mut budget = shared.retry_budget.borrow_mut();
    budget.try_acquire(Shared::now(), &call.service)
}

async fn attempt(shared: &Rc<Shared>, call: &Call, endpoint: &Endpoint, sent: &mut u32) -> Attempt {
    let start = Instant::now();
    let guard = CallGuard {
        shared: shared.clone(),
        endpoint: endpoint.id.clone(),
        verdict: CallOutcome::Unrelated,
    };
    let patience = call.route.goal * PATIENCE_GOALS;
    let last_try =
        call.route.idempotency == Idempotency::AtMostOnce || *sent + 1 >= call.route.max_attempts;
    let until = if last_try {
        call.last
    } else {
        call.last.min(start + patience)
    };
    let (outcome, verdict) = exchange(shared, call, endpoint, until, sent).await;
    guard.end(verdict);
    if let Attempt::NotRun(why) | Attempt::InDoubt(why) = &outcome {
        let in_doubt = matches!(outcome, Attempt::InDoubt(_));
        call.log_failed(shared, &endpoint.id, why, in_doubt, start);
    }
    outcome
}

async fn exchange(
    shared: &Rc<Shared>,
    call: &Call,
    endpoint: &Endpoint,
    until: Instant,
    sent: &mut u32,
) -> (Attempt, CallOutcome) {
    let start = Instant::now();
    let mut pooled = match timeout_at(until, shared.pool.take(&endpoint.id, endpoint.addr)).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(_)) => return (Attempt::NotRun("can't connect"), CallOutcome::Unreachable),
        Err(_) => {
            return (
                Attempt::NotRun("connecting took too long"),
                CallOutcome::Unrelated,
            );
        }
    };
    // It may have asked for something while the connection was made.
    if let Some(bar) = shared.bar(&endpoint.id) {
        return (Attempt::NotRun(bar.text()), CallOutcome::Unrelated);
    }
    let callee = Callee {
        endpoint: endpoint.id.clone(),
        born: endpoint.started_ms,
    };
    let request = onward(call, &endpoint.id, None, until);
    note_sent(shared, call, *sent);
    let answer = match timeout_at(until, pooled.connection.send(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(CallError::NotSent(_))) => {
            return (
                Attempt::NotRun("the connection had ended"),
                CallOutcome::Unrelated,
            );
        }
        Ok(Err(_)) => {
            *sent += 1;
            return (
                Attempt::InDoubt("the connection broke"),
                CallOutcome::Broken,
            );
        }
        Err(_) => {
            *sent += 1;
            return (Attempt::InDoubt("no answer in time"), CallOutcome::Broken);
        }
    };
    *sent += 1;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let head = answer_head(status, &headers);
    let body = read_body_within(answer.into_body(), ANSWER_LIMIT_BYTES, &shared.body_budget);
    let body = match timeout_at(until, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => {
            return (
                Attempt::InDoubt("the answer is too long"),
                CallOutcome::Broken,
            );
        }
        Ok(Err(BodyError::BudgetExceeded)) => {
            return (
                Attempt::InDoubt("too many long answers"),
                CallOutcome::Broken,
            );
        }
        Ok(Err(BodyError::Incomplete(_))) => {
            return (
                Attempt::InDoubt("the answer broke off"),
                CallOutcome::Broken,
            );
        }
        Err(_) => {
            return (
                Attempt::InDoubt("the answer took too long"),
                CallOutcome::Broken,
            );
        }
    };
    if let Some(fault) = foreign(call, &head, status) {
        return (Attempt::InDoubt(fault), CallOutcome::Broken);
    }
    heed(shared, &callee, &head);
    put_back(shared, &endpoint.id, pooled, &head);
    if head.not_run {
        return (
            Attempt::NotRun("the endpoint did not run it"),
            CallOutcome::Refused,
        );
    }
    let verdict = if status.is_server_error() {
        CallOutcome::Failed
    } else {
        CallOutcome::Answered(start.elapsed())
    };
    (Attempt::Answer(answer_of(status, &headers, body)), verdict)
}

/// Gives a connection back to the pool after a whole answer.
pub(crate) fn put_back(
    shared: &Shared,
    endpoint: &EndpointId,
    pooled: PooledConnection,
    head: &AnswerHead,
) {
    match head.reuse {
        Reuse::Close => {}
        Reuse::Unnamed => shared.pool.put(endpoint, pooled, None),
        Reuse::Idle(idle) => shared.pool.put(endpoint, pooled, Some(idle)),
    }
}

/// Says why an answer can't be the one to the request.
pub(crate) fn foreign(call: &Call, head: &AnswerHead, status: StatusCode) -> Option<&'static str> {
    if head.id.as_ref().is_some_and(|id| *id != call.head.id) {
        Some("the answer belongs to another request")
    } else if head.not_run {
        None
    } else if head.id.is_none() {
        Some("the answer names no request")
    } else if head.encoded {
        Some("the answer is encoded")
    } else if status.is_success() && !head.sealed {
        Some(SEAL_MISSING)
    } else {
        None
    }
}

/// Makes the request that goes on to an endpoint.
pub(crate) fn onward(
    call: &Call,
    endpoint: &str,
    resume_after: Option<&str>,
    until: Instant,
) -> Request<Payload> {
    let mut request = Request::new(Payload::whole(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = copy_request(
        &call.headers,
        &Onward {
            endpoint,
            deadline: until.saturating_duration_since(Instant::now()),
            resume_after,
            urgency: call.on_engine.then(|| Urgency::of(call.head.tokens)),
        },
    );
    request
}

/// Counts a request's first sending for its service's budget.
pub(crate) fn note_sent(shared: &Shared, call: &Call, sent: u32) {
    if sent == 0 {
        let mut budget = shared.retry_budget.borrow_mut();
        budget.on_request(Shared::now(), &call.service);
    }
}

pub(crate) fn answer_of(
    status: StatusCode,
    headers: &http::HeaderMap,
    body: Bytes,
) -> Response<Payload> {
    let mut response = Response::new(Payload::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = copy_answer(headers);
    response
}

/// Tells the chooser when a call has ended, also when it is dropped.
struct CallGuard {
    shared: Rc<Shared>,
    endpoint: EndpointId,
    verdict: CallOutcome,
}

impl CallGuard {
    fn end(mut self, verdict: CallOutcome) {
        self.verdict = verdict;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut chooser = self.shared.load_balancer.borrow_mut();
        chooser.on_end(Shared::now(), &self.endpoint, self.verdict);
    }
}
