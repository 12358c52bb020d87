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
    event::emit,
    heed::{Bar, Callee, heed},
    held_zone::HeldZone,
    plain,
    shared::Shared,
};

/// Longest time for which an order's answer is awaited; endpoints answer within a few ms, and an
/// instance whose quota of processor time is used up goes on within 100.
const ORDER_LIMIT: Duration = Duration::from_millis(150);
/// Longest time for which the answer is awaited whether a load is complete; it is asked again.
const POLL_LIMIT: Duration = Duration::from_millis(60);
/// Longest time for which a report is awaited.
const REPORT_LIMIT: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 1 << 20;

/// Sends an order and tells the placer how it ended.
pub(crate) async fn order(shared: Rc<Shared>, desk: Rc<HeldZone>, order: Order) {
    let start = Instant::now();
    let endpoint = order.endpoint.clone();
    let addr = shared.directory.borrow().get(&endpoint).map(|e| e.addr);
    let end = match addr {
        None => OrderOutcome::WrongEndpoint,
        Some(addr) => {
            let command = Command {
                order: &order,
                holder: &shared.site.instance,
                token: desk.token(),
            };
            let request = order_request(addr, &command);
            let limit = if order.is_poll {
                POLL_LIMIT
            } else {
                ORDER_LIMIT
            };
            match call(&shared, &endpoint, request, limit).await {
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
    let name = end_name(end);
    shared.metrics.order(action, name);
    shared.metrics.load(start.elapsed());
    if order.is_poll && end == OrderOutcome::Accepted {
        desk.with_placer(&shared, |placer, now| {
            placer.on_order_outcome(now, &endpoint, order.number, end);
        });
        return;
    }
    emit!(shared, info, Ordered; "held_zone" => &*desk.zone, "token" => desk.token(),
        "endpoint" => &*endpoint, "order" => action, "adapter" => %order.model,
        "expect" => order.expected_orders, "number" => order.number, "end" => name,
        "ms" => millis(start.elapsed()));
    desk.with_placer(&shared, |placer, now| {
        placer.on_order_outcome(now, &endpoint, order.number, end);
    });
}

/// Asks for a report and gives it to the placer.
pub(crate) async fn report(shared: Rc<Shared>, desk: Rc<HeldZone>, endpoint: EndpointId) {
    let addr = shared.directory.borrow().get(&endpoint).map(|e| e.addr);
    let report = match addr {
        None => Err("the endpoint is not in the registry".to_owned()),
        Some(addr) => fetch_report(&shared, &endpoint, report_request(addr, &endpoint)).await,
    };
    match &report {
        Ok(report) => emit!(shared, info, Reported; "held_zone" => &*desk.zone,
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

async fn fetch_report(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    request: Request<Payload>,
) -> Result<Report, String> {
    let (status, body) = call(shared, endpoint, request, REPORT_LIMIT)
        .await
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {}", status.as_u16()));
    }
    caraway_platform::report(&body).map_err(|e| e.to_string())
}

async fn call(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    request: Request<Payload>,
    limit: Duration,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let addr = shared.directory.borrow().get(endpoint).map(|e| e.addr);
    let Some(addr) = addr else {
        return Err(CallError::NotSent("the endpoint is gone".into()));
    };
    if shared.bar(endpoint) == Some(Bar::Paused) {
        return Err(CallError::NotSent(Bar::Paused.text().into()));
    }
    let callee = Callee::of(shared, endpoint);
    let exchange = async {
        let mut pooled = shared.pool.take(endpoint, addr).await?;
        let answer = pooled.connection.send(request).await?;
        let status = answer.status();
        let head = caraway_platform::answer_head(status, answer.headers());
        heed(shared, &callee, &head);
        let body = read_body_within(answer.into_body(), ANSWER_LIMIT_BYTES, &shared.body_budget)
            .await
            .map_err(|e| CallError::Unknown(e.to_string().into()))?;
        plain::put_back(shared, endpoint, pooled, &head);
        Ok((status, body))
    };
    timeout(limit, exchange)
        .await
        .unwrap_or(Err(CallError::Timeout))
}

fn action_name(action: Action) -> &'static str {
    match action {
        Action::Load => "load",
        Action::Unload => "unload",
    }
}

fn end_name(end: OrderOutcome) -> &'static str {
    match end {
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
