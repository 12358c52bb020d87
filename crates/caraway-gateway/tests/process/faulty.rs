//! Endpoints and peers that send what is no answer, too much, too little or too late.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use caraway_platform_standin::registry_entry;

use crate::standin::{Gateway, PATIENCE, Platform, call, has_endpoints};

/// Requests at once.
const CROWD: usize = 200;
/// Memory of the smallest instances of the deployments, in KB.
const SMALLEST_KB: u64 = 160 << 10;

/// What a faulty endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Its head does not end.
    EndlessHead,
    /// Its body does not end.
    EndlessBody,
    /// It answers, and sends the same answer once more a little later.
    LateCopy,
}

/// Serves connections with a fault.
fn faulty(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve(stream, fault));
        }
    });
    addr
}

/// Serves requests until the other end closes.
fn serve(mut stream: TcpStream, fault: Fault) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut id = String::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some(value) = line.strip_prefix("x-attempt-id:") {
                value.trim().clone_into(&mut id);
            }
            if line == "\r\n" {
                break;
            }
        }
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {id}\r\n");
        match fault {
            Fault::EndlessHead => {
                stream.write_all(head.as_bytes()).ok()?;
                loop {
                    stream.write_all(b"X-More: and more\r\n").ok()?;
                }
            }
            Fault::EndlessBody => {
                stream.write_all(head.as_bytes()).ok()?;
                stream.write_all(b"\r\n").ok()?;
                let chunk = [b'x'; 1 << 14];
                loop {
                    stream.write_all(&chunk).ok()?;
                }
            }
            Fault::LateCopy => {
                let answer = format!("{head}Content-Length: {}\r\n\r\n{id}", id.len());
                stream.write_all(answer.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(40));
                stream.write_all(answer.as_bytes()).ok()?;
            }
        }
    }
}

/// Starts a gateway whose service `pair` has one sound and one faulty endpoint.
fn gateway(platform: &Platform, fault: Fault) -> Gateway {
    let listed = registry_entry("pair", "z1", faulty(fault), 2, None);
    platform.publish("keyed.servers", "p-2", listed);
    let gateway = Gateway::start(platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    gateway
}

fn ask(front: SocketAddr, id: &str) -> String {
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
    call(front, "GET /pair/x", &headers, "")
}

/// Sends many requests at once, half of which meet the faulty endpoint.
fn crowd(gateway: &Gateway) -> Vec<String> {
    let front = gateway.front;
    let callers: Vec<_> = (0..CROWD)
        .map(|number| thread::spawn(move || ask(front, &format!("r{number}"))))
        .collect();
    let ended = callers.into_iter().map(|c| c.join().expect("an end"));
    ended.collect()
}

/// Returns the most memory that a process had, in KB.
fn peak_kb(gateway: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", gateway.child.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().next());
    kb.expect("a figure").parse().expect("a number")
}

#[test]
fn bodies_without_end_take_bounded_memory() {
    let platform = Platform::start();
    let gateway = gateway(&platform, Fault::EndlessBody);
    let answers = crowd(&gateway);
    let served = answers.iter().filter(|a| a.starts_with("HTTP/1.1 200"));
    assert!(served.count() > 0, "the sound endpoint serves");
    for answer in &answers {
        assert!(answer.starts_with("HTTP/1.1 "), "each gets an answer");
        assert!(!answer.contains("xxxx"), "nothing of it is passed on");
    }
    let peak = peak_kb(&gateway);
    assert!(peak < SMALLEST_KB, "{peak} KB");
}

#[test]
fn heads_without_end_take_bounded_memory() {
    let platform = Platform::start();
    let gateway = gateway(&platform, Fault::EndlessHead);
    let answers = crowd(&gateway);
    assert!(answers.iter().all(|a| a.starts_with("HTTP/1.1 ")));
    let peak = peak_kb(&gateway);
    assert!(peak < SMALLEST_KB, "{peak} KB");
}

#[test]
fn a_late_copy_of_an_answer_reaches_nobody() {
    let platform = Platform::start();
    let gateway = gateway(&platform, Fault::LateCopy);
    for number in 0..40 {
        let id = format!("r{number}");
        let answer = ask(gateway.front, &id);
        if answer.starts_with("HTTP/1.1 200") {
            assert!(answer.ends_with(&format!("\r\n\r\n{id}")), "{answer}");
        }
    }
}

#[test]
fn a_stream_that_only_drips_ends_before_its_deadline() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    platform.act(|parts| parts.engine.stall_streams());
    let headers = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
        X-Deadline-Ms: 60000\r\n";
    let answer = call(gateway.front, "POST /report/x", headers, "prompt");
    assert!(answer.contains("id: 1\ndata: r1 1\n\n"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "it does not look complete");
    gateway.wait_for("the line", || {
        gateway.has_line(1403, "why", "the stream stalled")
    });
}

/// Its pauses are long enough to look for another endpoint, but there is none.
#[test]
fn a_slow_stream_goes_on_where_nothing_else_takes_it() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let pause = Duration::from_millis(1300);
    platform.act(move |parts| parts.engine.set_event_interval(pause));
    let headers = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
        X-Deadline-Ms: 9000\r\n";
    let answer = call(gateway.front, "POST /report/x", headers, "prompt");
    assert!(answer.contains("id: 4\ndata: r1 4\n\n"), "{answer}");
    let headers = headers.replace("r1", "r2");
    let answer = call(gateway.front, "POST /summary/x", &headers, "prompt");
    assert!(answer.contains("id: 4\ndata: r2 4\n\n"), "{answer}");
}

#[test]
fn bytes_that_are_no_frames_end_a_session() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let mut session = TcpStream::connect(gateway.peers).expect("a connection");
    session
        .set_read_timeout(Some(PATIENCE))
        .expect("a timeout can be set");
    let head = "POST /session/z1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    session.write_all(head.as_bytes()).expect("it is sent");
    // A frame of 4 GB, said by its length.
    let frame = "8\r\n\u{7f}\u{7f}\u{7f}\u{7f}abcd\r\n";
    session.write_all(frame.as_bytes()).expect("it is sent");
    // The session's own signs of life would go on otherwise.
    let keeps_on = thread::spawn({
        let mut session = session.try_clone().expect("a handle");
        move || {
            while session.write_all(b"4\r\nmore\r\n").is_ok() {
                thread::sleep(Duration::from_millis(50));
            }
        }
    });
    let mut answer = Vec::new();
    let end = session.read_to_end(&mut answer);
    let is_over = end.map_or_else(
        |e| e.kind() == std::io::ErrorKind::ConnectionReset,
        |_| true,
    );
    assert!(is_over, "{}", String::from_utf8_lossy(&answer));
    keeps_on.join().expect("it ends");
    assert!(call(gateway.ready, "GET /v1/readyz", "", "").starts_with("HTTP/1.1 200"));
}
