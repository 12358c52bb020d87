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
    engine::{EngineErrorKind, EngineLoad, Resident},
};
use ntex::rt::spawn;

use crate::{
    EndpointKind, EndpointSettings,
    events::emit,
    shared::{Control, Shared},
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
    pub(crate) decided: Instant,
    pub(crate) action: Action,
}

impl Order {
    /// Returns the input that tells the node that the order was not sent.
    pub(crate) fn not_sent(self) -> Input {
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
    let own = |e: &&EndpointSettings| e.kind == EndpointKind::Engine && e.zone == *zone;
    for engine in shared.settings.endpoints.iter().filter(own) {
        let client = EngineClient::new(http.clone(), engine.addr);
        spawn(watch(Arc::clone(&shared), Arc::clone(&engine.id), client));
    }
    while let Some(order) = inbox.recv().await {
        spawn(carry_out(Arc::clone(&shared), http.clone(), order));
    }
    Ok(())
}

/// Polls the load reports of one engine for ever.
async fn watch(shared: Arc<Shared>, id: EndpointId, client: EngineClient) {
    let times = &shared.settings.times;
    let mut missing = false;
    loop {
        match client.report(times.control_ms.get()).await {
            Ok(load) => {
                missing = false;
                let input = Input::Report(Arc::clone(&id), report(load));
                if shared.rings.control.push(Control::Input(input)).is_err() {
                    emit!(shared.log, warn, RingFull; "ring" => "control");
                }
            }
            Err(error) if !missing => {
                missing = true;
                emit!(shared.log, warn, ReportMissing; "endpoint" => &*id, "error" => %error);
            }
            Err(_) => {}
        }
        tokio::time::sleep(times.report_ms.get()).await;
    }
}

/// Sends an order to its engine and reports the result to the node. An order whose permission may
/// have expired meanwhile is not sent.
async fn carry_out(shared: Arc<Shared>, http: HttpClient, order: Order) {
    let limit = shared.settings.times.order_ms.get();
    let now = tokio::time::Instant::now().into_std();
    if !shared.settings.times.members().may_send(order.decided, now) {
        emit!(shared.log, warn, OrderOverdue;
            "endpoint" => &*order.endpoint, "load" => &*order.load);
        return deliver(&shared, order.not_sent()).await;
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
            let result = match client(&shared, &http, &endpoint) {
                Some(client) => load_result(&client.load(&load, &adapter, fence, limit).await),
                None => LoadResult::Failed,
            };
            shared.metrics.order("load", name(result));
            emit!(shared.log, debug, LoadEnded;
                "endpoint" => &*endpoint, "load" => &*load, "result" => ?result);
            Input::Loaded(endpoint, load, result)
        }
        Action::Unload => {
            emit!(shared.log, debug, UnloadOrdered; "endpoint" => &*endpoint, "load" => &*load);
            let confirmed = match client(&shared, &http, &endpoint) {
                Some(client) => unloaded(&client.unload(&load, fence, limit).await),
                None => false,
            };
            let result = if confirmed { "confirmed" } else { "unknown" };
            shared.metrics.order("unload", result);
            emit!(shared.log, debug, UnloadEnded;
                "endpoint" => &*endpoint, "load" => &*load, "confirmed" => confirmed);
            Input::Unloaded(endpoint, load, confirmed)
        }
    };
    deliver(&shared, input).await;
}

/// Sends the result of an order to the control thread, retrying while the ring is full. The node
/// waits for the result, so it must not be lost.
async fn deliver(shared: &Shared, input: Input) {
    const RETRY_INTERVAL: Duration = Duration::from_millis(1);
    let mut message = Control::Input(input);
    while let Err(caraway_ring::Full(back)) = shared.rings.control.push(message) {
        if shared.rings.control.is_closed() {
            return;
        }
        message = back;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn client(shared: &Shared, http: &HttpClient, endpoint: &EndpointId) -> Option<EngineClient> {
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
fn name(result: LoadResult) -> &'static str {
    match result {
        LoadResult::Resident => "resident",
        LoadResult::SlotsFull => "slots_full",
        LoadResult::Stale(_) => "stale",
        LoadResult::Failed => "failed",
        LoadResult::Unknown => "unknown",
    }
}

/// Returns whether the load is certainly gone: the engine unloaded it or does not know it.
fn unloaded(result: &Result<(), EngineCallError>) -> bool {
    matches!(
        result,
        Ok(()) | Err(EngineCallError::Refused(EngineErrorKind::UnknownModel, _))
    )
}

fn report(load: EngineLoad) -> EngineReport {
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
