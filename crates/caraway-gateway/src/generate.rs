//! Generations: an endpoint is placed, the request sent there, its stream passed on.

use std::rc::Rc;

use bytes::Bytes;
use caraway_http::{Payload, PooledConnection, read_body_within};
use caraway_placement::{RefuseReason, RequestOutcome};
use caraway_platform::{AnswerHead, answer_head, copy_answer};
use caraway_types::{EndpointId, Reason};
use caraway_wire::CallError;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::{
    event::emit,
    executor::millis,
    heed::{Bar, Callee, heed, tell_holder},
    placement::{EndpointRequest, Placement, PlacementFailure, place},
    plain::{answer_of, foreign, note_sent, onward, put_back, take_budget},
    relay::{self, Relay},
    request::{Call, InFlight, Refused},
    shared::Shared,
    sse::EventCutter,
};

/// Sendings of one request while no endpoint has run it.
const TRIES: u32 = 4;
/// Largest failure of an endpoint that is read whole, in bytes.
const FAILURE_LIMIT_BYTES: usize = 1 << 20;
/// Time before the final answer that a further try needs to make sense: a first event takes some
/// 30 ms on an idle engine.
pub(crate) const SHORTEST_TRY: Duration = Duration::from_millis(40);

/// A stream that has begun.
#[derive(Debug)]
pub(crate) struct Begun {
    pub(crate) placed: Placement,
    pub(crate) pooled: PooledConnection,
    pub(crate) head: AnswerHead,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The first bytes; `None` when the stream is empty.
    pub(crate) first: Option<Bytes>,
    pub(crate) body: Incoming,
}

/// How an attempt ended.
#[derive(Debug)]
enum Attempt {
    /// Events come.
    Begun(Box<Begun>),
    /// A whole answer that is not a success.
    Answer(Response<Payload>),
    /// The endpoint did not run the request.
    NotRun(&'static str),
    /// The endpoint may have run the request.
    InDoubt(&'static str),
}

/// Time without a sign of life after which an endpoint is reported; first events take 40 ms at
/// the median and some 300 at the slowest hundredth.
const STALL_BASE: Duration = Duration::from_millis(400);
/// Further time for each token of the prompt; engines read some 38 tokens in a ms, and several
/// prompts share that.
const STALL_PER_TOKEN: Duration = Duration::from_micros(100);

/// What is known of a request's attempts so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Attempts that reached an endpoint.
    pub(crate) sent: u32,
    /// Attempts that may have run.
    pub(crate) ran: u32,
    /// Endpoints that did not run it, or failed.
    pub(crate) avoid: Vec<EndpointId>,
}

/// Serves a generation.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    call: Rc<Call>,
    in_flight: InFlight,
) -> Result<Response<Payload>, Refused> {
    let mut progress = Progress::default();
    let begun = match begin(shared, &call, &mut progress, Start::First).await? {
        Begin::Stream(begun) => begun,
        Begin::Answer(response) => return Ok(response),
    };
    let mut response = Response::new(Payload::empty());
    *response.status_mut() = begun.status;
    *response.headers_mut() = copy_answer(&begun.headers);
    let relay = Relay::new(
        shared.clone(),
        call,
        progress,
        EventCutter::default(),
        in_flight,
    );
    *response.body_mut() = relay::start(relay, *begun);
    Ok(response)
}

/// What a request's attempts lead to.
#[derive(Debug)]
pub(crate) enum Begin {
    /// Events come.
    Stream(Box<Begun>),
    /// A whole answer that is not a success.
    Answer(Response<Payload>),
}

/// Where a stream begins.
#[derive(Debug)]
pub(crate) enum Start<'a> {
    /// With its first event.
    First,
    /// After this event, where the caller has one, and at this endpoint, where one is granted.
    Resumed(Option<&'a str>, Option<Placement>),
}

/// Tries endpoints until one gives events or a final answer.
pub(crate) async fn begin(
    shared: &Rc<Shared>,
    call: &Call,
    progress: &mut Progress,
    start: Start<'_>,
) -> Result<Begin, Refused> {
    let (since, resume_after, mut granted) = match start {
        Start::First => (call.arrived, None, None),
        Start::Resumed(after, granted) => (Instant::now(), after, granted),
    };
    let want = want(call, since);
    let mut kept = None;
    loop {
        let placed = if let Some(placed) = granted.take() {
            placed
        } else {
            let avoid = shared.avoided(&progress.avoid);
            match place(shared, &want, &avoid).await {
                Ok(placed) => placed,
                Err(_) if kept.is_some() => break,
                Err(not) => return Err(not_placed(progress, not)),
            }
        };
        if is_barred(shared, &placed) {
            progress.avoid.push(placed.endpoint.clone());
            continue;
        }
        shared.metrics.place(call.arrived.elapsed());
        emit!(shared, info, Granted; "request" => &*call.head.id, "adapter" => %want.model,
            "endpoint" => &*placed.endpoint, "by" => placed.zone.as_deref().unwrap_or("registry"),
            "entry_age_ms" => entry_age(shared, &placed), "version" => call.version,
            "waited" => placed.waited, "sent" => progress.sent,
            "ms" => millis(call.arrived.elapsed()));
        let endpoint = placed.endpoint.clone();
        let why = match attempt(shared, call, placed, progress, resume_after).await {
            Attempt::Begun(begun) => return Ok(Begin::Stream(begun)),
            Attempt::Answer(response) => {
                if !response.status().is_server_error() || !may_rerun(shared, call, progress) {
                    return Ok(Begin::Answer(response));
                }
                kept = Some(response);
                "the endpoint failed"
            }
            Attempt::NotRun(why) => {
                if progress.sent >= TRIES || progress.sent > 0 && !take_budget(shared, call) {
                    return Err(if progress.ran > 0 {
                        call.in_doubt(why, SHORTEST_TRY)
                    } else {
                        Refused::not_run(Reason::NoEndpoint, why).after(BUSY_RETURN)
                    });
                }
                why
            }
            Attempt::InDoubt(why) => {
                if !may_rerun(shared, call, progress) {
                    return Err(call.in_doubt(why, SHORTEST_TRY));
                }
                why
            }
        };
        progress.avoid.push(endpoint);
        if !call.has_time(SHORTEST_TRY) {
            break;
        }
        shared.metrics.repeat("stream");
        emit!(shared, info, Repeated; "request" => &*call.head.id, "why" => why,
            "sent" => progress.sent, "ms" => millis(call.arrived.elapsed()));
    }
    match kept {
        Some(response) => Ok(Begin::Answer(response)),
        None => Err(call.in_doubt("no attempt gave an answer in time", SHORTEST_TRY)),
    }
}

/// Tells whether a granted endpoint gets nothing from this instance, which may know more about it
/// than who granted it.
fn is_barred(shared: &Shared, placed: &Placement) -> bool {
    let Some(bar) = shared.bar(&placed.endpoint) else {
        return false;
    };
    placed.grant.set_outcome(RequestOutcome::NotSent);
    if bar == Bar::Leaves
        && let Some(endpoint) = shared.directory.borrow().get(&placed.endpoint)
    {
        tell_holder(shared, endpoint);
    }
    true
}

/// Returns the age of the registry's entry that names the endpoint, for a log line.
fn entry_age(shared: &Shared, placed: &Placement) -> Option<u64> {
    let directory = shared.directory.borrow();
    directory.age(Shared::now(), &placed.endpoint).map(millis)
}

/// When a caller may come back whose request no endpoint took.
const BUSY_RETURN: Duration = Duration::from_millis(300);

/// Tells whether a request that may have run is sent again, and takes it from the budget.
pub(crate) fn may_rerun(shared: &Shared, call: &Call, progress: &Progress) -> bool {
    call.route.may_rerun()
        && progress.ran < call.route.max_attempts
        && call.has_time(SHORTEST_TRY)
        && take_budget(shared, call)
}

/// Returns what a request wants whose caller has waited for an event since `since`.
pub(crate) fn want(call: &Call, since: Instant) -> EndpointRequest {
    EndpointRequest {
        service: call.service.clone(),
        model: call
            .head
            .model
            .clone()
            .unwrap_or_else(|| unreachable!("a generation names its model")),
        tokens: call.head.tokens,
        priority: call.route.priority,
        goal: since + call.route.goal,
        deadline: call.last.min(since + call.route.event_timeout()),
    }
}

fn not_placed(progress: &Progress, not: PlacementFailure) -> Refused {
    let why = match not.reason {
        RefuseReason::NoEndpoint => "no endpoint of the service takes work",
        RefuseReason::Deadline => "the adapter can't be there in time",
    };
    let detail = not.last_zone.map_or_else(
        || why.to_owned(),
        |(zone, waiting)| format!("{why}; zone {zone} was asked, where {waiting} wait"),
    );
    if progress.ran > 0 {
        return Refused::in_doubt(Reason::EndpointFailed, &detail);
    }
    let reason = match not.reason {
        RefuseReason::Deadline => Reason::Deadline,
        RefuseReason::NoEndpoint => Reason::NoEndpoint,
    };
    Refused::not_run(reason, &detail).after(not.retry_after)
}

async fn attempt(
    shared: &Rc<Shared>,
    call: &Call,
    placed: Placement,
    progress: &mut Progress,
    resume_after: Option<&str>,
) -> Attempt {
    let start = Instant::now();
    let endpoint = placed.endpoint.clone();
    let outcome = exchange(shared, call, placed, progress, resume_after).await;
    if let Attempt::NotRun(why) | Attempt::InDoubt(why) = &outcome {
        let in_doubt = matches!(outcome, Attempt::InDoubt(_));
        call.log_failed(shared, &endpoint, why, in_doubt, start);
    }
    outcome
}

async fn exchange(
    shared: &Rc<Shared>,
    call: &Call,
    placed: Placement,
    progress: &mut Progress,
    resume_after: Option<&str>,
) -> Attempt {
    let failed = |placed: &Placement| placed.grant.set_outcome(RequestOutcome::Failed);
    let until = patience(shared, call, &placed.endpoint, progress);
    let connect = shared.pool.take(&placed.endpoint, placed.addr);
    let Ok(Ok(mut pooled)) = timeout_at(until, connect).await else {
        placed.grant.set_outcome(RequestOutcome::Unreachable);
        return Attempt::NotRun("can't connect");
    };
    // It may have asked for something while the connection was made.
    if let Some(bar) = shared.bar(&placed.endpoint) {
        placed.grant.set_outcome(RequestOutcome::NotSent);
        return Attempt::NotRun(bar.text());
    }
    let callee = Callee::of(shared, &placed.endpoint);
    // `until` is for the first event only; an attempt that is given up ends with its connection.
    let request = onward(call, &placed.endpoint, resume_after, call.last);
    note_sent(shared, call, progress.sent);
    let stall = Instant::now() + STALL_BASE + STALL_PER_TOKEN * call.head.tokens.prompt;
    let send = watched(&placed, stall, pooled.connection.send(request));
    let answer = match timeout_at(until, send).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(CallError::NotSent(_))) => return Attempt::NotRun("the connection had ended"),
        Ok(Err(_)) => {
            (progress.sent, progress.ran) = (progress.sent + 1, progress.ran + 1);
            failed(&placed);
            return Attempt::InDoubt("the connection broke");
        }
        Err(_) => {
            (progress.sent, progress.ran) = (progress.sent + 1, progress.ran + 1);
            failed(&placed);
            return Attempt::InDoubt("no answer in time");
        }
    };
    progress.sent += 1;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let head = answer_head(status, &headers);
    if let Some(fault) = foreign(call, &head, status) {
        progress.ran += 1;
        failed(&placed);
        return Attempt::InDoubt(fault);
    }
    heed(shared, &callee, &head);
    let mut body = answer.into_body();
    if head.not_run || !status.is_success() {
        return whole(
            shared,
            call,
            placed,
            pooled,
            body,
            (status, &headers, &head),
            progress,
        )
        .await;
    }
    progress.ran += 1;
    let first = match timeout_at(until, watched(&placed, stall, body.frame())).await {
        Ok(Some(Ok(frame))) => Some(frame.into_data().unwrap_or_default()),
        Ok(None) => None,
        Ok(Some(Err(_))) => {
            failed(&placed);
            return Attempt::InDoubt("the stream broke off before its first event");
        }
        Err(_) => {
            failed(&placed);
            return Attempt::InDoubt("no event in time");
        }
    };
    Attempt::Begun(Box::new(Begun {
        placed,
        pooled,
        head,
        status,
        headers,
        first,
        body,
    }))
}

/// Waits for a sign of life; tells who granted the endpoint when none has come by `stall`.
async fn watched<T>(placed: &Placement, stall: Instant, sign: impl Future<Output = T>) -> T {
    let mut sign = std::pin::pin!(sign);
    if let Ok(sign) = timeout_at(stall, sign.as_mut()).await {
        return sign;
    }
    placed.grant.report_stall();
    sign.await
}

/// Returns until when an attempt is awaited: a request that may run again is tried elsewhere
/// while there is time for it, and an endpoint to try.
fn patience(shared: &Shared, call: &Call, endpoint: &EndpointId, progress: &Progress) -> Instant {
    let tries = progress.ran + 1;
    let is_other = |id: &EndpointId| id != endpoint && !progress.avoid.contains(id);
    let can_rerun = call.route.may_rerun() && tries < call.route.max_attempts;
    if can_rerun && shared.has_ready_endpoint(&call.service, is_other) {
        let wait = call.route.goal + STALL_PER_TOKEN * call.head.tokens.prompt;
        call.last.min(Instant::now() + wait.max(STALL_BASE))
    } else {
        call.last
    }
}

/// Reads an answer that is no stream of events.
async fn whole(
    shared: &Rc<Shared>,
    call: &Call,
    placed: Placement,
    pooled: PooledConnection,
    body: Incoming,
    (status, headers, head): (StatusCode, &HeaderMap, &AnswerHead),
    progress: &mut Progress,
) -> Attempt {
    let body = read_body_within(body, FAILURE_LIMIT_BYTES, &shared.body_budget);
    let body = timeout_at(call.last, body).await;
    if let Ok(Ok(_)) = &body {
        put_back(shared, &placed.endpoint, pooled, head);
    }
    if head.not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            placed.grant.set_outcome(RequestOutcome::NotHeld);
            return Attempt::NotRun("the endpoint does not hold the adapter");
        }
        placed.grant.set_outcome(RequestOutcome::Refused);
        return Attempt::NotRun("the endpoint did not run it");
    }
    progress.ran += 1;
    if status.is_server_error() {
        placed.grant.set_outcome(RequestOutcome::Failed);
    }
    match body {
        Ok(Ok(body)) => Attempt::Answer(answer_of(status, headers, body)),
        _ => Attempt::InDoubt("the answer broke off"),
    }
}
