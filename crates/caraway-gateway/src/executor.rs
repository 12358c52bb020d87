//! Carries out a placer's orders and fetches the reports that it requests.

use std::{rc::Rc, time::Duration};

use caraway_http::{Payload, read_body_within};
use caraway_placement::{Action, Order, OrderOutcome, Report};
use caraway_platform::{FencedOrder, decode_order_response, order_request, report_request};
use caraway_reach::Trouble;
use caraway_types::EndpointId;
use caraway_wire::CallError;
use http::{Request, StatusCode};
use tokio::time::{Instant, timeout};

use crate::{
    endpoint_signals::{BlockReason, EndpointIncarnation, handle_answer_head},
    event::emit,
    held_zone::HeldZone,
    plain, reach,
    shared::Shared,
};

/// Timeout of an order. Endpoints answer within a few milliseconds, and an instance that has used
/// up its CPU quota continues within 100 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a poll for the end of a load, which is repeated.
const POLL_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Sends an order and passes its outcome to the placer.
pub(crate) async fn send_order(shared: Rc<Shared>, desk: Rc<HeldZone>, order: Order) {
    let start = Instant::now();
    let endpoint = order.endpoint.clone();
    let addr = shared.directory.borrow().get(&endpoint).map(|e| e.addr);
    let outcome = match addr {
        None => OrderOutcome::WrongEndpoint,
        Some(addr) => {
            let command = FencedOrder {
                order: &order,
                holder: &shared.site.instance,
                token: desk.token(),
            };
            let request = order_request(addr, &command);
            let max_wait = if order.is_poll {
                POLL_TIMEOUT
            } else {
                ORDER_TIMEOUT
            };
            match send_request(&shared, &endpoint, request, max_wait).await {
                Ok((status, _)) => decode_order_response(status),
                Err(CallError::NotSent(_)) => OrderOutcome::NotSent,
                Err(_) => OrderOutcome::Unanswered,
            }
        }
    };
    let action = if order.is_poll {
        "poll"
    } else {
        action_label(order.action)
    };
    let label = outcome_label(outcome);
    shared.metrics.record_order(action, label);
    shared.metrics.record_order_time(start.elapsed());
    if order.is_poll && outcome == OrderOutcome::Accepted {
        desk.with_placer(&shared, |placer, now| {
            placer.on_order_outcome(now, &endpoint, order.number, outcome);
        });
        return;
    }
    emit!(shared, info, OrderEnded; "held_zone" => &*desk.zone, "token" => desk.token(),
        "endpoint" => &*endpoint, "order" => action, "adapter" => %order.model,
        "expect" => order.expected_orders, "number" => order.number, "end" => label,
        "ms" => millis(start.elapsed()));
    desk.with_placer(&shared, |placer, now| {
        placer.on_order_outcome(now, &endpoint, order.number, outcome);
    });
}

/// Fetches an endpoint's report and passes it to the placer.
pub(crate) async fn fetch_report(shared: Rc<Shared>, desk: Rc<HeldZone>, endpoint: EndpointId) {
    let addr = shared.directory.borrow().get(&endpoint).map(|e| e.addr);
    let report = match addr {
        None => Err("the endpoint is not in the registry".to_owned()),
        Some(addr) => request_report(&shared, &endpoint, report_request(addr, &endpoint)).await,
    };
    match &report {
        Ok(report) => emit!(shared, info, ReportReceived; "held_zone" => &*desk.zone,
            "endpoint" => &*endpoint, "orders" => report.accepted_orders, "held" => report.adapters.len(),
            "incoming" => report.incoming.len(), "running" => report.running,
            "waiting" => report.waiting),
        Err(why) => emit!(shared, warn, ReportMissing; "held_zone" => &*desk.zone,
            "endpoint" => &*endpoint, "error" => why),
    }
    desk.with_placer(&shared, |placer, now| {
        placer.on_report(now, &endpoint, report.ok());
    });
}

/// Requests a report and parses it; the error is a text for a log line.
async fn request_report(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    request: Request<Payload>,
) -> Result<Report, String> {
    let (status, body) = send_request(shared, endpoint, request, REPORT_TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {}", status.as_u16()));
    }
    caraway_platform::decode_report(&body).map_err(|e| e.to_string())
}

/// Sends a request to an endpoint and reads the whole answer. Unlike callers' requests, orders and
/// requests for reports also go to endpoints that are draining.
async fn send_request(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    request: Request<Payload>,
    max_wait: Duration,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let addr = shared.directory.borrow().get(endpoint).map(|e| e.addr);
    let Some(addr) = addr else {
        return Err(CallError::NotSent(
            "the endpoint is not in the registry".into(),
        ));
    };
    if shared.block_reason(endpoint, None) == Some(BlockReason::Paused) {
        return Err(CallError::NotSent(BlockReason::Paused.as_str().into()));
    }
    let incarnation = EndpointIncarnation::registered(shared, endpoint);
    let exchange = async {
        let connect = reach::connect(shared, endpoint, addr).await;
        let mut pooled = connect.map_err(|why| CallError::NotSent(format!("{why:?}").into()))?;
        let sent_at = Shared::now();
        let answer = pooled.connection.send(request).await?;
        let status = answer.status();
        let head = caraway_platform::decode_response_head(status, answer.headers());
        reach::on_answer(shared, endpoint, pooled.reused);
        handle_answer_head(shared, &incarnation, &head, sent_at);
        let body = read_body_within(answer.into_body(), MAX_ANSWER_BYTES, &shared.body_budget)
            .await
            .map_err(|e| CallError::Unknown(e.to_string().into()))?;
        plain::return_connection(shared, endpoint, pooled, &head);
        Ok((status, body))
    };
    timeout(max_wait, exchange).await.unwrap_or_else(|_| {
        reach::on_trouble(shared, endpoint, Trouble::Answer);
        Err(CallError::Timeout)
    })
}

/// Returns the name of an action in log lines and metric labels.
fn action_label(action: Action) -> &'static str {
    match action {
        Action::Load => "load",
        Action::Unload => "unload",
    }
}

/// Returns the name of an outcome in log lines and metric labels.
fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::Complete => "holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::WrongEndpoint => "elsewhere",
        OrderOutcome::Rejected => "rejected",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::NotSent => "not sent",
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
