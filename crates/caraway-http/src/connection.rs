//! [`Connection`]: an HTTP/1.1 client connection that is owned by the call that uses it.

use std::{
    future::poll_fn, io::ErrorKind, mem::MaybeUninit, net::SocketAddr, ops::RangeInclusive,
    sync::Arc, time::Duration,
};

use caraway_wire::CallError;
use http::{Request, Response};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    Payload, ResponseBody,
    paced_stream::{PacedStream, ReceivedBytes},
};

/// A response whose head was received and whose body is still arriving on its [`Connection`].
pub type IncomingResponse = Response<ResponseBody>;

/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Timeouts after which a connection without progress fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectTimeouts {
    /// Maximum time to establish a connection.
    pub connect: Duration,
    /// Idle time before the first TCP keep-alive probe, and the interval between probes; a whole
    /// number of seconds.
    pub keepalive: Duration,
    /// Maximum time for which sent bytes stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
}

impl Default for ConnectTimeouts {
    fn default() -> Self {
        Self {
            // Three times the longest round trip in the deployments (40 ms between regions), with
            // a margin for an instance that runs at a fifth of its speed.
            connect: Duration::from_millis(400),
            // The smallest value that the kernel accepts.
            keepalive: Duration::from_secs(1),
            // Shorter than 3 s, the shortest time after which a deployment counts a disconnected
            // instance as reachable again; a broken connection must have failed by then.
            unacknowledged: Duration::from_secs(2),
        }
    }
}

/// A connection that carries one call at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Payload>,
    /// The socket, to look at what has arrived without reading it.
    socket: Socket,
    /// The bytes that have arrived without the head of a response or a part of its body.
    received: Arc<ReceivedBytes>,
    opened_at: Instant,
}

impl Connection {
    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the connection is not established in time.
    pub async fn connect(addr: SocketAddr, timeouts: &ConnectTimeouts) -> Result<Self, CallError> {
        let stream = timeout(timeouts.connect, TcpStream::connect(addr))
            .await
            .map_err(|_| CallError::NotSent("connect: timed out".into()))?
            .map_err(not_sent)?;
        set_socket_options(&stream, timeouts).map_err(not_sent)?;
        let socket = SockRef::from(&stream).try_clone().map_err(not_sent)?;
        let received = Arc::<ReceivedBytes>::default();
        let stream = PacedStream::with_received(stream, received.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        tokio::spawn(async move {
            // The call that uses the connection reports the error, with its cause.
            driver.await.ok();
        });
        Ok(Self {
            sender,
            socket,
            received,
            opened_at: Instant::now(),
        })
    }

    /// Returns when the connection was established.
    #[must_use]
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns whether the connection can send a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the other end has closed or reset the connection, or has sent something without a
    /// request. [`Self::is_ready`] learns of it only once the runtime has polled the connection, which
    /// takes long where processor time is short.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let peeked = self.socket.peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Waits until the connection can send a request. Returns false if it was closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns once the head of the response is received.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no byte of the request was written, and
    /// [`CallError::Unknown`] otherwise, also if the status is none of a final response or interim
    /// responses have no end.
    pub async fn send(&mut self, request: Request<Payload>) -> Result<IncomingResponse, CallError> {
        self.received.restart(BUFFER_BYTES);
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = poll_fn(|cx| self.received.poll_exceeded(cx)) => {
                let detail = format!("no final response within {BUFFER_BYTES} bytes");
                return Err(CallError::Unknown(detail.into()));
            }
        };
        let response = sent.map_err(|mut e| {
            let written = e.take_message().is_none();
            let detail: Arc<str> = describe(e.error()).into();
            if written {
                CallError::Unknown(detail)
            } else {
                CallError::NotSent(detail)
            }
        })?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let detail = format!("status {status} is none of a final response");
            return Err(CallError::Unknown(detail.into()));
        }
        Ok(response.map(|body| ResponseBody::new(body, self.received.clone())))
    }
}

/// The statuses of final responses (RFC 9110, section 15). Interim ones are not passed on, and no request
/// asks to switch protocols.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Size of a connection's read buffer, in bytes. Also the largest accepted head of a response, with interim
/// responses.
const BUFFER_BYTES: usize = 64 << 10;

/// Sets the socket options of a connection: no delay of small packets, keep-alive probes and the
/// timeout of unacknowledged bytes.
///
/// # Errors
///
/// Returns the error of the operating system, for example if the connection was already closed.
pub fn set_socket_options(stream: &TcpStream, timeouts: &ConnectTimeouts) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(timeouts.keepalive)
        .with_interval(timeouts.keepalive)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeouts.unacknowledged))
}

fn not_sent(error: impl std::fmt::Display) -> CallError {
    CallError::NotSent(error.to_string().into())
}

/// Formats an error with the chain of its causes.
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
