//! [`Caller`]: sends requests to an instance and records their results.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use caraway_http::{ConnectTimeouts, Connection, read_body};
use caraway_platform_standin::{
    Ledger, RequestKind, build_request, build_route_request, check_response,
};
use http::StatusCode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Time that a caller waits for a response.
const PATIENCE: Duration = Duration::from_secs(3);
/// Maximum size of a response body, in bytes.
const ANSWER_LIMIT_BYTES: usize = 1 << 16;
/// Pause after a failed connection attempt.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Number of adapters that callers request; more than an engine has slots for, so that adapters are
/// evicted and loaded during a run.
const ADAPTERS: u32 = 12;

/// The result of a request as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// A complete response with status 200.
    Served,
    /// A complete response with another status.
    Status(u16),
    /// No complete response: the connection failed, the body is too large or the time ran out.
    Broken,
}

/// A request that was sent, with its result.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) request: String,
    pub(crate) kind: RequestKind,
    pub(crate) end: End,
}

/// The results of all callers; clones share their contents.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log(Rc<RefCell<Vec<Seen>>>);

impl Log {
    /// Removes and returns the results so far.
    pub(crate) fn take(&self) -> Vec<Seen> {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// A caller that sends one request at a time, over a connection that it keeps open.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    pub(crate) ledger: Ledger,
    link: Option<Connection>,
    sent: u64,
}

impl Caller {
    pub(crate) fn new(name: String, front: SocketAddr, ledger: Ledger) -> Self {
        Self {
            name,
            front,
            ledger,
            link: None,
            sent: 0,
        }
    }

    /// Sends requests of random kinds and adapters until `stop` becomes true.
    pub(crate) async fn run(mut self, seed: u64, log: Log, mut stop: watch::Receiver<bool>) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while !*stop.borrow() {
            let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
            let adapter = rng
                .random_range(0..ADAPTERS)
                .min(rng.random_range(0..ADAPTERS));
            if let Some(seen) = self.call(kind, adapter).await {
                log.0.borrow_mut().push(seen);
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
    pub(crate) async fn call(&mut self, kind: RequestKind, adapter: u32) -> Option<Seen> {
        if self.link.as_ref().is_none_or(|l| !l.is_ready()) {
            let Ok(link) = Connection::connect(self.front, &ConnectTimeouts::default()).await
            else {
                sleep(CONNECT_PAUSE).await;
                return None;
            };
            self.link = Some(link);
        }
        self.sent += 1;
        let request = format!("{}-{}", self.name, self.sent);
        let exchange = self.exchange(kind, adapter, &request);
        let end = timeout(PATIENCE, exchange).await.unwrap_or(End::Broken);
        if end == End::Broken {
            self.link = None;
        }
        Some(Seen { request, kind, end })
    }

    /// Sends a request over the open connection, and checks the response.
    async fn exchange(&mut self, kind: RequestKind, adapter: u32, request: &str) -> End {
        let Some(link) = self.link.as_mut() else {
            return End::Broken;
        };
        let message = build_request(kind, adapter, request, PATIENCE);
        let Ok(answer) = link.send(message).await else {
            return End::Broken;
        };
        let (head, body) = answer.into_parts();
        let Ok(body) = read_body(body, ANSWER_LIMIT_BYTES).await else {
            return End::Broken;
        };
        if head.status != StatusCode::OK {
            return End::Status(head.status.as_u16());
        }
        if let Some(fault) = check_response(kind, request, &head.headers, &body) {
            self.ledger.record_violation(format!("MIXED: {fault}"));
        }
        End::Served
    }
}

/// Returns whether an instance serves the route `name`, which a newer configuration adds.
pub(crate) async fn has_route(front: SocketAddr, name: &str, request: &str) -> bool {
    let Ok(mut link) = Connection::connect(front, &ConnectTimeouts::default()).await else {
        return false;
    };
    let message = build_route_request(name, request, PATIENCE);
    let answer = timeout(PATIENCE, link.send(message)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK)
}
