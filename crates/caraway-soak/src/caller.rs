//! [`Caller`]: sends requests to an instance and records their results.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use caraway_http::{ConnectTimeouts, Connection, Payload, ResponseBody};
use caraway_platform_standin::{
    Ledger, RequestKind, build_request, build_route_request, check_response, set_account,
    set_prompt, set_resumption,
};
use http::{Request, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{accounts::Account, testbed::DEADLY_SEGMENT};

/// Time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 16;
/// Pause after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Number of adapters that callers request; more than an engine has slots for, so that adapters are
/// evicted and loaded during a run.
const ADAPTER_COUNT: u32 = 12;

/// The result of a request as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete response with status 200.
    Served,
    /// A complete response with another status.
    Status(u16),
    /// No complete response: the connection failed, the body is too large or the time ran out.
    Incomplete,
}

/// The segment that all prompts share.
const SHARED_SEGMENT: u64 = 0x5a;
/// Number of segments of which each prompt has one.
const COMMON_SEGMENTS: u64 = 20;
/// Part of the drafts that have the deadly segment while such prompts come.
const DEADLY_SHARE: f64 = 0.2;

/// Number of times that a caller takes a stream up.
const MAX_TAKE_UPS: u32 = 2;

/// A request that was sent, with its result.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    /// Id of the request.
    pub(crate) request: String,
    pub(crate) kind: RequestKind,
    /// The account of its caller.
    pub(crate) account: Option<Account>,
    pub(crate) outcome: Outcome,
    /// When it was sent.
    pub(crate) sent_at: Instant,
    /// Whether its prompt has the deadly segment.
    pub(crate) is_deadly: bool,
    /// Whether it was refused because of what its prompt has.
    pub(crate) is_quarantined: bool,
}

/// The results of all callers; clones share their contents.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResultLog(Rc<RefCell<Vec<RequestResult>>>);

impl ResultLog {
    /// Removes and returns the results so far.
    pub(crate) fn take(&self) -> Vec<RequestResult> {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// A caller that sends one request at a time, over a connection that it keeps open.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Prefix of the ids of its requests.
    pub(crate) name: String,
    /// Address at which the instance accepts requests.
    pub(crate) front_addr: SocketAddr,
    /// Record of violations.
    pub(crate) ledger: Ledger,
    /// The account that it belongs to; `None` if requests need no keys.
    pub(crate) account: Option<Account>,
    connection: Option<Connection>,
    sent_count: u64,
    /// Shared segments of the prompt of its next draft.
    prompt: Vec<u64>,
    /// Whether its last request was refused because of what its prompt has.
    is_quarantined: bool,
    /// Number of whole events that its last stream had.
    event_count: u64,
    /// Addresses of all instances, at which it takes broken streams up.
    pub(crate) others: Vec<SocketAddr>,
}

impl Caller {
    pub(crate) fn new(
        name: String,
        front_addr: SocketAddr,
        ledger: Ledger,
        account: Option<Account>,
    ) -> Self {
        Self {
            name,
            front_addr,
            ledger,
            account,
            connection: None,
            sent_count: 0,
            prompt: vec![SHARED_SEGMENT],
            is_quarantined: false,
            event_count: 0,
            others: Vec::new(),
        }
    }

    /// Sends requests of random kinds and adapters until `stop` becomes true.
    pub(crate) async fn run(
        mut self,
        seed: u64,
        results: ResultLog,
        deadly_prompts: Rc<Cell<bool>>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while !*stop.borrow() {
            let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
            let adapter = rng
                .random_range(0..ADAPTER_COUNT)
                .min(rng.random_range(0..ADAPTER_COUNT));
            self.prompt = vec![SHARED_SEGMENT, 0x100 + rng.random_range(0..COMMON_SEGMENTS)];
            if deadly_prompts.get() && rng.random_bool(DEADLY_SHARE) {
                self.prompt.push(DEADLY_SEGMENT);
            }
            if let Some(result) = self.send_request(kind, adapter).await {
                let is_broken = result.outcome == Outcome::Incomplete && self.event_count > 0;
                if kind == RequestKind::Digest && is_broken {
                    self.take_up(&result.request, adapter, &mut rng).await;
                }
                results.0.borrow_mut().push(result);
            }
            let pause = Duration::from_millis(rng.random_range(5..40));
            tokio::select! {
                () = sleep(pause) => {}
                // An error can't occur, as the sender exists until the end of the run.
                _ = stop.changed() => {}
            }
        }
    }

    /// Sends a request, for which it connects if necessary; `None` if the connection failed.
    pub(crate) async fn send_request(
        &mut self,
        kind: RequestKind,
        adapter: u32,
    ) -> Option<RequestResult> {
        if self.connection.as_ref().is_none_or(|c| !c.is_ready()) {
            let Ok(connection) =
                Connection::connect(self.front_addr, &ConnectTimeouts::default()).await
            else {
                sleep(RECONNECT_DELAY).await;
                return None;
            };
            self.connection = Some(connection);
        }
        self.sent_count += 1;
        let request = format!("{}-{}", self.name, self.sent_count);
        let sent_at = Instant::now();
        let exchange = self.exchange(kind, adapter, &request);
        let outcome = timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .unwrap_or(Outcome::Incomplete);
        if outcome == Outcome::Incomplete {
            self.connection = None;
        }
        Some(RequestResult {
            request,
            kind,
            account: self.account,
            outcome,
            sent_at,
            is_deadly: kind.is_stream() && self.prompt.contains(&DEADLY_SEGMENT),
            is_quarantined: self.is_quarantined,
        })
    }

    /// Sends a request over the open connection, and checks the response.
    async fn exchange(&mut self, kind: RequestKind, adapter: u32, request: &str) -> Outcome {
        self.is_quarantined = false;
        self.event_count = 0;
        let Some(connection) = self.connection.as_mut() else {
            return Outcome::Incomplete;
        };
        let mut message = build_request(kind, adapter, request, RESPONSE_TIMEOUT);
        if let Some(account) = self.account {
            account.sign(&mut message);
        }
        if kind.is_stream() {
            set_prompt(&mut message, &self.prompt, request);
        }
        let Ok(response) = connection.send(message).await else {
            return Outcome::Incomplete;
        };
        let (head, body) = response.into_parts();
        let (body, is_whole) = read_partial(body).await;
        if kind.is_stream() {
            self.event_count = count_events(&body);
        }
        if !is_whole {
            return Outcome::Incomplete;
        }
        if head.status != StatusCode::OK {
            let reason = br#""quarantined""#;
            self.is_quarantined = body.windows(reason.len()).any(|w| w == reason);
            return Outcome::Status(head.status.as_u16());
        }
        if let Some(violation) = check_response(kind, request, &head.headers, &body) {
            self.ledger.record_violation(format!("MIXED: {violation}"));
        }
        Outcome::Served
    }
}

impl Caller {
    /// Takes a broken stream up at random instances until it is whole, at most twice.
    async fn take_up(&mut self, first: &str, adapter: u32, rng: &mut ChaCha8Rng) {
        let mut last_event = self.event_count;
        for _ in 0..MAX_TAKE_UPS {
            sleep(Duration::from_millis(rng.random_range(50..400))).await;
            let other = rng.random_range(0..self.others.len());
            let Ok(mut connection) =
                Connection::connect(self.others[other], &ConnectTimeouts::default()).await
            else {
                continue;
            };
            self.sent_count += 1;
            let request = format!("c{other}-{}-{}", self.name, self.sent_count);
            let mut message =
                build_request(RequestKind::Digest, adapter, &request, RESPONSE_TIMEOUT);
            if let Some(account) = self.account {
                account.sign(&mut message);
            }
            set_prompt(&mut message, &self.prompt, first);
            set_resumption(&mut message, first, last_event);
            let sent = timeout(RESPONSE_TIMEOUT, connection.send(message)).await;
            let Ok(Ok(response)) = sent else {
                continue;
            };
            if response.status() != StatusCode::OK {
                continue;
            }
            let read = timeout(RESPONSE_TIMEOUT, read_partial(response.into_body())).await;
            let (body, is_whole) = read.unwrap_or_default();
            let next = format!("id: {}\n", last_event + 1);
            if !body.is_empty() && !body.starts_with(next.as_bytes()) {
                let violation = format!("ORDER: {request} does not go on after event {last_event}");
                self.ledger.record_violation(violation);
            }
            last_event += count_events(&body);
            if is_whole {
                return;
            }
        }
    }
}

/// Reads a body; returns the bytes that arrived, and whether they are the whole body.
async fn read_partial(mut body: ResponseBody) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) if bytes.len() + data.len() <= MAX_BODY_BYTES => {
                bytes.extend_from_slice(&data);
            }
            Ok(Err(_)) => {}
            Ok(Ok(_)) | Err(_) => return (bytes, false),
        }
    }
    (bytes, true)
}

/// Returns the number of whole events in the body of a stream.
fn count_events(body: &[u8]) -> u64 {
    body.windows(2).filter(|w| w == b"\n\n").count() as u64
}

/// Returns whether an instance serves the route `name`, which a newer configuration adds.
pub(crate) async fn has_route(
    front_addr: SocketAddr,
    name: &str,
    request: &str,
    account: Option<Account>,
) -> bool {
    let mut message = build_route_request(name, request, RESPONSE_TIMEOUT);
    if let Some(account) = account {
        account.sign(&mut message);
    }
    send_alone(front_addr, message).await == Some(StatusCode::OK)
}

/// Returns the status with which an instance answers a request with this key.
pub(crate) async fn status_of_key(
    front_addr: SocketAddr,
    key: &str,
    request: &str,
) -> Option<StatusCode> {
    let mut message = build_route_request("status", request, RESPONSE_TIMEOUT);
    set_account(&mut message, key, Account::Steady.name());
    send_alone(front_addr, message).await
}

/// Sends a request on a connection of its own and returns the status of its answer.
async fn send_alone(front_addr: SocketAddr, message: Request<Payload>) -> Option<StatusCode> {
    let connection = Connection::connect(front_addr, &ConnectTimeouts::default()).await;
    let mut connection = connection.ok()?;
    let response = timeout(RESPONSE_TIMEOUT, connection.send(message)).await;
    Some(response.ok()?.ok()?.status())
}
