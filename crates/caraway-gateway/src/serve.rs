//! Listens on addresses and serves HTTP/1.1 connections.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::{Context, Result};
use caraway_http::{ConnectTimeouts, PacedStream, Payload, set_socket_options};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::shared::Shared;

/// Pause after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Largest request head that is read, in bytes; the configured limit is checked later.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("can't listen on {addr}"))
}

/// Serves every connection of `listener` with `handle`. A connection that is idle for
/// `idle_timeout` is closed; `None` sets no timeout.
///
/// When `closing` turns true, the listener is closed at once, and each connection after its current
/// answer. `open_connections` counts a connection until the last byte of its answers is written.
pub(crate) async fn serve<F, R>(
    shared: Rc<Shared>,
    listener: TcpListener,
    idle_timeout: impl Fn() -> Option<Duration> + Clone + 'static,
    closing: watch::Receiver<bool>,
    open_connections: &Rc<Cell<usize>>,
    handle: F,
) where
    F: Fn(Rc<Shared>, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<Payload>> + 'static,
{
    let mut closing_signal = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // New connections are then refused, so that callers try another instance at once.
            _ = closing_signal.wait_for(|c| *c) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        // Setting options fails only on a connection that has already ended.
        if set_socket_options(&stream, &ConnectTimeouts::default()).is_err() {
            continue;
        }
        let (shared, handle) = (shared.clone(), handle.clone());
        let connection = serve_connection(shared, stream, idle_timeout(), closing.clone(), handle);
        let guard = ConnectionGuard::new(open_connections);
        tokio::task::spawn_local(async move {
            connection.await;
            drop(guard);
        });
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(open_connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection<F, R>(
    shared: Rc<Shared>,
    stream: TcpStream,
    idle_timeout: Option<Duration>,
    mut closing: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Rc<Shared>, Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Payload>> + 'static,
{
    let service = service_fn(move |request| {
        let answer = handle(shared.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(idle_timeout);
    let connection = builder.serve_connection(TokioIo::new(PacedStream::new(stream)), service);
    let mut connection = std::pin::pin!(connection);
    let wait_for_close = async {
        // An error means that the sender is gone, so that no signal can come.
        closing.wait_for(|c| *c).await.map(|_| ()).ok()
    };
    let mut wait_for_close = std::pin::pin!(wait_for_close);
    tokio::select! {
        // Errors are not logged: callers close connections at any time, and an affected caller sees
        // the error itself.
        result = connection.as_mut() => result.ok(),
        _ = wait_for_close.as_mut() => {
            connection.as_mut().graceful_shutdown();
            connection.await.ok()
        }
    };
}
