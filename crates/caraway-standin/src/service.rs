//! [`Service`]: a test double for a plain HTTP service whose calls are not idempotent.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use caraway_types::{EndpointId, Millis};
use caraway_wire::service::{ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER};
use ntex::{
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, ServiceConfig, types::State},
};
use serde::{Deserialize, Serialize};

use crate::{disconnect::abort_connection, server_thread::ServerThread};

/// Settings of a service replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The service replica's id.
    pub id: EndpointId,
    /// Port of the server; zero lets the operating system choose.
    pub port: u16,
    /// Time that the work of each call takes.
    pub work: Millis,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            id: "service".into(),
            port: 0,
            work: Millis::new(5),
        }
    }
}

/// Faults to inject into a service; none by default.
///
/// Counts say how many of the next calls are affected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of calls that are executed, but whose connection is closed without an answer.
    pub lose_answers: u32,
    /// Number of calls that are not executed and whose connection is closed without an answer.
    pub die_early: u32,
    /// Number of calls that are executed, but get the answer of the call executed before them.
    pub cross_answers: u32,
    /// Number of calls that are executed but never answered, on a connection that stays open.
    pub silence: u32,
    /// Time added to each call.
    pub slow: Millis,
    /// Whether every call is refused with status 503 and not executed.
    pub down: bool,
}

/// A call that a service executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallRecord {
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path with its query.
    pub path: Arc<str>,
    /// The idempotency key, if the call carried one.
    pub key: Option<Arc<str>>,
    /// The attempt's id, if the call carried one.
    pub attempt: Option<Arc<str>>,
    /// The body; bytes that are not UTF-8 are replaced.
    pub body: Arc<str>,
}

/// The body of an answer, which repeats the call so that a caller can verify it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceAnswer {
    /// The id of the service replica that executed the call.
    pub service: EndpointId,
    /// The executed call; that of another caller under the fault `cross_answers`.
    pub call: CallRecord,
}

/// A running service replica; dropping it stops its server.
#[derive(Debug)]
pub struct Service {
    server: ServerThread,
    shared: Arc<Mutex<ServiceState>>,
}

/// Settings, active faults and executed calls of a service.
#[derive(Debug)]
struct ServiceState {
    settings: ServiceSettings,
    faults: ServiceFaults,
    calls: Vec<CallRecord>,
}

/// Outcome of a call.
#[derive(Debug)]
enum CallOutcome {
    /// Answer with this call.
    Answer(CallRecord),
    /// Close the connection without an answer.
    Disconnect,
    /// Keep the connection open without an answer.
    NoAnswer,
    /// Refuse the call with status 503.
    Unavailable,
}

impl Service {
    /// Starts a service replica.
    ///
    /// # Errors
    ///
    /// Returns the error of starting its server.
    pub fn start(settings: ServiceSettings) -> io::Result<Self> {
        let name = Arc::clone(&settings.id);
        let port = settings.port;
        let shared = Arc::new(Mutex::new(ServiceState {
            settings,
            faults: ServiceFaults::default(),
            calls: Vec::new(),
        }));
        let no_task = |_| std::future::ready(());
        let server = ServerThread::start(&name, port, Arc::clone(&shared), add_routes, no_task)?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the service's server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the server and waits for its thread to end.
    pub fn stop(&mut self) {
        self.server.stop();
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Returns the executed calls, in order.
    #[must_use]
    pub fn ledger(&self) -> Vec<CallRecord> {
        lock(&self.shared).calls.clone()
    }
}

fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServiceState {
    /// Executes a call, subject to the active faults.
    fn execute(&mut self, call: CallRecord) -> CallOutcome {
        if self.faults.down {
            return CallOutcome::Unavailable;
        }
        if consume_fault(&mut self.faults.die_early) {
            return CallOutcome::Disconnect;
        }
        let previous = self.calls.last().cloned();
        self.calls.push(call.clone());
        if consume_fault(&mut self.faults.lose_answers) {
            return CallOutcome::Disconnect;
        }
        if consume_fault(&mut self.faults.silence) {
            return CallOutcome::NoAnswer;
        }
        match previous {
            Some(previous) if consume_fault(&mut self.faults.cross_answers) => {
                CallOutcome::Answer(previous)
            }
            _ => CallOutcome::Answer(call),
        }
    }
}

/// Decrements the count of a fault; returns whether the fault applies to this call.
fn consume_fault(count: &mut u32) -> bool {
    let active = *count > 0;
    *count = count.saturating_sub(1);
    active
}

fn add_routes(config: &mut ServiceConfig) {
    config.route("/{path}*", web::to(handle_call));
}

async fn handle_call(
    service: State<Arc<Mutex<ServiceState>>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let (id, time) = {
        let state = lock(&service);
        let time = state.settings.work.get() + state.faults.slow.get();
        (Arc::clone(&state.settings.id), time)
    };
    tokio::time::sleep(time).await;
    let outcome = lock(&service).execute(call_record(&request, &body));
    match outcome {
        CallOutcome::Answer(call) => answer_response(id, call),
        CallOutcome::Disconnect => abort_connection(&request),
        CallOutcome::NoAnswer => std::future::pending().await,
        CallOutcome::Unavailable => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn call_record(request: &HttpRequest, body: &[u8]) -> CallRecord {
    let header = |name| request.headers().get(name)?.to_str().ok().map(Arc::from);
    CallRecord {
        method: request.method().as_str().into(),
        path: request.uri().to_string().into(),
        key: header(IDEMPOTENCY_KEY_HEADER),
        attempt: header(ATTEMPT_HEADER),
        body: String::from_utf8_lossy(body).into(),
    }
}

fn answer_response(service: EndpointId, call: CallRecord) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    if let Some(attempt) = &call.attempt {
        response.header(ATTEMPT_HEADER, &**attempt);
    }
    response.json(&ServiceAnswer { service, call })
}
