//! Servers that break their answers off, or send what is no answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use caraway_http::{ConnectTimeouts, Connection, Payload, read_body};
use http::Request;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::time::timeout;

const LIMIT_BYTES: usize = 1 << 20;
/// Time within which a request ends; it has no deadline of its own.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Size of an upload that doesn't fit into the buffers of a connection to a server that doesn't read it.
const UPLOAD_BYTES: usize = 4 << 20;
/// Receive buffer of the servers, in bytes.
const RECEIVE_BUFFER: usize = 16 << 10;

/// Starts a server with a small receive buffer that handles each connection with `serve`.
fn start_server(serve: impl Fn(TcpStream) + Send + 'static) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a size");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    socket.listen(16).expect("it listens");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("a bound address");
    thread::spawn(move || listener.incoming().map_while(Result::ok).for_each(serve));
    addr
}

/// Opens a connection and sends a request with this body; returns the status and the body of the answer.
async fn upload(addr: SocketAddr, body: Payload) -> Result<(u16, usize), String> {
    let timeouts = ConnectTimeouts::default();
    let connection = Connection::connect(addr, &timeouts).await;
    let mut connection = connection.expect("the server accepts");
    let mut request = Request::post("/").body(body).expect("a request");
    let host = http::HeaderValue::from_static("test");
    request.headers_mut().insert(http::header::HOST, host);
    let answer = connection.send(request).await.map_err(|e| e.to_string())?;
    let status = answer.status().as_u16();
    let body = read_body(answer.into_body(), LIMIT_BYTES).await;
    body.map(|b| (status, b.len())).map_err(|e| e.to_string())
}

// Guards against: a server answers an upload before it has read it, without a length, and resets the connection
// in the middle of its answer; a failed write of the upload takes the error, and the part counts as complete.
#[tokio::test]
async fn answer_that_is_reset_during_the_upload_is_not_complete() {
    for round in 0..60 {
        let addr = start_server(move |mut stream| {
            let read = stream.read(&mut [0; 1024]).expect("a part of the upload");
            assert!(read > 0);
            let part = b"HTTP/1.1 200 OK\r\n\r\na part of the answer";
            stream.write_all(part).expect("it is sent");
            thread::sleep(Duration::from_micros(200 * round));
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("an option");
        });
        let body = Payload::whole(vec![b'u'; UPLOAD_BYTES].into());
        let answer = upload(addr, body).await;
        assert!(answer.is_err(), "round {round}: {answer:?}");
    }
}

/// Returns the result of a request whose answer begins with this line.
async fn send_for_status(line: &'static str) -> Result<(u16, usize), String> {
    let addr = start_server(move |mut stream| {
        let read = stream.read(&mut [0; 1024]).expect("a request");
        assert!(read > 0);
        let answer = format!("{line}\r\nContent-Length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).expect("it is sent");
    });
    upload(addr, Payload::empty()).await
}

// Guards against: a server in trouble sends a status that the protocol doesn't have, or switches to another protocol
// unasked, and this counts as its answer.
#[tokio::test]
async fn status_that_no_answer_has_is_an_error() {
    for line in [
        "HTTP/1.1 000 ",
        "HTTP/1.1 000 Trouble",
        "HTTP/1.1 099 Trouble",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 Trouble",
        "HTTP/1.1 999 Trouble",
    ] {
        let answer = send_for_status(line).await;
        assert!(answer.is_err(), "{line}: {answer:?}");
    }
    for (line, status) in [
        ("HTTP/1.1 200 OK", 200),
        ("HTTP/1.1 418 Other", 418),
        ("HTTP/1.1 599 Other", 599),
    ] {
        assert_eq!(send_for_status(line).await, Ok((status, 2)), "{line}");
    }
}

// Guards against: a server that sends what is no response, without end, keeps a request and its connection until the
// request's deadline.
#[tokio::test]
async fn endless_bytes_that_are_no_response_are_an_error() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let endless_parts = [
        (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
        (String::new(), "x"),
        (String::new(), "\r\n"),
        ("HTTP/1.1 200 OK\r\n".into(), "X-More: and more\r\n"),
        ("HTTP/1.1 200 OK\r\nX-Long: ".into(), "x"),
        (CHUNKED.into(), "0"),
        (format!("{CHUNKED}2;"), "x"),
        (format!("{CHUNKED}0\r\n"), "X-More: and more\r\n"),
    ];
    for (start, repeated) in endless_parts {
        let name = format!("{start}{repeated}");
        let addr = start_server(move |mut stream| {
            let read = stream.read(&mut [0; 1024]).expect("a request");
            assert!(read > 0);
            let part = repeated.repeat(1 << 10);
            let mut sent = stream.write_all(start.as_bytes());
            while sent.is_ok() {
                sent = stream.write_all(part.as_bytes());
            }
        });
        let answer = timeout(WAIT_LIMIT, upload(addr, Payload::empty())).await;
        let answer = answer.unwrap_or_else(|_| panic!("no end of {name:?}"));
        assert!(answer.is_err(), "{name:?}: {answer:?}");
    }
}

#[tokio::test]
async fn response_after_some_interim_responses_is_complete() {
    let body_len = 300 << 10;
    let addr = start_server(move |mut stream| {
        let read = stream.read(&mut [0; 1024]).expect("a request");
        assert!(read > 0);
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(20);
        let head = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: {body_len}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("it is sent");
        stream.write_all(&vec![b'x'; body_len]).expect("it is sent");
    });
    let answer = upload(addr, Payload::empty()).await;
    assert_eq!(answer, Ok((200, body_len)));
}
