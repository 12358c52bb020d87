//! Requests to model engines: gets an endpoint with the adapter from the placer, sends the request
//! there and relays the event stream.

use std::rc::Rc;

use bytes::Bytes;
use caraway_http::{Payload, PooledConnection, ResponseBody, read_body_within};
use caraway_placement::{RefuseReason, RequestOutcome};
use caraway_platform::{ResponseHead, copy_response_headers, decode_response_head};
use caraway_quarantine::Quarantine;
use caraway_reach::Trouble;
use caraway_types::{EndpointId, Reason, SoftwareVersion};
use caraway_wire::CallError;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::{
    crash_records::suspect_list,
    crash_watch,
    endpoint_limits::PERMIT_EXPIRED,
    endpoint_signals::{
        BlockReason, EndpointIncarnation, handle_answer_head, report_draining_to_holder,
        report_gone_to_holder,
    },
    event::emit,
    executor::millis,
    origin_lookup::find_origin,
    placement::{EndpointRequest, Placement, PlacementFailure, place},
    plain::{
        client_response, find_mismatch, record_first_send, request_to_endpoint, return_connection,
        try_acquire_retry,
    },
    reach::{self, CUT_OFF, ConnectFailure},
    relay::{self, Relay},
    request::{Call, InFlightGuard, RefusalResponse},
    shared::Shared,
    sse::EventSplitter,
    stream_origins::required_version,
};

/// Why a request was not sent to an endpoint, for log lines and metric labels.
const OTHER_SOFTWARE: &str = "its software has another version";
/// Maximum number of times that a request is sent while no endpoint has run it.
const MAX_SENDS: u32 = 4;
/// Largest body of an answer other than a stream, in bytes.
const MAX_ERROR_BYTES: usize = 1 << 20;
/// Least time before the deadline in which another attempt is made: an idle engine takes about
/// 30 ms for a first event.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(40);

/// Time that an engine needs for each token of the prompt that no other request shares: twice as fast
/// engines as those of the deployments read 92 tokens per millisecond. Shared segments may have been
/// read before.
const MIN_TIME_PER_TOKEN: Duration = Duration::from_micros(11);

/// Returns the least time in which an engine may answer a request; with less time left, none is asked.
fn min_attempt_time(call: &Call) -> Duration {
    let own_tokens = call.head.prompt.last().map(|segment| segment.tokens);
    MIN_ATTEMPT_TIME + MIN_TIME_PER_TOKEN * own_tokens.unwrap_or(call.head.tokens.prompt)
}

/// An event stream whose first bytes have arrived.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) placed: Placement,
    pub(crate) pooled: PooledConnection,
    /// The platform's headers of the response, decoded.
    pub(crate) head: ResponseHead,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The first bytes.
    pub(crate) first: Bytes,
    pub(crate) body: ResponseBody,
    /// The incarnation that the request was sent to.
    pub(crate) incarnation: EndpointIncarnation,
    /// Software version of that incarnation; `None` if the registry does not list it.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) sent_at: Instant,
}

/// How an attempt ended.
#[derive(Debug)]
enum Outcome {
    /// The endpoint streams events.
    Streaming(Box<OpenStream>),
    /// A whole answer that is not a success.
    Answer(Response<Payload>),
    /// The endpoint did not run the request, for this reason.
    NotRun(&'static str),
    /// The endpoint may have run the request; this is what failed.
    InDoubt(&'static str),
    /// The request was not sent, as it is in this quarantine by now.
    Quarantined(Quarantine),
}

/// Time without an answer or a first event after which an endpoint is reported as stalled; first
/// events take 40 ms at the median and about 300 ms at the 99th percentile.
const STALL_TIMEOUT_BASE: Duration = Duration::from_millis(400);
/// Additional time for each token of the prompt: engines read about 38 tokens per millisecond,
/// which concurrent prompts share.
const STALL_TIMEOUT_PER_TOKEN: Duration = Duration::from_micros(100);

/// The attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Attempts that reached an endpoint.
    pub(crate) sent: u32,
    /// Attempts that may have run.
    pub(crate) possible_runs: u32,
    /// Endpoints that did not run the request or failed.
    pub(crate) exclude: Vec<EndpointId>,
    /// Software version that has begun the stream; only its endpoints may go on.
    pub(crate) software: Option<SoftwareVersion>,
}

impl AttemptHistory {
    /// Returns the endpoints that a request must not go to.
    pub(crate) fn excluded(&self, shared: &Rc<Shared>, call: &Call) -> Vec<EndpointId> {
        let mut excluded = shared.excluded_endpoints(&self.exclude);
        let begun = self.software.clone();
        if let Some(software) = begun.or_else(|| required_version(shared, call)) {
            excluded.extend(shared.endpoints_of_other_versions(&call.service, &software));
        }
        excluded
    }

    /// Returns whether an endpoint may begin the stream, or go on with it if it has begun. One that this
    /// instance does not know may have any version, which a resumable stream must not begin at unrecorded.
    fn fits(&self, shared: &Shared, call: &Call, endpoint: &EndpointId) -> bool {
        match (&self.software, shared.software_of(endpoint)) {
            (None, known) => known.is_some() || !call.route.resumable,
            (Some(begun), known) => known.as_ref() == Some(begun),
        }
    }
}

/// Serves a request to a model engine.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    call: Rc<Call>,
    in_flight: InFlightGuard,
) -> Result<Response<Payload>, RefusalResponse> {
    let mut history = AttemptHistory {
        software: find_origin(shared, &call).await?,
        ..AttemptHistory::default()
    };
    let stream = match open_stream(shared, &call, &mut history, StartPoint::First).await? {
        StreamOutcome::Stream(stream) => stream,
        StreamOutcome::Answer(response) => return Ok(response),
    };
    let mut response = Response::new(Payload::empty());
    *response.status_mut() = stream.status;
    *response.headers_mut() = copy_response_headers(&stream.headers);
    let relay = Relay::new(
        shared.clone(),
        call,
        history,
        EventSplitter::default(),
        in_flight,
    );
    *response.body_mut() = relay::start(relay, *stream);
    Ok(response)
}

/// The final result of a request's attempts.
#[derive(Debug)]
pub(crate) enum StreamOutcome {
    /// The endpoint streams events.
    Stream(Box<OpenStream>),
    /// A whole answer that is not a success.
    Answer(Response<Payload>),
}

/// The event with which a stream starts.
#[derive(Debug)]
pub(crate) enum StartPoint<'a> {
    /// The first event.
    First,
    /// The event after the one with the id of the first field, or the first event if the caller has
    /// received none. The second field is the endpoint to resume at, if it has already been
    /// granted.
    Resumed(Option<&'a str>, Option<Placement>),
}

/// Sends the request to one endpoint after the other until one streams events or gives a final
/// answer.
pub(crate) async fn open_stream(
    shared: &Rc<Shared>,
    call: &Call,
    history: &mut AttemptHistory,
    start: StartPoint<'_>,
) -> Result<StreamOutcome, RefusalResponse> {
    let (since, resume_after, mut granted) = match start {
        StartPoint::First => (call.arrived_at, None, None),
        StartPoint::Resumed(after, granted) => (Instant::now(), after, granted),
    };
    let placement = placement_request(call, since);
    let mut error_response = None;
    loop {
        if let Some(quarantine) = shared.crash_watch.quarantine(call) {
            if error_response.is_some() {
                break;
            }
            return Err(quarantine_refusal(
                shared,
                call,
                history.possible_runs > 0,
                &quarantine,
            ));
        }
        let placed = if let Some(placed) = granted.take() {
            placed
        } else {
            let exclude = history.excluded(shared, call);
            match place(shared, &placement, &exclude).await {
                Ok(placed) => placed,
                Err(_) if error_response.is_some() => break,
                Err(not_placed) => {
                    return Err(placement_refusal(shared, call, history, not_placed));
                }
            }
        };
        if skip_unfit(shared, call, history, &placed) {
            history.exclude.push(placed.endpoint.clone());
            continue;
        }
        if !call.has_time_for(min_attempt_time(call)) {
            placed.grant.set_outcome(RequestOutcome::NotSent);
            break;
        }
        shared.metrics.record_placement(call.arrived_at.elapsed());
        emit!(shared, info, EndpointGranted; "request" => &*call.head.id, "adapter" => %placement.model,
            "endpoint" => &*placed.endpoint, "by" => placed.zone.as_deref().unwrap_or("registry"),
            "entry_age_ms" => registry_entry_age(shared, &placed), "version" => call.config_version,
            "software" => shared.software_of(&placed.endpoint).as_deref(),
            "resumes" => call.head.resumes.as_deref(),
            "waited" => placed.waited, "sent" => history.sent,
            "ms" => millis(call.arrived_at.elapsed()));
        let endpoint = placed.endpoint.clone();
        let why = match attempt(shared, call, placed, history, resume_after).await {
            Outcome::Streaming(stream) => return Ok(StreamOutcome::Stream(stream)),
            Outcome::Answer(response) => {
                if !response.status().is_server_error() || !try_acquire_rerun(shared, call, history)
                {
                    return Ok(StreamOutcome::Answer(response));
                }
                error_response = Some(response);
                "the endpoint failed"
            }
            Outcome::NotRun(why) => {
                if !may_send_again(shared, call, history, why) {
                    return Err(unsent_refusal(call, history, why));
                }
                why
            }
            Outcome::Quarantined(_) if error_response.is_some() => break,
            Outcome::Quarantined(quarantine) => {
                return Err(quarantine_refusal(
                    shared,
                    call,
                    history.possible_runs > 0,
                    &quarantine,
                ));
            }
            Outcome::InDoubt(why) => {
                if !try_acquire_rerun(shared, call, history) {
                    return Err(call.in_doubt(why, min_attempt_time(call)));
                }
                why
            }
        };
        history.exclude.push(endpoint);
        if !call.has_time_for(min_attempt_time(call)) {
            break;
        }
        shared.metrics.record_retry("stream");
        emit!(shared, info, RequestRetried; "request" => &*call.head.id, "why" => why,
            "sent" => history.sent, "ms" => millis(call.arrived_at.elapsed()));
    }
    match error_response {
        Some(response) => Ok(StreamOutcome::Answer(response)),
        None => Err(unsent_refusal(
            call,
            history,
            "no attempt gave an answer in time",
        )),
    }
}

/// Returns whether to try another endpoint after one has not run the request, for the reason `why`.
fn may_send_again(shared: &Shared, call: &Call, history: &AttemptHistory, why: &str) -> bool {
    let is_cut_off = why == CUT_OFF;
    let may_repeat = || history.sent == 0 || try_acquire_retry(shared, call);
    !is_cut_off && history.sent < MAX_SENDS && may_repeat()
}

/// Returns the refusal of a request after its last attempt, which has not run it, for the reason `why`.
fn unsent_refusal(call: &Call, history: &AttemptHistory, why: &str) -> RefusalResponse {
    if history.possible_runs > 0 {
        return call.in_doubt(why, min_attempt_time(call));
    }
    call.not_run(why, min_attempt_time(call))
        .with_retry_after(BUSY_RETRY_AFTER)
}

/// Returns whether to skip a granted endpoint because it may not go on with the stream, or because it
/// is draining, gone or paused. This instance may know that before the placer does.
fn skip_unfit(shared: &Shared, call: &Call, history: &AttemptHistory, placed: &Placement) -> bool {
    if !history.fits(shared, call, &placed.endpoint) {
        placed.grant.set_outcome(RequestOutcome::NotSent);
        return true;
    }
    let Some(reason) = shared.block_reason(&placed.endpoint, placed.started_ms) else {
        return false;
    };
    placed.grant.set_outcome(RequestOutcome::NotSent);
    match (reason, &placed.zone) {
        (BlockReason::Draining, _) => {
            if let Some(endpoint) = shared.directory.borrow().get(&placed.endpoint) {
                report_draining_to_holder(shared, endpoint);
            }
        }
        (BlockReason::Gone, Some(zone)) => report_gone_to_holder(shared, zone, &placed.endpoint),
        _ => {}
    }
    true
}

/// Returns the age of the endpoint's registry entry in milliseconds, for a log line.
fn registry_entry_age(shared: &Shared, placed: &Placement) -> Option<u64> {
    let directory = shared.directory.borrow();
    directory.age(Shared::now(), &placed.endpoint).map(millis)
}

/// `Retry-After` of a request that no endpoint ran.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Returns whether a request that may have run is sent again; if so, takes a retry from the
/// service's budget. For a request that certainly did not run, [`try_acquire_retry`] is enough.
pub(crate) fn try_acquire_rerun(shared: &Shared, call: &Call, history: &AttemptHistory) -> bool {
    call.route.may_rerun()
        && history.possible_runs < call.route.max_attempts
        && call.has_time_for(min_attempt_time(call))
        && try_acquire_retry(shared, call)
}

/// Returns the placement request of a call whose caller has been waiting for an event since
/// `since`.
pub(crate) fn placement_request(call: &Call, since: Instant) -> EndpointRequest {
    EndpointRequest {
        service: call.service.clone(),
        account: call.requester.account().map(|a| a.name.clone()),
        model: call
            .head
            .model
            .clone()
            .unwrap_or_else(|| unreachable!("requests to model engines name a model")),
        tokens: call.head.tokens,
        priority: call.priority,
        goal: since + call.route.latency_goal,
        deadline: call.deadline.min(since + call.route.event_timeout()),
    }
}

/// Returns the refusal of a request that got no endpoint.
fn placement_refusal(
    shared: &Shared,
    call: &Call,
    history: &AttemptHistory,
    not_placed: PlacementFailure,
) -> RefusalResponse {
    let why = match not_placed.reason {
        RefuseReason::NoEndpoint => "no endpoint of the service takes work",
        RefuseReason::Deadline => "the adapter can't be there in time",
        RefuseReason::Limited => "the endpoints' request limits leave no room",
        RefuseReason::Overloaded => "the requests before it take all endpoints for too long",
    };
    let mut detail = not_placed.last_zone.as_ref().map_or_else(
        || why.to_owned(),
        |(zone, waiting)| format!("{why}; zone {zone} was asked, where {waiting} wait"),
    );
    if not_placed.reason == RefuseReason::Limited {
        shared.metrics.record_permit_denied("stream");
        detail.push_str(&shared.describe_limits(&call.service));
        let (zone, waiting) = not_placed.last_zone.unzip();
        emit!(shared, info, PermitDenied; "request" => &*call.head.id,
            "held_zone" => zone.as_deref(), "source" => "holder", "waiting" => waiting,
            "after_ms" => millis(not_placed.retry_after));
    }
    if history.possible_runs > 0 {
        return RefusalResponse::in_doubt(Reason::EndpointFailed, &detail);
    }
    let reason = match not_placed.reason {
        RefuseReason::Deadline => Reason::Deadline,
        RefuseReason::NoEndpoint | RefuseReason::Limited | RefuseReason::Overloaded => {
            Reason::NoEndpoint
        }
    };
    RefusalResponse::not_run(reason, &detail).with_retry_after(not_placed.retry_after)
}

/// Returns the refusal of a request that is in quarantine; `may_have_run` is whether an endpoint may have
/// run it before.
pub(crate) fn quarantine_refusal(
    shared: &Shared,
    call: &Call,
    may_have_run: bool,
    quarantine: &Quarantine,
) -> RefusalResponse {
    shared.metrics.record_quarantined();
    let detail = format!(
        "the endpoints {} crashed on requests with {}",
        quarantine.crashed.join(", "),
        suspect_list(&quarantine.suspects)
    );
    if may_have_run {
        return call.in_doubt(&detail, MIN_ATTEMPT_TIME);
    }
    let remaining = quarantine.until.saturating_duration_since(Shared::now());
    RefusalResponse::not_run(Reason::Quarantined, &detail).with_retry_after(remaining)
}

/// Sends the request to an endpoint once and logs a failure.
async fn attempt(
    shared: &Rc<Shared>,
    call: &Call,
    placed: Placement,
    history: &mut AttemptHistory,
    resume_after: Option<&str>,
) -> Outcome {
    let start = Instant::now();
    let endpoint = placed.endpoint.clone();
    let result = exchange(shared, call, placed, history, resume_after).await;
    if let Outcome::NotRun(why) | Outcome::InDoubt(why) = &result {
        let in_doubt = matches!(result, Outcome::InDoubt(_));
        call.log_failed_attempt(shared, &endpoint, why, in_doubt, start);
    }
    result
}

/// Sends the request to an endpoint and waits for its first event or another final answer.
async fn exchange(
    shared: &Rc<Shared>,
    call: &Call,
    placed: Placement,
    history: &mut AttemptHistory,
    resume_after: Option<&str>,
) -> Outcome {
    let set_failed = |placed: &Placement| placed.grant.set_outcome(RequestOutcome::Failed);
    let deadline = attempt_deadline(shared, call, &placed.endpoint, history);
    let mut pooled = match connect(shared, &placed, deadline).await {
        Ok(pooled) => pooled,
        Err(why) => return Outcome::NotRun(why),
    };
    let incarnation = match check_before_send(shared, call, &placed, history) {
        Ok(incarnation) => incarnation,
        Err(outcome) => {
            placed.grant.set_outcome(RequestOutcome::NotSent);
            return *outcome;
        }
    };
    let software = shared.software_of(&placed.endpoint);
    // `deadline` covers the first event only; closing the connection cancels an abandoned attempt.
    let request = request_to_endpoint(call, &placed.endpoint, resume_after, call.deadline);
    record_first_send(shared, call, history.sent);
    shared.record_limited_send(&incarnation, "stream");
    let sent_at = Instant::now();
    let stall_at = sent_at + STALL_TIMEOUT_BASE + STALL_TIMEOUT_PER_TOKEN * call.head.tokens.prompt;
    let send = report_if_stalled(shared, &placed, stall_at, pooled.connection.send(request));
    let answer = match timeout_at(deadline, send).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(CallError::NotSent(_))) => return Outcome::NotRun("the connection had ended"),
        Ok(Err(error)) => {
            call.log_unusable_answer(shared, &placed.endpoint, &error);
            (history.sent, history.possible_runs) = (history.sent + 1, history.possible_runs + 1);
            set_failed(&placed);
            reach::on_break(shared, &placed.endpoint, pooled.reused);
            crash_watch::on_break(shared, call, &incarnation, sent_at, false);
            return Outcome::InDoubt("the connection broke");
        }
        Err(_) => {
            (history.sent, history.possible_runs) = (history.sent + 1, history.possible_runs + 1);
            set_failed(&placed);
            return Outcome::InDoubt("no answer in time");
        }
    };
    history.sent += 1;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let head = decode_response_head(status, &headers);
    if let Some(mismatch) = find_mismatch(call, &head, status, pooled.reused) {
        history.possible_runs += 1;
        set_failed(&placed);
        return Outcome::InDoubt(mismatch);
    }
    reach::on_answer(shared, &placed.endpoint, pooled.reused);
    handle_answer_head(shared, &incarnation, &head, sent_at.into_std());
    let mut body = answer.into_body();
    if head.not_run || !status.is_success() {
        return read_final_answer(
            shared,
            call,
            placed,
            pooled,
            body,
            (status, &headers, &head),
            history,
        )
        .await;
    }
    history.possible_runs += 1;
    let frame = report_if_stalled(shared, &placed, stall_at, body.frame());
    let first = match timeout_at(deadline, frame).await {
        Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        // An answer without a length also ends like this where its endpoint has crashed.
        Ok(None) => {
            set_failed(&placed);
            crash_watch::on_break(shared, call, &incarnation, sent_at, false);
            return Outcome::InDoubt("the stream ended without an event");
        }
        Ok(Some(Err(error))) => {
            call.log_unusable_answer(shared, &placed.endpoint, &error);
            set_failed(&placed);
            crash_watch::on_break(shared, call, &incarnation, sent_at, false);
            return Outcome::InDoubt("the stream broke off before its first event");
        }
        Err(_) => {
            set_failed(&placed);
            return Outcome::InDoubt("no event in time");
        }
    };
    Outcome::Streaming(Box::new(OpenStream {
        placed,
        pooled,
        head,
        status,
        headers,
        first,
        body,
        incarnation,
        software,
        sent_at,
    }))
}

/// Returns a connection to the granted endpoint, or why there is none.
async fn connect(
    shared: &Rc<Shared>,
    placed: &Placement,
    deadline: Instant,
) -> Result<PooledConnection, &'static str> {
    let connect = reach::connect(shared, &placed.endpoint, placed.addr);
    let failure = match timeout_at(deadline, connect).await {
        Ok(Ok(pooled)) => return Ok(pooled),
        Ok(Err(failure)) => failure,
        Err(_) => ConnectFailure::Unreachable,
    };
    // The placer pauses endpoints that can't be reached, for all instances.
    let is_own = failure == ConnectFailure::CutOff || shared.reach.is_suspect();
    placed.grant.set_outcome(if is_own {
        RequestOutcome::NotSent
    } else {
        RequestOutcome::Unreachable
    });
    Err(match failure {
        ConnectFailure::CutOff => CUT_OFF,
        ConnectFailure::Unreachable => "can't connect",
    })
}

/// Returns the incarnation that a request goes to, or the outcome of a request that must not be sent:
/// things may have changed while its connection was made.
fn check_before_send(
    shared: &Shared,
    call: &Call,
    placed: &Placement,
    history: &AttemptHistory,
) -> Result<EndpointIncarnation, Box<Outcome>> {
    if let Some(reason) = shared.block_reason(&placed.endpoint, placed.started_ms) {
        return Err(Outcome::NotRun(reason.as_str()).into());
    }
    if !history.fits(shared, call, &placed.endpoint) {
        return Err(Outcome::NotRun(OTHER_SOFTWARE).into());
    }
    if let Some(quarantine) = shared.crash_watch.quarantine(call) {
        return Err(Outcome::Quarantined(quarantine).into());
    }
    let incarnation = EndpointIncarnation::registered(shared, &placed.endpoint);
    if shared.is_permit_expired(&incarnation, placed.given_at.into_std()) {
        return Err(Outcome::NotRun(PERMIT_EXPIRED).into());
    }
    Ok(incarnation)
}

/// Waits for a response; reports the endpoint to its placer as stalled when there is none by
/// `stall_at`, and goes on waiting.
async fn report_if_stalled<T>(
    shared: &Rc<Shared>,
    placed: &Placement,
    stall_at: Instant,
    response: impl Future<Output = T>,
) -> T {
    let mut response = std::pin::pin!(response);
    if let Ok(response) = timeout_at(stall_at, response.as_mut()).await {
        return response;
    }
    reach::on_trouble(shared, &placed.endpoint, Trouble::Answer);
    if !shared.reach.is_suspect() {
        placed.grant.report_stall();
    }
    response.await
}

/// Returns the time at which an attempt is given up. It comes before the request's deadline when
/// the request may run again and the service has another ready endpoint.
fn attempt_deadline(
    shared: &Shared,
    call: &Call,
    endpoint: &EndpointId,
    history: &AttemptHistory,
) -> Instant {
    let attempts = history.possible_runs + 1;
    let is_other = |id: &EndpointId| id != endpoint && !history.exclude.contains(id);
    let can_rerun = call.route.may_rerun() && attempts < call.route.max_attempts;
    if can_rerun && shared.has_ready_endpoint(&call.service, is_other) {
        let wait = call.route.latency_goal + STALL_TIMEOUT_PER_TOKEN * call.head.tokens.prompt;
        call.deadline
            .min(Instant::now() + wait.max(STALL_TIMEOUT_BASE))
    } else {
        call.deadline
    }
}

/// Reads an answer that is not an event stream.
async fn read_final_answer(
    shared: &Rc<Shared>,
    call: &Call,
    placed: Placement,
    pooled: PooledConnection,
    body: ResponseBody,
    (status, headers, head): (StatusCode, &HeaderMap, &ResponseHead),
    history: &mut AttemptHistory,
) -> Outcome {
    let body = read_body_within(body, MAX_ERROR_BYTES, &shared.body_budget);
    let body = timeout_at(call.deadline, body).await;
    if let Ok(Ok(_)) = &body {
        return_connection(shared, &placed.endpoint, pooled, head);
    }
    if head.not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            placed.grant.set_outcome(RequestOutcome::NotHeld);
            return Outcome::NotRun("the endpoint does not hold the adapter");
        }
        placed.grant.set_outcome(RequestOutcome::Refused);
        return Outcome::NotRun("the endpoint did not run it");
    }
    history.possible_runs += 1;
    if status.is_server_error() {
        placed.grant.set_outcome(RequestOutcome::Failed);
    }
    match body {
        Ok(Ok(body)) => {
            crash_watch::on_end(shared, call);
            Outcome::Answer(client_response(status, headers, body))
        }
        _ => Outcome::InDoubt("the answer broke off"),
    }
}
