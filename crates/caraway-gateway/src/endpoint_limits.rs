//! Request limits of endpoints: what answers and other instances state, and permits for requests.
//!
//! A limit holds for the requests of all instances together, so the holder of an endpoint's zone
//! gives the permits. An instance that reaches no holder takes a small share by itself.

use std::{
    cell::RefCell,
    collections::HashMap,
    fmt::Write,
    rc::Rc,
    time::{Duration, Instant},
};

use caraway_platform::ResponseHead;
use caraway_routes::{
    Endpoint, EndpointLimits, KnownLimit, LimitChange, LimitStatement, RequestRate, SoloLimiter,
};
use caraway_types::EndpointId;
use tokio::time::{sleep, timeout};

use crate::{
    endpoint_signals::EndpointIncarnation,
    event::emit,
    executor::millis,
    frame::{LimitFrame, ToHolder},
    held_zone::HeldZone,
    shared::Shared,
};

/// Timeout for a holder's reply to a request for a permit, several round trips between zones.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after a permit or grant was given within which its request must be sent; later, the permits
/// of others may be in use as well.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Why a request was not sent whose permit had expired, for log lines and metric labels.
pub(crate) const PERMIT_EXPIRED: &str = "the permit expired before the request was sent";
/// Number of endpoints whose limits are named in a refusal.
const MAX_DESCRIBED: usize = 3;

/// What this instance knows of the endpoints' request limits, and what it may send by itself.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    known: RefCell<EndpointLimits>,
    /// Endpoints for which a permit was denied.
    denials: RefCell<HashMap<EndpointId, Denial>>,
    /// This instance's own shares of limits, used while no holder is reachable.
    solo: RefCell<HashMap<EndpointId, SoloShare>>,
}

/// A permit that was denied.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// When to ask again.
    until: Instant,
    /// Longest wait for the permit that the request accepted.
    max_wait: Duration,
}

#[derive(Debug)]
struct SoloShare {
    limit: RequestRate,
    limiter: SoloLimiter,
}

/// Where the statement of a limit comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitSource<'a> {
    /// The answer to this request of the instance; empty if the answer has no request id.
    Answer(&'a str),
    /// The holder of the endpoint's zone.
    Holder,
    /// Another instance, which reported it to this one as the holder.
    Instance,
}

impl LimitState {
    /// Returns the limit of the registered incarnation of an endpoint.
    pub(crate) fn rate(&self, endpoint: &Endpoint) -> Option<RequestRate> {
        self.get(endpoint).map(|l| l.rate)
    }

    fn get(&self, endpoint: &Endpoint) -> Option<KnownLimit> {
        let known = self.known.borrow();
        known.get(&endpoint.id, endpoint.started_ms)
    }

    /// Returns whether an incarnation of an endpoint has a limit.
    pub(crate) fn is_limited(&self, incarnation: &EndpointIncarnation) -> bool {
        let known = self.known.borrow();
        let limit = known.get(&incarnation.endpoint, incarnation.started_ms);
        limit.is_some()
    }

    /// Returns the number of limits in force.
    pub(crate) fn count(&self) -> usize {
        self.known.borrow().count()
    }

    /// Returns until when requests that can wait for `max_wait` get no permit for an endpoint;
    /// `None` if they may ask for one.
    pub(crate) fn denied_until(&self, endpoint: &Endpoint, max_wait: Duration) -> Option<Instant> {
        self.rate(endpoint)?;
        let denials = self.denials.borrow();
        let denial = denials.get(&endpoint.id)?;
        let applies = denial.until > Shared::now() && max_wait <= denial.max_wait;
        applies.then_some(denial.until)
    }

    fn deny(&self, endpoint: &EndpointId, after: Duration, max_wait: Duration) {
        let now = Shared::now();
        let mut denials = self.denials.borrow_mut();
        denials.retain(|_, d| d.until > now);
        let until = now + after;
        denials.insert(endpoint.clone(), Denial { until, max_wait });
    }

    /// Calls `with` on this instance's own share of an endpoint's limit.
    fn with_solo<T>(
        &self,
        shared: &Shared,
        endpoint: &EndpointId,
        limit: RequestRate,
        with: impl FnOnce(&mut SoloLimiter, Instant) -> T,
    ) -> T {
        let now = Shared::now();
        let mut solo = self.solo.borrow_mut();
        solo.retain(|id, _| self.is_current(shared, id));
        if solo.get(endpoint).is_none_or(|s| s.limit != limit) {
            let instances = shared.estimated_instances();
            let limiter = SoloLimiter::new(now, limit, instances, Shared::random_fraction());
            solo.insert(endpoint.clone(), SoloShare { limit, limiter });
        }
        let share = solo.get_mut(endpoint).expect("it was inserted above");
        with(&mut share.limiter, now)
    }

    fn is_current(&self, shared: &Shared, endpoint: &EndpointId) -> bool {
        let directory = shared.directory.borrow();
        directory
            .get(endpoint)
            .is_some_and(|e| self.rate(e).is_some())
    }
}

/// Applies the request limit that an answer states; `sent_at` is when its request was sent. Only an
/// answer to a request that ran states that there is none: other answers, such as those to orders,
/// may leave the header out.
pub(crate) fn on_answer(
    shared: &Rc<Shared>,
    incarnation: &EndpointIncarnation,
    head: &ResponseHead,
    sent_at: Instant,
) {
    let limit = &head.request_limit;
    if let Some(text) = &limit.invalid {
        emit!(shared, warn, EndpointLimited; "endpoint" => &*incarnation.endpoint,
            "request" => head.id.as_deref(), "unreadable" => &**text);
    }
    if limit.rate.is_none() && (limit.invalid.is_some() || !head.signed) {
        return;
    }
    let statement = LimitStatement {
        rate: limit.rate,
        sent_at,
        received_at: Shared::now(),
    };
    let request = head.id.as_deref().unwrap_or_default();
    apply(shared, incarnation, statement, LimitSource::Answer(request));
}

/// Applies a limit that another instance states.
pub(crate) fn on_frame(shared: &Rc<Shared>, frame: &LimitFrame, source: LimitSource<'_>) {
    let now = Shared::now();
    let ago = |age: Duration| now.checked_sub(age).unwrap_or(now);
    let incarnation = EndpointIncarnation {
        endpoint: frame.endpoint.clone(),
        started_ms: frame.born,
    };
    let statement = LimitStatement {
        rate: frame.rate,
        sent_at: ago(frame.sent.get()),
        received_at: ago(frame.received.get()),
    };
    apply(shared, &incarnation, statement, source);
}

/// Returns the limits of the endpoints in a zone, and their ends, as they are sent to other
/// instances.
pub(crate) fn frames(shared: &Shared, zone: &str) -> Vec<LimitFrame> {
    let now = Shared::now();
    let known = shared.limits.known.borrow();
    let directory = shared.directory.borrow();
    let in_zone = known.statements(now).filter(|(id, started_ms, _)| {
        let endpoint = directory.get(id);
        endpoint.is_some_and(|e| *e.zone == *zone && e.started_ms == *started_ms)
    });
    in_zone
        .map(|(endpoint, born, statement)| to_frame(now, endpoint, born, statement))
        .collect()
}

fn to_frame(
    now: Instant,
    endpoint: &EndpointId,
    born: Option<u64>,
    statement: LimitStatement,
) -> LimitFrame {
    LimitFrame {
        endpoint: endpoint.clone(),
        born,
        rate: statement.rate,
        sent: now.saturating_duration_since(statement.sent_at).into(),
        received: now.saturating_duration_since(statement.received_at).into(),
    }
}

/// Passes the limit of an endpoint's registered incarnation to the placer of its zone, if this
/// instance holds it.
pub(crate) fn update_placer(shared: &Rc<Shared>, endpoint: &Endpoint) {
    if let Some(held) = shared.held_zone(&endpoint.zone) {
        let rate = shared.limits.rate(endpoint);
        held.with_placer(shared, |placer, now| {
            placer.set_limit(now, &endpoint.id, rate);
        });
    }
}

/// Passes the limits of all endpoints in a zone to its placer.
pub(crate) fn init_placer(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    let frames = frames(shared, &held.zone);
    held.with_placer(shared, |placer, now| {
        for frame in &frames {
            placer.set_limit(now, &frame.endpoint, frame.rate);
        }
    });
}

/// Applies a statement, and passes a change on to the holder of the endpoint's zone or, as the
/// holder, to the placer and to the other instances.
fn apply(
    shared: &Rc<Shared>,
    incarnation: &EndpointIncarnation,
    statement: LimitStatement,
    source: LimitSource<'_>,
) {
    let EndpointIncarnation {
        endpoint: id,
        started_ms,
    } = incarnation;
    let change = {
        let mut known = shared.limits.known.borrow_mut();
        known.on_statement(id, *started_ms, statement)
    };
    let Some(change) = change else {
        return;
    };
    log_change(shared, id, change, statement, source);
    let registered = shared.directory.borrow().get(id).cloned();
    let Some(endpoint) = registered.filter(|e| e.started_ms == *started_ms) else {
        return;
    };
    if let Some(held) = shared.held_zone(&endpoint.zone) {
        update_placer(shared, &endpoint);
        if change.is_urgent() {
            held.broadcast_pong(shared);
        }
    } else if let (LimitSource::Answer(_), Some(session)) = (source, shared.session(&endpoint.zone))
    {
        let limit = to_frame(Shared::now(), id, *started_ms, statement);
        session.send(&ToHolder::Limit(limit));
    }
}

fn log_change(
    shared: &Shared,
    endpoint: &EndpointId,
    change: LimitChange,
    statement: LimitStatement,
    source: LimitSource<'_>,
) {
    let (request, from) = match source {
        LimitSource::Answer(request) => (request, "answer"),
        LimitSource::Holder => ("", "holder"),
        LimitSource::Instance => ("", "instance"),
    };
    let age = Shared::now().saturating_duration_since(statement.sent_at);
    emit!(shared, info, EndpointLimited; "endpoint" => &**endpoint,
        "per_second" => change.rate.map(RequestRate::per_second),
        "former" => change.former.map(RequestRate::per_second),
        "from" => from, "request" => request, "sent_ms" => millis(age));
}

/// A permit was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitDenied;

/// Obtains a permit to send a request to an endpoint without an engine, and waits until it may be
/// used, for at most `max_wait`. An endpoint without a limit needs none.
///
/// # Errors
///
/// Returns an error if the next permit is due later, or the limit was lowered during the wait. No
/// request that can wait as long gets a permit until the time that [`LimitState::denied_until`]
/// returns.
pub(crate) async fn acquire_permit(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    request: &str,
    max_wait: Duration,
) -> Result<(), PermitDenied> {
    let Some(limit) = shared.limits.get(endpoint) else {
        return Ok(());
    };
    let rate = limit.rate;
    let from_holder = request_permit(shared, endpoint, limit, max_wait).await;
    let source = if from_holder.is_some() {
        "holder"
    } else {
        "own share"
    };
    let permit = from_holder.unwrap_or_else(|| {
        let limits = &shared.limits;
        let turn = limits.with_solo(shared, &endpoint.id, rate, SoloLimiter::acquire);
        turn.map(|()| Duration::ZERO)
    });
    match permit {
        Ok(wait) => {
            if !wait.is_zero() {
                sleep(wait).await;
            }
            // A permit that was given ahead does not hold for a limit that was lowered meanwhile.
            let is_lowered = shared.limits.rate(endpoint).is_some_and(|r| r < rate);
            if is_lowered {
                Err(PermitDenied)
            } else {
                Ok(())
            }
        }
        Err(after) => {
            shared.limits.deny(&endpoint.id, after, max_wait);
            shared.metrics.record_permit_denied("plain");
            emit!(shared, info, PermitDenied; "request" => request, "endpoint" => &*endpoint.id,
                "held_zone" => &*endpoint.zone, "source" => source,
                "per_second" => rate.per_second(), "max_wait_ms" => millis(max_wait),
                "after_ms" => millis(after));
            Err(PermitDenied)
        }
    }
}

/// Requests a permit from the holder of the endpoint's zone; `None` if it is not reachable.
async fn request_permit(
    shared: &Rc<Shared>,
    endpoint: &Endpoint,
    limit: KnownLimit,
    max_wait: Duration,
) -> Option<Result<Duration, Duration>> {
    if let Some(held) = shared.held_zone(&endpoint.zone) {
        return Some(held.acquire_permit(shared, &endpoint.id, max_wait));
    }
    let session = shared.session(&endpoint.zone)?;
    let statement = LimitStatement {
        rate: Some(limit.rate),
        sent_at: limit.sent_at,
        received_at: limit.received_at,
    };
    let limit = to_frame(Shared::now(), &endpoint.id, endpoint.started_ms, statement);
    let reply = session.request_permit(shared.next_ticket(), limit, max_wait);
    match timeout(PERMIT_TIMEOUT, reply).await {
        Ok(Ok(permit)) => Some(permit),
        Ok(Err(_)) | Err(_) => None,
    }
}

impl Shared {
    /// Returns whether a request may be sent to an endpoint that no holder granted: it has no
    /// limit, or this instance has a turn.
    pub(crate) fn has_solo_permit(&self, endpoint: &Endpoint) -> bool {
        let Some(rate) = self.limits.rate(endpoint) else {
            return true;
        };
        // A holder that is reachable gives all permits.
        !self.is_reachable(&endpoint.zone)
            && self
                .limits
                .with_solo(self, &endpoint.id, rate, SoloLimiter::delay)
                .is_zero()
    }

    /// Uses this instance's turn at an endpoint for which [`Self::has_solo_permit`] holds.
    pub(crate) fn use_solo_permit(&self, endpoint: &Endpoint) {
        if let Some(rate) = self.limits.rate(endpoint) {
            let used = self
                .limits
                .with_solo(self, &endpoint.id, rate, SoloLimiter::acquire);
            debug_assert!(used.is_ok(), "the turn was checked before");
        }
    }

    /// Returns whether a permit that was given at `given_at` is too old for sending its request.
    pub(crate) fn is_permit_expired(
        &self,
        incarnation: &EndpointIncarnation,
        given_at: Instant,
    ) -> bool {
        self.limits.is_limited(incarnation)
            && Self::now().saturating_duration_since(given_at) > PERMIT_LIFETIME
    }

    /// Returns the limits of a service's endpoints for the text of a refusal.
    pub(crate) fn describe_limits(&self, service: &str) -> String {
        let now = Self::now();
        let known = self.limits.known.borrow();
        let directory = self.directory.borrow();
        let limited = directory
            .of_service(service)
            .filter_map(|e| Some((e, known.get(&e.id, e.started_ms)?)));
        let mut text = String::new();
        for (endpoint, limit) in limited.take(MAX_DESCRIBED) {
            let age = millis(now.saturating_duration_since(limit.received_at));
            let rate = limit.rate.per_second();
            // Writing to a string does not fail.
            write!(
                text,
                "; {} takes {rate} requests per second, as stated {age} ms ago",
                endpoint.id
            )
            .ok();
        }
        text
    }
}
