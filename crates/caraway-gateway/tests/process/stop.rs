//! A planned stop finishes the requests that were accepted.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use caraway_platform_standin::{Behavior, ProxyMode};
use socket2::{Domain, Socket, Type};

use crate::harness::{Gateway, Platform, call, has_endpoints};

/// Length of a body that exceeds the buffers of a connection and of the daemon.
const LONG_ANSWER_BYTES: usize = 15 << 19;
/// Size of a slow caller's reads and of its receive buffer.
const SLOW_READ_BYTES: usize = 16 << 10;
/// Pause between a slow caller's reads.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);
/// Number of callers that each send one request after the other.
const CALLERS: usize = 8;

fn request(id: &str, connection: &str) -> String {
    format!(
        "GET /pair/x HTTP/1.1\r\nHost: h.example\r\nConnection: {connection}\r\n\
         X-Attempt-Id: {id}\r\nX-Deadline-Ms: 9000\r\n\r\n"
    )
}

/// Connects a caller with a small receive buffer.
fn slow_caller(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(SLOW_READ_BYTES)
        .expect("a size");
    socket.connect(&addr.into()).expect("a connection");
    socket.into()
}

fn start_pair_gateway(platform: &Platform) -> Gateway {
    let gateway = Gateway::start(platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    gateway
}

/// The answer is ready long before the stop, but its caller reads so slowly that the daemon could
/// exit before the last byte is written and truncate the answer.
#[test]
fn slowly_read_answer_is_written_whole_before_the_stop() {
    let platform = Platform::start();
    let mut gateway = start_pair_gateway(&platform);
    platform.with_parts(|parts| {
        for desk in &parts.pair {
            desk.set_behavior(Behavior::RespondBytes(LONG_ANSWER_BYTES));
        }
    });
    let mut caller = slow_caller(gateway.front);
    caller
        .write_all(request("r1", "close").as_bytes())
        .expect("it is sent");
    let mut buffer = [0; SLOW_READ_BYTES];
    let mut read = caller.read(&mut buffer).expect("the answer begins");
    gateway.stop();
    while TcpStream::connect(gateway.front).is_ok() {
        read += caller.read(&mut buffer).expect("it goes on");
        thread::sleep(SLOW_READ_PAUSE);
    }
    thread::sleep(Duration::from_millis(300));
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).expect("the rest comes");
    let total = read + rest.len();
    assert!(total > LONG_ANSWER_BYTES, "{total} bytes");
    let status = gateway.child.wait().expect("the daemon ends");
    assert!(status.success(), "{status}");
}

/// Callers connect and send requests throughout the stop. A request that ran must be answered; at
/// most one per caller, in the daemon's last moment, may go unanswered without having run.
#[test]
fn requests_during_a_stop_are_answered_or_not_run() {
    let platform = Platform::start();
    let mut gateway = start_pair_gateway(&platform);
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (front, stopped) = (gateway.front, stopped.clone());
            thread::spawn(move || {
                let mut unanswered = Vec::new();
                for number in 0.. {
                    let Ok(mut stream) = TcpStream::connect(front) else {
                        break;
                    };
                    if stopped.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("c{caller}-{number}");
                    let sent = stream.write_all(request(&id, "close").as_bytes());
                    let mut answer = Vec::new();
                    let read = stream.read_to_end(&mut answer);
                    if sent.is_ok() && (read.is_err() || answer.is_empty()) {
                        unanswered.push(id);
                    }
                }
                unanswered
            })
        })
        .collect();
    gateway.wait_for("requests", || platform.ledger.requests().len() > 20);
    gateway.stop();
    let status = gateway.child.wait().expect("the daemon ends");
    stopped.store(true, Ordering::Relaxed);
    assert!(status.success(), "{status}");
    for caller in callers {
        let unanswered = caller.join().expect("the caller ends");
        let ran: Vec<_> = unanswered
            .iter()
            .filter(|id| platform.ledger.runs(id) > 0)
            .collect();
        assert!(ran.is_empty(), "{ran:?} ran and got no answer");
        assert!(
            unanswered.len() <= 1,
            "{unanswered:?}: more than one unanswered request"
        );
    }
}

/// Headers of a request whose caller waits far beyond the end of the grace period.
const PATIENT_HEADERS: &str = "X-Model: base/a1\r\nX-Token-Count: 10,5\r\nX-Deadline-Ms: 40000\r\n";

// Guards against: requests that endpoints still work on at the end of the grace period are cut off without
// an answer, so that their callers can't tell what became of them.
#[test]
fn requests_in_flight_at_the_end_of_the_grace_period_are_answered() {
    let platform = Platform::start_proxied();
    let mut gateway = start_pair_gateway(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let mut tries = 0;
    gateway.wait_for("a stream", || {
        tries += 1;
        let headers = format!("X-Attempt-Id: warm{tries}\r\n{PATIENT_HEADERS}");
        let answer = call(gateway.front, "POST /report/x", &headers, "prompt");
        answer.starts_with("HTTP/1.1 200")
    });
    platform.with_parts(|parts| {
        for proxy in &parts.proxies {
            proxy.set_mode(ProxyMode::OneWay);
        }
    });
    let front = gateway.front;
    let callers = ["r1", "r2"].map(|id| {
        thread::spawn(move || {
            let headers = format!("X-Attempt-Id: {id}\r\n{PATIENT_HEADERS}");
            call(front, "POST /report/x", &headers, "prompt")
        })
    });
    gateway.wait_for("the runs", || {
        ["r1", "r2"].iter().all(|id| platform.ledger.runs(id) > 0)
    });
    gateway.stop();
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(answer.contains("\"in_doubt\""), "{answer}");
    }
    let status = gateway.child.wait().expect("the daemon ends");
    assert!(status.success(), "{status}");
}
