//! Endpoints and peers that send endless, stalled, duplicate or malformed data.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use caraway_platform_standin::{Framing, registry_entry};
use serde_json::Value;
use socket2::SockRef;

use crate::harness::{Gateway, Platform, WAIT_LIMIT, call, has_endpoints};

/// Number of concurrent requests.
const CONCURRENT_REQUESTS: usize = 200;
/// Number of concurrent requests to an endpoint whose answers never end.
const ENDLESS_ANSWERS: usize = 16;
/// Time that callers wait for an answer.
const CALLER_DEADLINE: Duration = Duration::from_millis(1500);
/// Size of an upload that takes a while to write, in bytes.
const UPLOAD_BYTES: usize = 3 << 20;
/// Memory of the deployments' smallest instances, in KB.
const MIN_INSTANCE_MEMORY_KB: u64 = 160 << 10;

/// What a faulty endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The head of its answer never ends.
    EndlessHead,
    /// The body of its answer never ends.
    EndlessBody,
    /// It sends interim answers, and never a final one.
    EndlessInterim,
    /// The size of the first chunk of its answer never ends.
    EndlessChunkSize,
    /// It answers, and sends the same answer again 40 ms later.
    LateCopy,
    /// Its answer has no length and ends with its connection.
    UntilClose,
    /// Its answer has no length, and its connection is reset in the middle.
    UntilReset,
    /// It refuses the first request on a connection, runs the later ones, and answers these with the
    /// first refusal; `has_id` is whether refusals name their request.
    RepeatedRefusal { has_id: bool },
    /// It closes the connection in the middle of the head of its answer.
    CutHead,
    /// Its answer has this status.
    Status(&'static str),
}

/// Ids of the requests that a faulty endpoint has run.
type Runs = Arc<Mutex<Vec<String>>>;

/// Starts an endpoint with a fault; returns its address.
fn start_faulty_endpoint(fault: Fault) -> SocketAddr {
    start_recorded_endpoint(fault, &Runs::default())
}

/// Starts an endpoint with a fault, which adds the requests that it runs to `runs`.
fn start_recorded_endpoint(fault: Fault, runs: &Runs) -> SocketAddr {
    let runs = runs.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let runs = runs.clone();
            thread::spawn(move || serve(stream, fault, &runs));
        }
    });
    addr
}

/// Serves requests on a connection until the other end closes it.
fn serve(mut stream: TcpStream, fault: Fault, runs: &Runs) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut refusal = None;
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
            Fault::EndlessInterim => {
                let interim = "HTTP/1.1 102 x\r\n\r\n".repeat(1 << 10);
                loop {
                    stream.write_all(interim.as_bytes()).ok()?;
                }
            }
            Fault::EndlessChunkSize => {
                stream.write_all(head.as_bytes()).ok()?;
                let start = "Transfer-Encoding: chunked\r\n\r\n";
                stream.write_all(start.as_bytes()).ok()?;
                let digits = [b'0'; 1 << 14];
                loop {
                    stream.write_all(&digits).ok()?;
                }
            }
            Fault::LateCopy => {
                let answer = format!("{head}Content-Length: {}\r\n\r\n{id}", id.len());
                stream.write_all(answer.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(40));
                stream.write_all(answer.as_bytes()).ok()?;
            }
            Fault::UntilClose => {
                let answer = format!("{head}\r\n{}", long_body(&id));
                stream.write_all(answer.as_bytes()).ok()?;
                return None;
            }
            Fault::RepeatedRefusal { has_id } => {
                if refusal.is_some() {
                    runs.lock().expect("no panic holds it").push(id.clone());
                }
                let own_id = if has_id {
                    format!("X-Attempt-Id: {id}\r\n")
                } else {
                    String::new()
                };
                let first = refusal.get_or_insert_with(|| {
                    format!(
                        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\
                         {own_id}Content-Length: 0\r\n\r\n"
                    )
                });
                stream.write_all(first.as_bytes()).ok()?;
            }
            Fault::CutHead => {
                stream.write_all(&head.as_bytes()[..head.len() - 5]).ok()?;
                return None;
            }
            Fault::Status(status) => {
                let head = head.replace("200 OK", status);
                let answer = format!("{head}Content-Length: {}\r\n\r\n{id}", id.len());
                stream.write_all(answer.as_bytes()).ok()?;
            }
            Fault::UntilReset => {
                let body = long_body(&id);
                let answer = format!("{head}\r\n{}", &body[..body.len() / 2]);
                stream.write_all(answer.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(20));
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).ok()?;
                return None;
            }
        }
    }
}

/// Returns a body of some length for the answer to a request.
fn long_body(id: &str) -> String {
    id.repeat(200)
}

/// Starts a gateway whose service `pair` has one working and one faulty endpoint.
fn start_gateway(platform: &Platform, fault: Fault) -> Gateway {
    let faulty_entry = registry_entry("pair", "z1", start_faulty_endpoint(fault), 2, None);
    platform.publish("keyed.servers", "p-2", faulty_entry);
    let gateway = Gateway::start(platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    gateway
}

/// Sends a request to the service `pair` and returns the answer.
fn get_pair(front: SocketAddr, id: &str) -> String {
    call_with_deadline(front, "GET /pair/x", id, "")
}

/// Sends a request whose caller waits for [`CALLER_DEADLINE`] and returns the answer.
fn call_with_deadline(front: SocketAddr, line: &str, id: &str, body: &str) -> String {
    let deadline_ms = CALLER_DEADLINE.as_millis();
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    call(front, line, &headers, body)
}

/// Sends many concurrent requests, about half of which go to the faulty endpoint; returns their
/// answers.
fn send_concurrently(gateway: &Gateway) -> Vec<String> {
    let front = gateway.front;
    let callers: Vec<_> = (0..CONCURRENT_REQUESTS)
        .map(|number| thread::spawn(move || get_pair(front, &format!("r{number}"))))
        .collect();
    let answers = callers.into_iter().map(|c| c.join().expect("an end"));
    answers.collect()
}

/// Returns the peak resident memory of the gateway process, in KB.
fn peak_kb(gateway: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", gateway.child.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().next());
    kb.expect("a figure").parse().expect("a number")
}

/// Checks that no request which a faulty endpoint ran is said not to have run, or runs elsewhere.
fn check_repeated_refusals(has_id: bool) {
    let platform = Platform::start();
    let runs = Runs::default();
    let faulty = start_recorded_endpoint(Fault::RepeatedRefusal { has_id }, &runs);
    let entry = registry_entry("pair", "z1", faulty, 2, None);
    platform.publish("keyed.servers", "p-2", entry);
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    let answers: Vec<(String, String)> = (0..60)
        .map(|number| {
            let id = format!("r{number}");
            let answer = call_with_deadline(gateway.front, "POST /order/x", &id, "");
            (id, answer)
        })
        .collect();
    let runs = runs.lock().expect("no panic holds it").clone();
    for (id, answer) in &answers {
        assert!(answer.starts_with("HTTP/1.1 "), "{id}: {answer}");
        if runs.contains(id) {
            assert!(!answer.contains("not_run"), "{id} ran: {answer}");
            assert!(!answer.starts_with("HTTP/1.1 503"), "{id} ran: {answer}");
            assert_eq!(platform.ledger.runs(id), 0, "{id} ran twice");
        }
    }
}

// Guards against: a refusal that an endpoint writes once more on a kept connection is taken for the
// answer to the next request, which then runs twice or is said not to have run.
#[test]
fn repeated_refusal_is_not_taken_for_the_next_answer() {
    check_repeated_refusals(true);
}

// Guards against: the same, where refusals do not name their request.
#[test]
fn repeated_refusal_without_id_is_not_taken_for_the_next_answer() {
    check_repeated_refusals(false);
}

// Guards against: an answer that ends in the middle of its head reaches the caller as a success with
// a short body.
#[test]
fn answer_that_ends_in_its_head_is_not_forwarded() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::CutHead);
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = get_pair(gateway.front, &id);
        let is_whole = answer.ends_with(&format!("\r\n\r\n{id}"));
        assert!(is_whole || !answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    gateway.wait_for("a failed attempt", || gateway.has_event(1403));
}

#[test]
fn endless_bodies_take_bounded_memory() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::EndlessBody);
    let answers = send_concurrently(&gateway);
    let served = answers.iter().filter(|a| a.starts_with("HTTP/1.1 200"));
    assert!(served.count() > 0, "the working endpoint serves requests");
    for answer in &answers {
        assert!(
            answer.starts_with("HTTP/1.1 "),
            "each request gets an answer"
        );
        assert!(
            !answer.contains("xxxx"),
            "no part of the endless body is forwarded"
        );
    }
    let peak = peak_kb(&gateway);
    assert!(peak < MIN_INSTANCE_MEMORY_KB, "{peak} KB");
}

#[test]
fn endless_heads_take_bounded_memory() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::EndlessHead);
    let answers = send_concurrently(&gateway);
    assert!(answers.iter().all(|a| a.starts_with("HTTP/1.1 ")));
    let peak = peak_kb(&gateway);
    assert!(peak < MIN_INSTANCE_MEMORY_KB, "{peak} KB");
}

/// Checks that requests to a working endpoint are answered in time while others wait for an endpoint with this
/// fault.
fn check_others_are_served(fault: Fault) {
    let platform = Platform::start();
    let faulty_entry = registry_entry("flaky", "z1", start_faulty_endpoint(fault), 2, None);
    for id in ["f-1", "f-2"] {
        platform.publish("keyed.servers", id, faulty_entry.clone());
    }
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["f-2", "p-2"]));
    let front = gateway.front;
    let faulty_calls: Vec<_> = (0..ENDLESS_ANSWERS)
        .map(|number| {
            let id = format!("f{number}");
            thread::spawn(move || call_with_deadline(front, "GET /flaky/x", &id, ""))
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    let mut slowest = Duration::ZERO;
    for number in 0..20 {
        let start = Instant::now();
        let answer = get_pair(front, &format!("r{number}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        slowest = slowest.max(start.elapsed());
    }
    for faulty in faulty_calls {
        let answer = faulty.join().expect("an end");
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    }
    assert!(slowest < CALLER_DEADLINE, "{slowest:?}");
    let peak = peak_kb(&gateway);
    assert!(peak < MIN_INSTANCE_MEMORY_KB, "{peak} KB");
}

// Guards against: an endpoint that sends interim answers without end holds up all other requests.
#[test]
fn endless_interim_answers_hold_up_no_other_request() {
    check_others_are_served(Fault::EndlessInterim);
}

// Guards against: the same with a chunk size without end.
#[test]
fn endless_chunk_sizes_hold_up_no_other_request() {
    check_others_are_served(Fault::EndlessChunkSize);
}

#[test]
fn late_copy_of_an_answer_is_not_forwarded() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::LateCopy);
    for number in 0..40 {
        let id = format!("r{number}");
        let answer = get_pair(gateway.front, &id);
        if answer.starts_with("HTTP/1.1 200") {
            assert!(answer.ends_with(&format!("\r\n\r\n{id}")), "{answer}");
        }
    }
}

// Guards against: answers that end with their connection are taken for broken ones.
#[test]
fn answer_that_ends_with_its_connection_is_forwarded_whole() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::UntilClose);
    let mut from_faulty = 0;
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = get_pair(gateway.front, &id);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let is_long = answer.ends_with(&format!("\r\n\r\n{}", long_body(&id)));
        assert!(
            is_long || answer.ends_with(&format!("\r\n\r\n{id}")),
            "{answer}"
        );
        from_faulty += usize::from(is_long);
    }
    assert!(
        from_faulty > 0,
        "some come from the endpoint without lengths"
    );
}

// Guards against: an answer without a length whose connection is reset looks complete to the caller.
#[test]
fn answer_without_length_that_is_reset_is_not_forwarded() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::UntilReset);
    for number in 0..20 {
        let id = format!("r{number}");
        let answer = get_pair(gateway.front, &id);
        let is_whole = answer.ends_with(&format!("\r\n\r\n{id}"));
        assert!(is_whole || !answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(gateway.has_line(1403, "why", "the answer broke off"));
}

// Guards against: an endpoint answers a long upload with a status of success and no length and resets the
// connection while the upload is being written, and the caller gets the part as a complete answer.
#[test]
fn answer_that_is_reset_during_the_upload_is_not_forwarded() {
    let platform = Platform::start();
    let gateway = start_gateway(&platform, Fault::UntilReset);
    let upload = "u".repeat(UPLOAD_BYTES);
    for path in ["pair", "order"] {
        for number in 0..10 {
            let id = format!("{path}-{number}");
            let line = format!("POST /{path}/x");
            let answer = call_with_deadline(gateway.front, &line, &id, &upload);
            let is_whole = answer.ends_with(&format!("\r\n\r\n{id}"));
            assert!(is_whole || !answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    }
    assert!(gateway.has_event(1403), "attempts failed");
}

// Guards against: an endpoint in trouble answers with a status that the protocol doesn't have, or switches to another
// protocol unasked, and the caller gets this as an answer.
#[test]
fn status_that_no_answer_has_is_not_forwarded() {
    for status in ["000 Trouble", "101 Switching Protocols", "600 Trouble"] {
        let platform = Platform::start();
        let gateway = start_gateway(&platform, Fault::Status(status));
        for path in ["pair", "order"] {
            for number in 0..10 {
                let id = format!("{path}-{number}");
                let line = format!("POST /{path}/x");
                let answer = call_with_deadline(gateway.front, &line, &id, "");
                let is_own = answer.starts_with("HTTP/1.1 502") && answer.contains("in_doubt");
                let is_whole = answer.starts_with("HTTP/1.1 200");
                assert!(is_whole || is_own, "{status}: {answer}");
            }
        }
        let lines = gateway.lines.lock().expect("no panic holds it").clone();
        let mut unusable = lines.iter().filter(|l| l["event"] == 1411);
        let says_status = |l: &Value| l["error"].as_str().is_some_and(|e| e.contains("status"));
        assert!(unusable.any(says_status), "{status}: it is logged");
    }
}

// Guards against: a stream that ends with its connection is taken for a broken one, or its connection
// is used again.
#[test]
fn streams_that_end_with_their_connection_are_forwarded_whole() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    platform.with_parts(|parts| parts.engine.set_framing(Framing::UntilClose));
    for id in ["r1", "r2", "r3"] {
        let answer = call(
            gateway.front,
            "POST /report/x",
            &report_headers(id),
            "prompt",
        );
        let last = format!("id: 4\ndata: {id} 4\n\n");
        assert!(answer.contains(&last), "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "complete: {answer}");
        assert_eq!(platform.ledger.runs(id), 1);
    }
    assert!(!gateway.has_event(1403), "no attempt failed");
}

// Guards against: a stream that ends with its connection in the middle of an event looks complete.
#[test]
fn stream_that_ends_inside_an_event_is_broken_off() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    platform.with_parts(|parts| parts.engine.set_framing(Framing::UntilCloseInsideEvent));
    let answer = call(
        gateway.front,
        "POST /report/x",
        &report_headers("r1"),
        "prompt",
    );
    assert!(answer.contains("id: 3\ndata: r1 3\n\n"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "not complete: {answer}");
    assert!(!answer.contains("id: 4"), "only whole events: {answer}");
}

// Guards against: an engine that ends before its first event, without a length or chunks, gives the
// caller an empty answer that looks complete.
#[test]
fn stream_that_ends_without_an_event_is_broken_off() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    platform.with_parts(|parts| parts.engine.set_framing(Framing::UntilCloseWithoutEvent));
    let answer = call(
        gateway.front,
        "POST /report/x",
        &report_headers("r1"),
        "prompt",
    );
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

fn report_headers(id: &str) -> String {
    format!(
        "X-Attempt-Id: {id}\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
         X-Deadline-Ms: 9000\r\n"
    )
}

/// A stalled stream still sends bytes but completes no event; it must end before the caller's
/// deadline.
#[test]
fn stalled_stream_ends_before_its_deadline() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    platform.with_parts(|parts| parts.engine.stall_streams());
    let headers = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
        X-Deadline-Ms: 60000\r\n";
    let answer = call(gateway.front, "POST /report/x", headers, "prompt");
    assert!(answer.contains("id: 1\ndata: r1 1\n\n"), "{answer}");
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "the answer must not look complete"
    );
    gateway.wait_for("the line", || {
        gateway.has_line(1403, "why", "the stream stalled")
    });
}

/// The gaps between its events are long enough to start a takeover, but there is no other endpoint.
/// The stream must go on instead of being cut off.
#[test]
fn slow_stream_continues_if_no_other_endpoint_can_take_it_over() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let pause = Duration::from_millis(1300);
    platform.with_parts(move |parts| parts.engine.set_event_interval(pause));
    let headers = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
        X-Deadline-Ms: 9000\r\n";
    let answer = call(gateway.front, "POST /report/x", headers, "prompt");
    assert!(answer.contains("id: 4\ndata: r1 4\n\n"), "{answer}");
    let headers = headers.replace("r1", "r2");
    let answer = call(gateway.front, "POST /summary/x", &headers, "prompt");
    assert!(answer.contains("id: 4\ndata: r2 4\n\n"), "{answer}");
}

#[test]
fn malformed_frame_ends_a_session() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let mut session = TcpStream::connect(gateway.peers).expect("a connection");
    session
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout can be set");
    let head = "POST /session/z1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    session.write_all(head.as_bytes()).expect("it is sent");
    // The length prefix announces a frame of about 2 GB.
    let frame = "8\r\n\u{7f}\u{7f}\u{7f}\u{7f}abcd\r\n";
    session.write_all(frame.as_bytes()).expect("it is sent");
    // Keeps sending, so that the session doesn't end merely because it is idle.
    let writer = thread::spawn({
        let mut session = session.try_clone().expect("a handle");
        move || {
            while session.write_all(b"4\r\nmore\r\n").is_ok() {
                thread::sleep(Duration::from_millis(50));
            }
        }
    });
    let mut answer = Vec::new();
    let end = session.read_to_end(&mut answer);
    let is_closed = end.map_or_else(
        |e| e.kind() == std::io::ErrorKind::ConnectionReset,
        |_| true,
    );
    assert!(is_closed, "{}", String::from_utf8_lossy(&answer));
    writer.join().expect("it ends");
    assert!(call(gateway.ready, "GET /v1/readyz", "", "").starts_with("HTTP/1.1 200"));
}

// Guards against: an engine spends its time on a prompt that it can't have read before its caller leaves.
#[test]
fn request_that_no_engine_can_answer_in_time_is_not_sent() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let send = |id: &str, own_tokens: u32| {
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Model: base/a7\r\nX-Token-Count: {},5\r\n\
             X-Prompt-Prefix: a1:6300,b2:{own_tokens}\r\nX-Deadline-Ms: 4000\r\n",
            6300 + own_tokens
        );
        call(gateway.front, "POST /report/x", &headers, "prompt")
    };
    let answer = send("r1", 2890);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    for (id, own_tokens) in [("r2", 400_000), ("r3", u32::MAX - 6300)] {
        let answer = send(id, own_tokens);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        assert_eq!(platform.ledger.runs(id), 0);
    }
}
