//! Endless bodies that are read concurrently stay within the shared memory budget.

use caraway_http::{BodyError, Connection, MemoryBudget, Payload, read_body_within};
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LIMIT_BYTES: usize = 1 << 20;
const ALLOWED_BYTES: usize = 3 << 19;

/// Starts a server whose responses have bodies of `bytes` bytes, or endless ones for `None`.
async fn server(bytes: Option<usize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let read = stream.read(&mut request).await;
                assert!(read.is_ok_and(|n| n > 0), "the client sends a request");
                let head = bytes.map_or_else(
                    || "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
                    |n| format!("HTTP/1.1 200 OK\r\nContent-Length: {n}\r\n\r\n"),
                );
                stream
                    .write_all(head.as_bytes())
                    .await
                    .expect("the head is sent");
                let chunk = vec![b'x'; bytes.unwrap_or(1 << 14)];
                // Writes until the client closes the connection.
                while stream.write_all(&chunk).await.is_ok() && bytes.is_none() {}
            });
        }
    });
    addr
}

/// Sends a request and returns the length of the response's body.
async fn fetch_length(
    addr: std::net::SocketAddr,
    budget: &MemoryBudget,
) -> Result<usize, BodyError> {
    let timeouts = caraway_http::ConnectTimeouts::default();
    let mut connection = Connection::connect(addr, &timeouts)
        .await
        .expect("the server accepts");
    let mut request = Request::new(Payload::empty());
    let host = http::HeaderValue::from_static("test");
    request.headers_mut().insert(http::header::HOST, host);
    let answer = connection.send(request).await.expect("a response head");
    let body = read_body_within(answer.into_body(), LIMIT_BYTES, budget).await;
    body.map(|b| b.len())
}

#[tokio::test]
async fn concurrent_bodies_share_the_budget_and_return_it() {
    let addr = server(None).await;
    let budget = MemoryBudget::new(ALLOWED_BYTES);
    let bodies = (0..8).map(|_| fetch_length(addr, &budget));
    let results = futures_util::future::join_all(bodies).await;
    let budget_exceeded = results
        .iter()
        .filter(|r| **r == Err(BodyError::BudgetExceeded));
    let too_large = results.iter().filter(|r| **r == Err(BodyError::TooLarge));
    let (budget_exceeded, too_large) = (budget_exceeded.count(), too_large.count());
    assert_eq!(budget_exceeded + too_large, 8, "{results:?}");
    assert!(budget_exceeded > 0, "the bodies together exceed the budget");
    assert_eq!(budget.available(), ALLOWED_BYTES);
}

#[tokio::test]
async fn small_bodies_are_read_with_an_empty_budget() {
    let addr = server(Some(2000)).await;
    let budget = MemoryBudget::new(0);
    assert_eq!(fetch_length(addr, &budget).await, Ok(2000));
}
