//! Bodies without end take no more memory together than is allowed.

use caraway_http::{Allowance, BodyError, Link, Payload, read_within};
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LIMIT_BYTES: usize = 1 << 20;
const ALLOWED_BYTES: usize = 3 << 19;

/// Serves bodies of this size, or without end.
async fn server(bytes: Option<usize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let read = stream.read(&mut request).await;
                assert!(read.is_ok_and(|n| n > 0), "a request");
                let head = bytes.map_or_else(
                    || "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
                    |n| format!("HTTP/1.1 200 OK\r\nContent-Length: {n}\r\n\r\n"),
                );
                stream.write_all(head.as_bytes()).await.expect("a head");
                let chunk = vec![b'x'; bytes.unwrap_or(1 << 14)];
                // The other end closes it.
                while stream.write_all(&chunk).await.is_ok() && bytes.is_none() {}
            });
        }
    });
    addr
}

async fn body_of(addr: std::net::SocketAddr, allowance: &Allowance) -> Result<usize, BodyError> {
    let limits = caraway_http::ConnectLimits::default();
    let mut link = Link::connect(addr, &limits).await.expect("a connection");
    let mut request = Request::new(Payload::empty());
    let host = http::HeaderValue::from_static("test");
    request.headers_mut().insert(http::header::HOST, host);
    let answer = link.send(request).await.expect("a head");
    let body = read_within(answer.into_body(), LIMIT_BYTES, allowance).await;
    body.map(|b| b.len())
}

#[tokio::test]
async fn many_bodies_share_what_is_allowed_and_give_it_back() {
    let addr = server(None).await;
    let allowance = Allowance::new(ALLOWED_BYTES);
    let bodies = (0..8).map(|_| body_of(addr, &allowance));
    let ends = futures_util::future::join_all(bodies).await;
    let no_room = ends.iter().filter(|e| **e == Err(BodyError::NoRoom));
    let too_large = ends.iter().filter(|e| **e == Err(BodyError::TooLarge));
    let (no_room, too_large) = (no_room.count(), too_large.count());
    assert_eq!(no_room + too_large, 8, "{ends:?}");
    assert!(no_room > 0, "all of them together are more than allowed");
    assert_eq!(allowance.left(), ALLOWED_BYTES);
}

#[tokio::test]
async fn usual_answers_need_no_room() {
    let addr = server(Some(2000)).await;
    let allowance = Allowance::new(0);
    assert_eq!(body_of(addr, &allowance).await, Ok(2000));
}
