//! [`Link`]: one connection, owned by the call that uses it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use caraway_wire::CallError;
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::Payload;

/// An answer whose body still arrives on its [`Link`].
pub type Answer = Response<Incoming>;

/// Failed keep-alive probes after which the kernel gives a connection up.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets how soon a connection that makes no progress is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectLimits {
    /// Longest time to connect.
    pub connect: Duration,
    /// Idle time before a keep-alive probe, and the time between probes; whole seconds.
    pub keepalive: Duration,
    /// Longest time that sent bytes stay unacknowledged.
    pub unacknowledged: Duration,
}

impl Default for ConnectLimits {
    fn default() -> Self {
        Self {
            // Three times the largest round trip of the deployments (40 ms between regions) plus
            // room for an instance at a fifth of its speed.
            connect: Duration::from_millis(400),
            // The kernel's finest step.
            keepalive: Duration::from_secs(1),
            // Below the shortest time (3 s) after which a deployment counts an instance as in
            // touch again.
            unacknowledged: Duration::from_secs(2),
        }
    }
}

/// A connection that carries one call at a time.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Payload>,
    opened: Instant,
}

impl Link {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection could be made in time.
    pub async fn connect(addr: SocketAddr, limits: &ConnectLimits) -> Result<Self, CallError> {
        let stream = timeout(limits.connect, TcpStream::connect(addr))
            .await
            .map_err(|_| CallError::NotSent("connect: timed out".into()))?
            .map_err(not_sent)?;
        tune(&stream, limits).map_err(not_sent)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        tokio::spawn(async move {
            // A failed connection shows at its call, which has the reason.
            driver.await.ok();
        });
        Ok(Self {
            sender,
            opened: Instant::now(),
        })
    }

    /// Returns when the connection was opened.
    #[must_use]
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Tells whether the next call can be sent now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the next call can be sent; false when the connection has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a call and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when nothing of the call was written, else
    /// [`CallError::Unknown`].
    pub async fn send(&mut self, request: Request<Payload>) -> Result<Answer, CallError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut e| {
                let written = e.take_message().is_none();
                let detail: Arc<str> = describe(e.error()).into();
                if written {
                    CallError::Unknown(detail)
                } else {
                    CallError::NotSent(detail)
                }
            })
    }
}

/// Largest head of an answer that is accepted, in bytes; also bounds what is read ahead.
const BUFFER_BYTES: usize = 64 << 10;

/// Sets how soon a connection that makes no progress is noticed.
///
/// # Errors
///
/// Returns the system's error, as when the connection has ended.
pub fn tune(stream: &TcpStream, limits: &ConnectLimits) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.keepalive)
        .with_interval(limits.keepalive)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.unacknowledged))
}

fn not_sent(error: impl std::fmt::Display) -> CallError {
    CallError::NotSent(error.to_string().into())
}

/// Returns the error with its causes.
fn describe(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
