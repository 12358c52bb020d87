//! Callers, and what they saw.

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

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Longest answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 1 << 16;
/// Pause before a caller connects again.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Adapters that callers ask for; more than an engine has places for.
const ADAPTERS: u32 = 12;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// A whole answer of success.
    Served,
    /// Another status.
    Status(u16),
    /// The connection ended or gave nothing.
    Broken,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) request: String,
    pub(crate) kind: RequestKind,
    pub(crate) end: End,
}

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log(Rc<RefCell<Vec<Seen>>>);

impl Log {
    pub(crate) fn take(&self) -> Vec<Seen> {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// A caller with a connection that it keeps.
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

    /// Sends requests of every kind until it is told to stop.
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
                // The other end is there for as long as the run.
                _ = stop.changed() => {}
            }
        }
    }

    /// Sends a request; `None` when there was no connection.
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

/// Asks whether an instance takes a path that a configuration names.
pub(crate) async fn has_route(front: SocketAddr, name: &str, request: &str) -> bool {
    let Ok(mut link) = Connection::connect(front, &ConnectTimeouts::default()).await else {
        return false;
    };
    let message = build_route_request(name, request, PATIENCE);
    let answer = timeout(PATIENCE, link.send(message)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK)
}
