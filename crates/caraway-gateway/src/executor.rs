//! Carrying out a placer's orders and questions for reports.

use std::{rc::Rc, time::Duration};

use caraway_http::{Payload, read_body_within};
use caraway_placement::{Action, Order, OrderOutcome, Report};
use caraway_platform::{Command, order_end, order_request, report_request};
use caraway_types::EndpointId;
use caraway_wire::CallError;
use http::{Request, StatusCode};
use tokio::time::{Instant, timeout};

use crate::{
    desk::Desk,
    endpoint_signals::{BlockReason, EndpointRun, handle_answer_head},
    event::emit,
    plain,
    shared::Shared,
};

/// Longest time for which an order's answer is awaited; endpoints answer within a few ms, and an
/// instance whose quota of processor time is used up goes on within 100.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time for which the answer is awaited whether a load is complete; it is asked again.
const POLL_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest time for which a report is awaited.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Sends an order and tells the placer how it ended.
pub(crate) async fn send_order(shared: Rc<Shared>, desk: Rc<Desk>, order: Order) {
    let start = Instant::now();
    let endpoint = order.endpoint.clone();
    let addr = shared.directory.borrow().get(&endpoint).map(|e| e.addr);
    let outcome = match addr {
        None => OrderOutcome::WrongEndpoint,
        Some(addr) => {
            let command = Command {
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
                Ok((status, _)) => order_end(status),
                Err(CallError::NotSent(_)) => OrderOutcome::NotSent,
                Err(_) => OrderOutcome::Unanswered,
            }
        }
    };
    let action = if order.is_poll {
        "poll"
    } else {
        action_name(order.action)
    };
    let label = outcome_label(outcome);
    shared.metrics.record_order(action, label);
    shared.metrics.record_order_time(start.elapsed());
    if order.is_poll && outcome == OrderOutcome::Accepted {
        desk.with(&shared, |placer, now| {
            placer.on_order_outcome(now, &endpoint, order.number, outcome);
        });
        return;
    }
    emit!(shared, info, OrderEnded; "held_zone" => &*desk.zone, "token" => desk.token(),
        "endpoint" => &*endpoint, "order" => action, "adapter" => %order.model,
        "expect" => order.expected_orders, "number" => order.number, "end" => label,
        "ms" => millis(start.elapsed()));
    desk.with(&shared, |placer, now| {
        placer.on_order_outcome(now, &endpoint, order.number, outcome);
    });
}

/// Asks for a report and gives it to the placer.
pub(crate) async fn fetch_report(shared: Rc<Shared>, desk: Rc<Desk>, endpoint: EndpointId) {
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
    desk.with(&shared, |placer, now| {
        placer.on_report(now, &endpoint, report.ok());
    });
}

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
    caraway_platform::report(&body).map_err(|e| e.to_string())
}

async fn send_request(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    request: Request<Payload>,
    max_wait: Duration,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let addr = shared.directory.borrow().get(endpoint).map(|e| e.addr);
    let Some(addr) = addr else {
        return Err(CallError::NotSent("the endpoint is gone".into()));
    };
    if shared.block_reason(endpoint) == Some(BlockReason::Paused) {
        return Err(CallError::NotSent(BlockReason::Paused.as_str().into()));
    }
    let run = EndpointRun::registered(shared, endpoint);
    let exchange = async {
        let mut pooled = shared.pool.take(endpoint, addr).await?;
        let answer = pooled.connection.send(request).await?;
        let status = answer.status();
        let head = caraway_platform::answer_head(status, answer.headers());
        handle_answer_head(shared, &run, &head);
        let body = read_body_within(answer.into_body(), MAX_ANSWER_BYTES, &shared.allowance)
            .await
            .map_err(|e| CallError::Unknown(e.to_string().into()))?;
        plain::return_connection(shared, endpoint, pooled, &head);
        Ok((status, body))
    };
    timeout(max_wait, exchange)
        .await
        .unwrap_or(Err(CallError::Timeout))
}

fn action_name(action: Action) -> &'static str {
    match action {
        Action::Load => "load",
        Action::Unload => "unload",
    }
}

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

/// Returns whole milliseconds for a log line.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
