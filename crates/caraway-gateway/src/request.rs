//! A caller's request: its head is checked, its route found, its body read, its end logged.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use caraway_http::{BodyError, Payload, read_body_within};
use caraway_platform::{call_head, refusal};
use caraway_routes::{Limits, RequestHead, Route, RoutingConfig};
use caraway_types::{EndpointId, Findings, Reason, Refusal};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{event::emit, executor::millis, generate, plain, shared::Shared};

/// How long a caller waits that names no deadline; the longest of the deployments' routes.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(12);
/// When a caller may come back to an instance that has no configuration yet.
const NO_CONFIG_RETURN: Duration = Duration::from_millis(500);

/// When a caller may come back whose body found no room: long ones take some 100 ms.
const NO_ROOM_RETURN: Duration = Duration::from_millis(200);

/// A request that is ready to go on.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// Whether the service's endpoints are model engines.
    pub(crate) on_engine: bool,
    /// Version of the configuration that it is handled by.
    pub(crate) version: u64,
    pub(crate) arrived: Instant,
    /// When the caller gets its final answer at the latest.
    pub(crate) last: Instant,
    /// When the caller stops waiting.
    pub(crate) leaves: Instant,
}

impl Call {
    /// Tells whether a try that takes `shortest` still makes sense.
    pub(crate) fn has_time(&self, shortest: Duration) -> bool {
        Instant::now() + shortest <= self.last
    }

    /// Makes the end of this request where it may have run; `shortest` is the time that another
    /// try would have needed.
    pub(crate) fn in_doubt(&self, why: &str, shortest: Duration) -> Refused {
        let reason = if self.has_time(shortest) {
            Reason::EndpointFailed
        } else {
            Reason::Deadline
        };
        Refused::in_doubt(reason, why)
    }

    /// Logs and counts an attempt that gave no answer.
    pub(crate) fn log_failed(
        &self,
        shared: &Shared,
        endpoint: &EndpointId,
        why: &'static str,
        in_doubt: bool,
        start: Instant,
    ) {
        shared.metrics.attempt_failed(why);
        emit!(shared, info, AttemptFailed; "request" => &*self.head.id,
            "endpoint" => &**endpoint, "why" => why, "in_doubt" => in_doubt,
            "ms" => millis(start.elapsed()));
    }
}

/// The end of a request that no endpoint answers.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    pub(crate) refusal: Refusal,
}

impl Refused {
    /// Makes the end of a request that did not run.
    pub(crate) fn not_run(reason: Reason, detail: &str) -> Self {
        let status = match reason {
            Reason::BadRequest => StatusCode::BAD_REQUEST,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::UnknownService => StatusCode::NOT_FOUND,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            refusal: Refusal::not_run(reason, detail),
        }
    }

    /// Makes the end of a request that may have run.
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

    /// Adds when the caller may come back.
    pub(crate) fn after(mut self, wait: Duration) -> Self {
        if !wait.is_zero() {
            self.refusal = self.refusal.with_retry_after(wait);
        }
        self
    }
}

/// Counts a request for as long as it is served.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Shared>);

impl InFlight {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Logs that the caller left, where a request is dropped before it has an answer.
#[derive(Debug)]
struct LeftGuard {
    shared: Rc<Shared>,
    id: Arc<str>,
    arrived: Instant,
    answered: bool,
}

impl Drop for LeftGuard {
    fn drop(&mut self) {
        if !self.answered {
            emit!(self.shared, info, CallerLeft; "request" => &*self.id, "events" => 0,
                "ms" => millis(self.arrived.elapsed()));
        }
    }
}

/// Serves a request.
pub(crate) async fn handle(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Payload> {
    let in_flight = InFlight::new(&shared);
    let arrived = Instant::now();
    let head = call_head(request.headers());
    let id = head.as_ref().map_or_else(|_| "".into(), |h| h.id.clone());
    let mut guard = LeftGuard {
        shared: shared.clone(),
        id: id.clone(),
        arrived,
        answered: false,
    };
    let response = answer(&shared, request, head, arrived, &id, in_flight).await;
    guard.answered = true;
    response
}

async fn answer(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    head: Result<RequestHead, Findings>,
    arrived: Instant,
    id: &str,
    in_flight: InFlight,
) -> Response<Payload> {
    let call = match prepare(shared, request, head, arrived).await {
        Ok(call) => call,
        Err(refused) => return finish_refused(shared, "unrouted", id, arrived, &refused),
    };
    let kind = if call.route.streaming {
        "stream"
    } else {
        "plain"
    };
    let result = if call.on_engine && call.head.model.is_some() {
        generate::serve(shared, Rc::new(call), in_flight).await
    } else {
        plain::serve(shared, &call).await
    };
    match result {
        Ok(response) => {
            shared.metrics.request(kind, "answered");
            shared.metrics.answer(kind, arrived.elapsed());
            emit!(shared, info, Answered; "request" => id, "kind" => kind,
                "status" => response.status().as_u16(), "ms" => millis(arrived.elapsed()));
            response
        }
        Err(refused) => finish_refused(shared, kind, id, arrived, &refused),
    }
}

async fn prepare(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    head: Result<RequestHead, Findings>,
    arrived: Instant,
) -> Result<Call, Refused> {
    let (parts, body) = request.into_parts();
    let head = head.map_err(|f| Refused::not_run(Reason::BadRequest, &f.to_string()))?;
    let routing = shared.routing().ok_or_else(|| {
        Refused::not_run(Reason::NoEndpoint, "no configuration is known yet")
            .after(NO_CONFIG_RETURN)
    })?;
    let route = find_route(&routing, &parts.headers, &parts.uri)?;
    let service = route
        .choose_service(Shared::random_fraction())
        .ok_or_else(|| Refused::not_run(Reason::NoEndpoint, "the route has no service"))?
        .clone();
    let patience = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let leaves = arrived + patience;
    let last = arrived + patience.min(route.timeout);
    check_head(&parts.headers, &parts.uri, &routing.limits)?;
    let body = read_body_within(body, routing.limits.body_bytes, &shared.body_budget);
    let body = timeout_at(last, body)
        .await
        .map_err(|_| Refused {
            status: StatusCode::REQUEST_TIMEOUT,
            refusal: Refusal::not_run(Reason::Deadline, "the body did not arrive in time"),
        })?
        .map_err(|e| match e {
            BodyError::BudgetExceeded => {
                let why = "too many long bodies are read at once";
                Refused::not_run(Reason::NoEndpoint, why).after(NO_ROOM_RETURN)
            }
            BodyError::TooLarge => Refused::not_run(Reason::TooLarge, "the body is too large"),
            BodyError::Incomplete(why) => Refused::not_run(Reason::BadRequest, &why),
        })?;
    Ok(Call {
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        route,
        on_engine: routing
            .service(&service)
            .is_some_and(|s| s.engine.is_some()),
        service,
        version: routing.version,
        arrived,
        last,
        leaves,
    })
}

fn find_route(
    routing: &RoutingConfig,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Arc<Route>, Refused> {
    let host = headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    // A port in the header does not belong to the route's host.
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    routing.route(host, uri.path()).cloned().ok_or_else(|| {
        let detail = format!("no route for {host}{}", uri.path());
        Refused::not_run(Reason::UnknownService, &detail)
    })
}

fn check_head(headers: &HeaderMap, uri: &Uri, limits: &Limits) -> Result<(), Refused> {
    let fields = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4);
    let size = fields.sum::<usize>() + uri.path().len();
    if size > limits.head_bytes {
        return Err(Refused {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            refusal: Refusal::not_run(Reason::TooLarge, "the head is too large"),
        });
    }
    Ok(())
}

fn finish_refused(
    shared: &Shared,
    kind: &'static str,
    id: &str,
    arrived: Instant,
    refused: &Refused,
) -> Response<Payload> {
    let Refused {
        status,
        refusal: why,
    } = refused;
    shared.metrics.request(kind, "refused");
    let version = shared.routing().map_or(0, |r| r.version);
    emit!(shared, warn, Failed; "request" => id, "kind" => kind, "status" => status.as_u16(),
        "reason" => format!("{:?}", why.reason), "certainty" => format!("{:?}", why.certainty),
        "detail" => &*why.detail, "version" => version,
        "retry_after_ms" => why.retry_after.map_or(0, |r| millis(r.get())),
        "ms" => millis(arrived.elapsed()));
    refusal(*status, id, why)
}
