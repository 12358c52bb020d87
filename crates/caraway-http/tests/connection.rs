//! Connections to servers that send too many bytes, too few or none.

use std::{net::SocketAddr, time::Duration};

use caraway_http::{Payload, Pool, PoolTimeouts, read_body};
use caraway_types::EndpointId;
use caraway_wire::CallError;
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LIMIT_BYTES: usize = 1 << 16;

/// Starts a server that accepts one connection at a time and answers each request with these
/// bytes; it closes the connection after the first answer if `closes` is set.
async fn server(answer: &'static [u8], closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                if stream.write_all(answer).await.is_err() || closes {
                    break;
                }
            }
        }
    });
    addr
}

fn request() -> Request<Payload> {
    let mut request = Request::new(Payload::empty());
    let host = http::HeaderValue::from_static("test");
    request.headers_mut().insert(http::header::HOST, host);
    request
}

fn endpoint() -> EndpointId {
    "e".into()
}

#[tokio::test]
async fn connection_is_reused_after_a_complete_response() {
    let addr = server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false).await;
    let pool = Pool::new(PoolTimeouts::default());
    for round in 0..3 {
        let mut pooled = pool
            .take(&endpoint(), addr)
            .await
            .expect("the server accepts");
        assert_eq!(pooled.reused, round > 0);
        let answer = pooled.connection.send(request()).await.expect("a response");
        let body = read_body(answer.into_body(), LIMIT_BYTES).await;
        assert_eq!(body.expect("a complete body"), "ok");
        assert!(pooled.connection.ready().await);
        pool.put(&endpoint(), pooled, None);
    }
}

#[tokio::test]
async fn bytes_after_a_response_close_the_connection() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
        Content-Length: 2\r\n\r\nno";
    let addr = server(twice, false).await;
    let pool = Pool::new(PoolTimeouts::default());
    let mut pooled = pool
        .take(&endpoint(), addr)
        .await
        .expect("the server accepts");
    let answer = pooled.connection.send(request()).await.expect("a response");
    let body = read_body(answer.into_body(), LIMIT_BYTES).await;
    assert_eq!(body.expect("the first response"), "ok");
    assert!(
        !pooled.connection.ready().await,
        "the second response belongs to no request"
    );
}

#[tokio::test]
async fn truncated_response_is_an_error() {
    let addr = server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true).await;
    let pool = Pool::new(PoolTimeouts::default());
    let mut pooled = pool
        .take(&endpoint(), addr)
        .await
        .expect("the server accepts");
    let answer = pooled
        .connection
        .send(request())
        .await
        .expect("a response head");
    assert!(read_body(answer.into_body(), LIMIT_BYTES).await.is_err());
}

#[tokio::test]
async fn request_without_a_response_has_an_unknown_outcome() {
    let addr = server(b"", true).await;
    let pool = Pool::new(PoolTimeouts::default());
    let mut pooled = pool
        .take(&endpoint(), addr)
        .await
        .expect("the server accepts");
    let result = pooled.connection.send(request()).await;
    assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = closed.local_addr().expect("a bound address");
    drop(closed);
    let pool = Pool::new(PoolTimeouts::default());
    let result = pool.take(&endpoint(), addr).await;
    assert!(result.is_err_and(|e| e.not_sent()));
}

/// Returns a pool with one connection, whose server has announced this idle timeout, and the server's address.
async fn pool_with_announced(timeout: Duration) -> (Pool, SocketAddr) {
    let addr = server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false).await;
    let pool = Pool::new(PoolTimeouts::default());
    let pooled = pool
        .take(&endpoint(), addr)
        .await
        .expect("the server accepts");
    pool.put(&endpoint(), pooled, Some(timeout));
    (pool, addr)
}

#[tokio::test(start_paused = true)]
async fn idle_connections_expire_before_the_announced_timeout() {
    let (pool, _) = pool_with_announced(Duration::from_secs(1)).await;
    assert_eq!(pool.len(), 1);
    tokio::time::advance(Duration::from_millis(900)).await;
    pool.sweep();
    assert!(
        pool.is_empty(),
        "the connection expires after 0.8 of the announced timeout"
    );
}

// Guards against: the idle timeout that a server announces overflows the clock, and the panic takes the answer with it.
#[tokio::test(start_paused = true)]
async fn longest_announced_timeout_expires_after_an_hour() {
    let (pool, addr) = pool_with_announced(Duration::from_secs(u64::MAX)).await;
    assert!(pool.has_idle(&endpoint(), addr));
    tokio::time::advance(Duration::from_secs(3601)).await;
    pool.sweep();
    assert!(pool.is_empty());
}

// Guards against: a request is written to a connection whose server has left, and is then in doubt, as the
// runtime has been too short of processor time to poll the connection.
#[tokio::test]
async fn connection_that_ended_while_the_runtime_was_busy_is_not_reused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (leave, left) = std::sync::mpsc::channel::<()>();
    let server = std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = listener.accept().expect("a connection");
        drop(listener);
        let read = stream.read(&mut [0; 4096]).expect("a request");
        assert!(read > 0);
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(answer).expect("it is sent");
        left.recv().expect("the test leaves");
    });
    let pool = Pool::new(PoolTimeouts::default());
    let mut pooled = pool.open(addr).await.expect("the server accepts");
    let answer = pooled.connection.send(request()).await.expect("a response");
    let body = read_body(answer.into_body(), LIMIT_BYTES).await;
    assert_eq!(body.expect("a complete body"), "ok");
    assert!(pooled.connection.ready().await);
    pool.put(&endpoint(), pooled, None);
    leave.send(()).expect("the server runs");
    // The runtime is not polled meanwhile.
    server.join().expect("it ends");
    let taken = pool.take(&endpoint(), addr).await;
    assert!(matches!(taken, Err(CallError::NotSent(_))), "{taken:?}");
}
