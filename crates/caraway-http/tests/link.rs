//! Connections against servers that answer too much, too little or nothing.

use std::{net::SocketAddr, time::Duration};

use caraway_http::{Payload, Pool, PoolLimits, read_whole};
use caraway_types::EndpointId;
use caraway_wire::CallError;
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LIMIT_BYTES: usize = 1 << 16;

/// Serves connections one after the other; each request is answered with these bytes.
async fn server(answer: &'static [u8], closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
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

fn name() -> EndpointId {
    "e".into()
}

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let addr = server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false).await;
    let pool = Pool::new(PoolLimits::default());
    for round in 0..3 {
        let mut pooled = pool.take(&name(), addr).await.expect("a connection");
        assert_eq!(pooled.reused, round > 0);
        let answer = pooled.link.send(request()).await.expect("an answer");
        let body = read_whole(answer.into_body(), LIMIT_BYTES).await;
        assert_eq!(body.expect("a body"), "ok");
        assert!(pooled.link.ready().await);
        pool.put(&name(), pooled, None);
    }
}

#[tokio::test]
async fn bytes_after_an_answer_end_the_connection() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
        Content-Length: 2\r\n\r\nno";
    let addr = server(twice, false).await;
    let pool = Pool::new(PoolLimits::default());
    let mut pooled = pool.take(&name(), addr).await.expect("a connection");
    let answer = pooled.link.send(request()).await.expect("an answer");
    let body = read_whole(answer.into_body(), LIMIT_BYTES).await;
    assert_eq!(body.expect("the first answer"), "ok");
    assert!(
        !pooled.link.ready().await,
        "the second answer belongs to no request"
    );
}

#[tokio::test]
async fn an_answer_that_ends_early_is_an_error() {
    let addr = server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true).await;
    let pool = Pool::new(PoolLimits::default());
    let mut pooled = pool.take(&name(), addr).await.expect("a connection");
    let answer = pooled.link.send(request()).await.expect("a head");
    assert!(read_whole(answer.into_body(), LIMIT_BYTES).await.is_err());
}

#[tokio::test]
async fn a_call_without_an_answer_may_have_run() {
    let addr = server(b"", true).await;
    let pool = Pool::new(PoolLimits::default());
    let mut pooled = pool.take(&name(), addr).await.expect("a connection");
    let result = pooled.link.send(request()).await;
    assert!(matches!(result, Err(CallError::Unknown(_))), "{result:?}");
}

#[tokio::test]
async fn a_refused_connection_means_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = closed.local_addr().expect("an address");
    drop(closed);
    let pool = Pool::new(PoolLimits::default());
    let result = pool.take(&name(), addr).await;
    assert!(result.is_err_and(|e| e.not_sent()));
}

#[tokio::test(start_paused = true)]
async fn idle_connections_are_forgotten_in_time() {
    let addr = server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false).await;
    let pool = Pool::new(PoolLimits::default());
    let pooled = pool.take(&name(), addr).await.expect("a connection");
    pool.put(&name(), pooled, Some(Duration::from_secs(1)));
    assert_eq!(pool.len(), 1);
    tokio::time::advance(Duration::from_millis(900)).await;
    pool.sweep();
    assert!(
        pool.is_empty(),
        "used for four fifths of the time that the endpoint names"
    );
}
