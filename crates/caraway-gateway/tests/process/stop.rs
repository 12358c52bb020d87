//! A planned stop cuts off nothing that was taken.

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

use caraway_platform_standin::Behavior;
use socket2::{Domain, Socket, Type};

use crate::standin::{Gateway, Platform, has_endpoints};

/// A body that neither the buffers of a connection nor those of the daemon hold whole.
const LONG_BYTES: usize = 15 << 19;
/// What the slow caller reads at a time, and the pause between.
const SLOW_BYTES: usize = 16 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(10);
/// Callers that send one request after the other.
const CALLERS: usize = 8;

fn request(id: &str, connection: &str) -> String {
    format!(
        "GET /pair/x HTTP/1.1\r\nHost: h.example\r\nConnection: {connection}\r\n\
         X-Attempt-Id: {id}\r\nX-Deadline-Ms: 9000\r\n\r\n"
    )
}

/// Connects a caller whose connection holds little that it has not read.
fn slow_caller(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SLOW_BYTES).expect("a size");
    socket.connect(&addr.into()).expect("a connection");
    socket.into()
}

fn gateway_of_pair(platform: &Platform) -> Gateway {
    let gateway = Gateway::start(platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    gateway
}

/// The answer is made long before the stop, but its caller reads it after the daemon would have
/// ended.
#[test]
fn an_answer_that_its_caller_reads_slowly_is_written_whole() {
    let platform = Platform::start();
    let mut gateway = gateway_of_pair(&platform);
    platform.act(|parts| {
        for desk in &parts.pair {
            desk.set_behavior(Behavior::RespondBytes(LONG_BYTES));
        }
    });
    let mut caller = slow_caller(gateway.front);
    caller
        .write_all(request("r1", "close").as_bytes())
        .expect("it is sent");
    let mut some = [0; SLOW_BYTES];
    let mut read = caller.read(&mut some).expect("the answer begins");
    gateway.stop();
    while TcpStream::connect(gateway.front).is_ok() {
        read += caller.read(&mut some).expect("it goes on");
        thread::sleep(SLOW_PAUSE);
    }
    thread::sleep(Duration::from_millis(300));
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).expect("the rest comes");
    let whole = read + rest.len();
    assert!(whole > LONG_BYTES, "{whole} bytes");
    let status = gateway.child.wait().expect("the daemon ends");
    assert!(status.success(), "{status}");
}

/// Callers connect all the while, and send their requests as soon as they are connected.
#[test]
fn requests_that_come_around_a_stop_are_answered_or_not_taken() {
    let platform = Platform::start();
    let mut gateway = gateway_of_pair(&platform);
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (front, over) = (gateway.front, over.clone());
            thread::spawn(move || {
                let mut cut = Vec::new();
                for number in 0.. {
                    let Ok(mut stream) = TcpStream::connect(front) else {
                        break;
                    };
                    if over.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("c{caller}-{number}");
                    let sent = stream.write_all(request(&id, "close").as_bytes());
                    let mut answer = Vec::new();
                    let read = stream.read_to_end(&mut answer);
                    if sent.is_ok() && (read.is_err() || answer.is_empty()) {
                        cut.push(id);
                    }
                }
                cut
            })
        })
        .collect();
    gateway.wait_for("requests", || platform.ledger.requests().len() > 20);
    gateway.stop();
    let status = gateway.child.wait().expect("the daemon ends");
    over.store(true, Ordering::Relaxed);
    assert!(status.success(), "{status}");
    for caller in callers {
        let cut = caller.join().expect("the caller ends");
        let ran: Vec<_> = cut
            .iter()
            .filter(|id| platform.ledger.runs(id) > 0)
            .collect();
        assert!(ran.is_empty(), "{ran:?} ran and were cut off");
        assert!(cut.len() <= 1, "{cut:?}: the daemon's last moment at most");
    }
}
