//! Callers, and what they saw.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use caraway_http::{ConnectLimits, Link, Payload, read_whole};
use caraway_platform_standin::{Ledger, STREAM_EVENTS};
use http::{HeaderValue, Method, Request, StatusCode, header};
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

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Draft,
    Status,
    Deposit,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Draft, Self::Status, Self::Deposit];

    /// Tells whether it may run more than once.
    pub(crate) fn may_repeat(self) -> bool {
        self == Self::Status
    }

    fn path(self) -> &'static str {
        match self {
            Self::Draft => "/draft/x",
            Self::Status => "/status/x",
            Self::Deposit => "/deposit/x",
        }
    }
}

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
    pub(crate) kind: Kind,
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
    link: Option<Link>,
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
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
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
    pub(crate) async fn call(&mut self, kind: Kind, adapter: u32) -> Option<Seen> {
        if self.link.as_ref().is_none_or(|l| !l.is_ready()) {
            let Ok(link) = Link::connect(self.front, &ConnectLimits::default()).await else {
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

    async fn exchange(&mut self, kind: Kind, adapter: u32, request: &str) -> End {
        let Some(link) = self.link.as_mut() else {
            return End::Broken;
        };
        let Ok(answer) = link.send(message(kind, adapter, request)).await else {
            return End::Broken;
        };
        let (head, body) = answer.into_parts();
        let Ok(body) = read_whole(body, ANSWER_LIMIT_BYTES).await else {
            return End::Broken;
        };
        if head.status != StatusCode::OK {
            return End::Status(head.status.as_u16());
        }
        let seal = head.headers.get("x-server-seal");
        let is_own = seal.is_some_and(|s| s.as_bytes() == request.as_bytes());
        if !is_own || body != expected(kind, request) {
            let text = String::from_utf8_lossy(&body).into_owned();
            let what = format!("MIXED: {request} got the seal {seal:?} and {text:?}");
            self.ledger.on_broken(what);
        }
        End::Served
    }
}

fn message(kind: Kind, adapter: u32, request: &str) -> Request<Payload> {
    let mut message = Request::new(Payload::whole(Bytes::from_static(b"prompt")));
    *message.method_mut() = Method::POST;
    *message.uri_mut() = http::Uri::from_static(kind.path());
    let headers = message.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("h.example"));
    headers.insert("x-hold", HeaderValue::from_static("the client's"));
    let text = |text: String| HeaderValue::from_str(&text).expect("plain text");
    headers.insert("x-attempt-id", text(request.to_owned()));
    headers.insert("x-deadline-ms", text(PATIENCE.as_millis().to_string()));
    if kind == Kind::Draft {
        headers.insert("x-model", text(format!("base/a{adapter}")));
        headers.insert("x-token-count", HeaderValue::from_static("100,20"));
    }
    message
}

/// Returns the whole body of a request's answer.
fn expected(kind: Kind, request: &str) -> Bytes {
    if kind == Kind::Draft {
        let event = |n| format!("id: {n}\ndata: {request} {n}\n\n");
        (1..=STREAM_EVENTS).map(event).collect::<String>().into()
    } else {
        request.to_owned().into()
    }
}

/// Asks whether an instance takes a path that a configuration names.
pub(crate) async fn has_route(front: SocketAddr, name: &str, request: &str) -> bool {
    let Ok(mut link) = Link::connect(front, &ConnectLimits::default()).await else {
        return false;
    };
    let mut message = message(Kind::Status, 0, request);
    let path = format!("/{name}/x");
    *message.uri_mut() = path.parse().expect("a path");
    let answer = timeout(PATIENCE, link.send(message)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK)
}
