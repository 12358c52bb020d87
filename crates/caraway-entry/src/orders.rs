//! The orders thread: sends load and unload orders to engines and polls their load reports.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_node::{EngineReport, Input, LoadResult, ReportedLoad};
use caraway_ring::Receiver;
use caraway_types::{AdapterRef, EndpointId, FencingToken, LoadName};
use caraway_wire::{
    CallError, EngineCallError, EngineClient, HttpClient,
    engine::{EngineErrorKind, EngineStatus, Resident},
};
use ntex::rt::spawn;

use crate::{
    EndpointKind, EndpointSettings,
    events::emit,
    shared::{ControlMessage, Shared},
};

/// What an order tells the engine to do.
#[derive(Debug)]
pub(crate) enum Action {
    /// Load an adapter version.
    Load(AdapterRef),
    /// Unload the load that the order names.
    Unload,
}

/// A load or unload order to an engine.
#[derive(Debug)]
pub(crate) struct Order {
    /// The engine that gets the order.
    pub(crate) endpoint: EndpointId,
    /// Name of the load on the engine.
    pub(crate) load: LoadName,
    /// Fencing token of the holder, which is this instance.
    pub(crate) fence: FencingToken,
    /// When the control thread received the message that led to the order.
    pub(crate) decided_at: Instant,
    pub(crate) action: Action,
}

impl Order {
    /// Returns the input that tells the node that the order was not sent.
    pub(crate) fn into_not_sent(self) -> Input {
        match self.action {
            Action::Load(_) => Input::Loaded(self.endpoint, self.load, LoadResult::Failed),
            Action::Unload => Input::Unloaded(self.endpoint, self.load, false),
        }
    }
}

/// Executes orders until the ring is closed, and polls the load reports of this zone's engines.
pub(crate) async fn run(shared: Arc<Shared>, mut inbox: Receiver<Order>) -> Result<(), CallError> {
    let http = HttpClient::new().await?;
    let zone = &shared.settings.zone;
    let in_zone = |e: &&EndpointSettings| e.kind == EndpointKind::Engine && e.zone == *zone;
    for engine in shared.settings.endpoints.iter().filter(in_zone) {
        let client = EngineClient::new(http.clone(), engine.addr);
        spawn(poll_reports(
            Arc::clone(&shared),
            Arc::clone(&engine.id),
            client,
        ));
    }
    while let Some(order) = inbox.recv().await {
        spawn(execute(Arc::clone(&shared), http.clone(), order));
    }
    Ok(())
}

/// Polls the load reports of one engine, until the thread ends.
async fn poll_reports(shared: Arc<Shared>, id: EndpointId, client: EngineClient) {
    let times = &shared.settings.times;
    let mut report_missing = false;
    loop {
        match client.report(times.control_ms.get()).await {
            Ok(load) => {
                report_missing = false;
                let input = Input::Report(Arc::clone(&id), engine_report(load));
                if shared
                    .rings
                    .control
                    .push(ControlMessage::Input(input))
                    .is_err()
                {
                    emit!(shared.log, warn, RingFull; "ring" => "control");
                }
            }
            Err(error) if !report_missing => {
                report_missing = true;
                emit!(shared.log, warn, ReportMissing; "endpoint" => &*id, "error" => %error);
            }
            Err(_) => {}
        }
        tokio::time::sleep(times.report_ms.get()).await;
    }
}

/// Sends an order to its engine and reports the result to the node. An order whose permission may
/// have expired meanwhile is not sent.
async fn execute(shared: Arc<Shared>, http: HttpClient, order: Order) {
    let timeout = shared.settings.times.order_ms.get();
    let now = tokio::time::Instant::now().into_std();
    if !shared
        .settings
        .times
        .members()
        .may_send(order.decided_at, now)
    {
        emit!(shared.log, warn, OrderOverdue;
            "endpoint" => &*order.endpoint, "load" => &*order.load);
        return send_result(&shared, order.into_not_sent()).await;
    }
    let Order {
        endpoint,
        load,
        fence,
        action,
        ..
    } = order;
    let input = match action {
        Action::Load(adapter) => {
            emit!(shared.log, debug, LoadOrdered; "endpoint" => &*endpoint, "load" => &*load);
            let result = match engine_client(&shared, &http, &endpoint) {
                Some(client) => load_result(&client.load(&load, &adapter, fence, timeout).await),
                None => LoadResult::Failed,
            };
            shared.metrics.record_order("load", result_label(result));
            emit!(shared.log, debug, LoadEnded;
                "endpoint" => &*endpoint, "load" => &*load, "result" => ?result);
            Input::Loaded(endpoint, load, result)
        }
        Action::Unload => {
            emit!(shared.log, debug, UnloadOrdered; "endpoint" => &*endpoint, "load" => &*load);
            let confirmed = match engine_client(&shared, &http, &endpoint) {
                Some(client) => is_unloaded(&client.unload(&load, fence, timeout).await),
                None => false,
            };
            let result = if confirmed { "confirmed" } else { "unknown" };
            shared.metrics.record_order("unload", result);
            emit!(shared.log, debug, UnloadEnded;
                "endpoint" => &*endpoint, "load" => &*load, "confirmed" => confirmed);
            Input::Unloaded(endpoint, load, confirmed)
        }
    };
    send_result(&shared, input).await;
}

/// Sends the result of an order to the control thread, retrying while the ring is full. The node
/// waits for the result, so it must not be lost.
async fn send_result(shared: &Shared, input: Input) {
    const RETRY_INTERVAL: Duration = Duration::from_millis(1);
    let mut message = ControlMessage::Input(input);
    while let Err(caraway_ring::PushError(returned)) = shared.rings.control.push(message) {
        if shared.rings.control.is_closed() {
            return;
        }
        message = returned;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn engine_client(
    shared: &Shared,
    http: &HttpClient,
    endpoint: &EndpointId,
) -> Option<EngineClient> {
    let endpoint = shared.endpoints.get(endpoint)?;
    Some(EngineClient::new(http.clone(), endpoint.addr))
}

fn load_result(result: &Result<(), EngineCallError>) -> LoadResult {
    match result {
        Ok(()) => LoadResult::Resident,
        Err(EngineCallError::Refused(EngineErrorKind::SlotsFull, _)) => LoadResult::SlotsFull,
        Err(EngineCallError::Refused(EngineErrorKind::StaleFence, _)) => LoadResult::Stale(0),
        Err(EngineCallError::Refused(_, _) | EngineCallError::Call(CallError::NotSent(_))) => {
            LoadResult::Failed
        }
        Err(EngineCallError::Call(_)) => LoadResult::Unknown,
    }
}

/// Returns the metric label for the result of a load order.
fn result_label(result: LoadResult) -> &'static str {
    match result {
        LoadResult::Resident => "resident",
        LoadResult::SlotsFull => "slots_full",
        LoadResult::Stale(_) => "stale",
        LoadResult::Failed => "failed",
        LoadResult::Unknown => "unknown",
    }
}

/// Returns whether the load is certainly gone: the engine unloaded it or does not know it.
fn is_unloaded(result: &Result<(), EngineCallError>) -> bool {
    matches!(
        result,
        Ok(()) | Err(EngineCallError::Refused(EngineErrorKind::UnknownModel, _))
    )
}

fn engine_report(load: EngineStatus) -> EngineReport {
    let resident = |r: Resident| ReportedLoad {
        name: r.lora_name,
        adapter: r.lora_path,
        running: r.running,
    };
    EngineReport {
        incarnation: load.incarnation,
        slots: load.slots,
        running: load.running,
        waiting: load.waiting,
        max_batch: load.max_batch,
        max_fence: load.max_fence,
        residents: load.residents.into_iter().map(resident).collect(),
    }
}
