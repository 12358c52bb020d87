//! Hands callers' requests over to instances that reach endpoints, while this one reaches none, and
//! serves requests that others hand over.
//!
//! A request is handed over once at most: the instance that serves it for another refuses it if it
//! reaches no endpoint either.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use caraway_http::{IncomingResponse, Payload, PooledConnection, StreamBuffer};
use caraway_platform::{copy_handed_headers, copy_response_headers, refusal_response};
use caraway_reach::Reach;
use caraway_types::{Reason, Refusal};
use caraway_wire::CallError;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    event::emit,
    executor::millis,
    generate::MIN_ATTEMPT_TIME,
    plain::try_acquire_retry,
    reach::CUT_OFF,
    request::{self, Call, InFlightGuard, RefusalResponse, SHORT_OF_TIME},
    session_server::incarnation_of,
    shared::Shared,
};

/// Header of a request that an instance hands over; its value names the instance.
const HANDED_BY_HEADER: HeaderName = HeaderName::from_static("caraway-handed-by");
/// Header of the answer of an instance that does not take a request over.
const DECLINED_HEADER: HeaderName = HeaderName::from_static("caraway-declined");
/// Header of the answer of an instance that has taken a request over which certainly did not run.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("caraway-not-run");
/// Number of instances to which a request is offered.
const MAX_HELPERS_TRIED: usize = 3;
/// Longest wait for the first list of instances that help: several round trips between zones.
const HELPERS_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of requests that an instance serves for others at a time.
const MAX_TAKEN: usize = 512;
/// `Retry-After` of a request that no instance takes over; cuts last for seconds.
const CUT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after the caller's deadline in which an answer may still end.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Returns whether a request comes from an instance that hands it over.
pub(crate) fn is_handed<T>(request: &Request<T>) -> bool {
    request.headers().contains_key(HANDED_BY_HEADER)
}

/// Serves a request that another instance hands over, unless this one can't help.
pub(crate) async fn take(shared: Rc<Shared>, mut request: Request<Incoming>) -> Response<Payload> {
    request.headers_mut().remove(HANDED_BY_HEADER);
    let why = if shared.reach.reach() != Reach::Open {
        CUT_OFF
    } else if shared.is_draining() {
        "this instance stops"
    } else if shared.must_shed() {
        SHORT_OF_TIME
    } else if shared.taken.get() >= MAX_TAKEN {
        "this instance serves too many requests for others"
    } else {
        let _taken = TakenGuard::new(&shared);
        return request::handle_taken(shared.clone(), request).await;
    };
    let refusal = Refusal::not_run(Reason::NoEndpoint, why);
    let mut response = refusal_response(StatusCode::SERVICE_UNAVAILABLE, "", &refusal);
    let declined = HeaderValue::from_static("1");
    response.headers_mut().insert(DECLINED_HEADER, declined);
    response
}

/// States in the answer to a request that was taken over that it certainly did not run.
pub(crate) fn set_not_run(response: &mut Response<Payload>) {
    let headers = response.headers_mut();
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
}

/// Counts a request that is served for another instance until its answer begins.
struct TakenGuard(Rc<Shared>);

impl TakenGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.taken.set(shared.taken.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for TakenGuard {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}

/// A request that a helper was chosen for.
struct HelperGuard {
    shared: Rc<Shared>,
    addr: SocketAddr,
}

impl Drop for HelperGuard {
    fn drop(&mut self) {
        self.shared.reach.helpers.borrow_mut().on_end(self.addr);
    }
}

/// How an offer to a helper ended.
enum Offer {
    /// It answers.
    Answered(Box<HandedAnswer>),
    /// It did not take the request over, for this reason.
    NotTaken(&'static str),
    /// It may have run the request; this is what failed.
    InDoubt(&'static str),
}

/// An answer that a helper has begun.
struct HandedAnswer {
    response: IncomingResponse,
    pooled: PooledConnection,
    helper: HelperGuard,
}

/// Hands a request over to an instance that reaches endpoints.
///
/// # Errors
///
/// Returns the refusal of a request that no instance takes over, or whose helper gave no answer.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    call: &Call,
    in_flight: InFlightGuard,
) -> Result<Response<Payload>, RefusalResponse> {
    wait_for_helpers(shared, call).await;
    let mut tried: Vec<SocketAddr> = Vec::new();
    let mut may_have_run = false;
    let mut why = CUT_OFF;
    while tried.len() < MAX_HELPERS_TRIED && call.has_time_for(MIN_ATTEMPT_TIME) {
        let Some(addr) = shared.reach.helpers.borrow_mut().choose(&tried) else {
            break;
        };
        tried.push(addr);
        let helper = HelperGuard {
            shared: shared.clone(),
            addr,
        };
        match offer(shared, call, helper).await {
            Offer::Answered(answer) => return Ok(relay(call, *answer, in_flight)),
            Offer::NotTaken(reason) => why = reason,
            Offer::InDoubt(reason) => {
                why = reason;
                may_have_run = true;
                if !call.route.may_rerun() || !try_acquire_retry(shared, call) {
                    break;
                }
            }
        }
    }
    if may_have_run {
        return Err(call.in_doubt(why, MIN_ATTEMPT_TIME));
    }
    Err(RefusalResponse::not_run(Reason::NoEndpoint, why).with_retry_after(CUT_RETRY_AFTER))
}

/// Waits a short time until helpers are known.
async fn wait_for_helpers(shared: &Shared, call: &Call) {
    let mut known = std::pin::pin!(shared.reach.helpers_known.notified());
    known.as_mut().enable();
    if shared.reach.helpers.borrow().is_empty() {
        let until = call.deadline.min(Instant::now() + HELPERS_TIMEOUT);
        // Without a helper by then, the request is refused.
        timeout_at(until, known).await.ok();
    }
}

/// Sends a request to a helper and waits for the head of its answer.
async fn offer(shared: &Rc<Shared>, call: &Call, helper: HelperGuard) -> Offer {
    let start = Instant::now();
    let key = helper.addr.to_string().into();
    let Ok(mut pooled) = shared.helper_pool.take(&key, helper.addr).await else {
        return Offer::NotTaken("the instance that helps can't be reached");
    };
    let end = call.caller_deadline + DEADLINE_GRACE;
    let request = handed_request(shared, call);
    call.on_sent();
    emit!(shared, info, RequestHandedOver; "request" => &*call.head.id, "to" => %helper.addr,
        "ms" => millis(call.arrived_at.elapsed()));
    let offer = match timeout_at(end, pooled.connection.send(request)).await {
        Ok(Ok(response)) if response.headers().contains_key(DECLINED_HEADER) => {
            Offer::NotTaken("the instance that was to help can't take the request over")
        }
        // A build that takes no requests over answers as to a session that it does not accept.
        Ok(Ok(response)) if incarnation_of(response.headers()).is_some() => {
            Offer::NotTaken("the instance that was to help takes no requests over")
        }
        Ok(Ok(response)) => {
            return Offer::Answered(Box::new(HandedAnswer {
                response,
                pooled,
                helper,
            }));
        }
        Ok(Err(CallError::NotSent(_))) => Offer::NotTaken("the connection had ended"),
        Ok(Err(_)) => Offer::InDoubt("the instance that helps broke off"),
        Err(_) => Offer::InDoubt("the instance that helps gave no answer in time"),
    };
    if let Offer::NotTaken(why) | Offer::InDoubt(why) = &offer {
        let in_doubt = matches!(offer, Offer::InDoubt(_));
        let helper = helper.addr.to_string().into();
        call.log_failed_attempt(shared, &helper, why, in_doubt, start);
    }
    offer
}

fn handed_request(shared: &Shared, call: &Call) -> Request<Payload> {
    let mut request = Request::new(Payload::whole(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let remaining = call
        .caller_deadline
        .saturating_duration_since(Instant::now());
    let headers = request.headers_mut();
    *headers = copy_handed_headers(&call.headers, remaining, call.requester.name());
    call.requester.set_handed_account(headers);
    let name = HeaderValue::from_str(&shared.site.instance);
    let name = name.unwrap_or(HeaderValue::from_static("instance"));
    request.headers_mut().insert(HANDED_BY_HEADER, name);
    request
}

/// Returns the answer to the caller, whose body follows the helper's.
fn relay(call: &Call, answer: HandedAnswer, in_flight: InFlightGuard) -> Response<Payload> {
    let (out, body) = StreamBuffer::new(&answer.helper.shared.stream_budget);
    let mut response = Response::new(body);
    *response.status_mut() = answer.response.status();
    *response.headers_mut() = copy_response_headers(answer.response.headers());
    if response.headers_mut().remove(NOT_RUN_HEADER).is_some() {
        call.set_may_have_run(false);
    }
    let end = call.caller_deadline + DEADLINE_GRACE;
    tokio::task::spawn_local(async move {
        forward(answer, &out, end).await;
        drop(in_flight);
    });
    response
}

async fn forward(answer: HandedAnswer, out: &StreamBuffer, end: Instant) {
    let HandedAnswer {
        response,
        pooled,
        helper,
    } = answer;
    let mut body = response.into_body();
    loop {
        let frame = tokio::select! {
            frame = timeout_at(end, body.frame()) => frame,
            // Dropping the connection tells the helper that the caller has left.
            () = out.closed() => return,
        };
        let sent = match frame {
            Ok(Some(Ok(frame))) => out.send(frame.into_data().unwrap_or_default()).await,
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => {
                out.abort().await;
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
    let key = helper.addr.to_string().into();
    helper.shared.helper_pool.put(&key, pooled, None);
}
