//! Instances of another build, which send frames that this one does not know, or garbage.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::harness::{Gateway, Platform, WAIT_LIMIT, call};

/// Events of a frame that was skipped and of an instance that has connected.
const FRAME_SKIPPED: u16 = 1212;
const PEER_CONNECTED: u16 = 1213;
/// Event of a lost session.
const SESSION_LOST: u16 = 1211;

/// Encodes a frame as a later build may, as a chunk of a body.
pub(crate) fn chunk(frame: &Value) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(frame).expect("plain data");
    chunk_of(&body)
}

/// Encodes the body of a frame as a chunk of a body.
fn chunk_of(body: &[u8]) -> Vec<u8> {
    let len = u32::try_from(body.len()).expect("a short frame");
    let mut chunk = format!("{:x}\r\n", body.len() + 4).into_bytes();
    chunk.extend_from_slice(&len.to_be_bytes());
    chunk.extend_from_slice(body);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Opens a session as an instance of a later build.
fn open_session(gateway: &Gateway) -> TcpStream {
    let mut session = TcpStream::connect(gateway.peers).expect("a connection");
    session.set_read_timeout(Some(WAIT_LIMIT)).expect("a time");
    let head = "POST /session/z1 HTTP/1.1\r\nHost: h\r\ncaraway-build: 9.9.9\r\n\
        Transfer-Encoding: chunked\r\n\r\n";
    session.write_all(head.as_bytes()).expect("it is sent");
    let hello = json!({"Hello": {
        "holder": {"instance": "gate-9", "incarnation": 5, "released": false, "era": 0,
            "addr": {"V4": [[127, 0, 0, 1], 9]}, "rack": "r1"},
        "zone": "z1", "weakness": 0.0, "known": [], "era": 0, "shape": [1, {"more": [[[]]]}]}});
    session.write_all(&chunk(&hello)).expect("it is sent");
    session
}

/// Returns a ping of a later build, which the holder answers with a pong that states `sent`.
fn ping(sent: u64) -> Value {
    json!({"Ping": {"served": true, "holds": false, "leaving": false, "sent": sent, "limits": [],
        "cut": false, "mood": "calm"}})
}

/// Reads from a session until its answers contain `text`.
fn read_until(session: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    let mut answer = Vec::new();
    while !answer.windows(text.len()).any(|w| w == text) {
        let mut bytes = [0; 1024];
        let len = session.read(&mut bytes).expect("an answer comes in time");
        let read = String::from_utf8_lossy(&answer);
        assert!(len > 0, "the session ended: {read}");
        answer.extend_from_slice(&bytes[..len]);
    }
    answer
}

// Guards against: a frame with one more field, of an unknown kind or that is malformed ends the session,
// and with it all that the instances tell each other.
#[test]
fn frames_of_a_later_build_are_understood_or_skipped() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let mut session = open_session(&gateway);
    gateway.wait_for("the instance", || {
        gateway.has_line(PEER_CONNECTED, "build", "9.9.9")
    });
    let unknown = json!({"Weather": {"ticket": 1, "wind": [1, 2]}});
    for _ in 0..3 {
        session.write_all(&chunk(&unknown)).expect("it is sent");
    }
    let unknown_unit = json!("Goodbye");
    session
        .write_all(&chunk(&unknown_unit))
        .expect("it is sent");
    // Numbers out of range, and an outcome that is not known.
    let odd = json!({"Ask": {"ticket": -1, "priority": 300}});
    session.write_all(&chunk(&odd)).expect("it is sent");
    let ended = json!({"End": {"ticket": 77, "end": "Evaporated"}});
    session.write_all(&chunk(&ended)).expect("it is sent");
    // Nested too deep, and cut short within the frame.
    let mut deep = vec![0x81, 0xa4];
    deep.extend_from_slice(b"Ping");
    deep.extend(std::iter::repeat_n(0x91, 100_000));
    session.write_all(&chunk_of(&deep)).expect("it is sent");
    let whole = rmp_serde::to_vec_named(&ping(1)).expect("plain data");
    let cut = chunk_of(&whole[..whole.len() - 3]);
    session.write_all(&cut).expect("it is sent");
    // Records of a kind, and in a topic, that are not known.
    for topic in ["stars", "shared"] {
        let value: Vec<u8> = br#"{"comet":{"size":1}}"#.to_vec();
        let records = json!({"Records": {"topic": topic, "complete": false, "from": 0, "next": 1,
            "records": [{"offset": 0, "key": "comet/1", "value": value}], "late": false, "era": 0,
            "color": "red"}});
        session.write_all(&chunk(&records)).expect("it is sent");
    }
    session.write_all(&chunk(&ping(4711))).expect("it is sent");
    // The pong states the time of the ping in four bytes or fewer, by name.
    read_until(&mut session, b"\xa5asked\xcd\x12\x67");
    let skipped = |kind: &str| gateway.has_line(FRAME_SKIPPED, "kind", kind);
    for kind in ["Weather", "Goodbye", "Ask", "Ping"] {
        gateway.wait_for("a line", || skipped(kind));
    }
    assert!(
        !skipped("End") && !skipped("Records"),
        "both are understood"
    );
    assert!(gateway.count(FRAME_SKIPPED) <= 5, "one line a kind");
    assert!(!gateway.has_event(SESSION_LOST), "the session goes on");
    let headers = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
        X-Deadline-Ms: 4000\r\n";
    let answer = call(gateway.front, "POST /draft/x", headers, "prompt");
    assert!(answer.contains("x-server-seal: r1"), "{answer}");
}

// Guards against: an instance that can't be understood gets a new session ten times a second.
#[test]
fn sessions_that_end_at_once_are_opened_again_ever_later() {
    let platform = Platform::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let addr = listener.local_addr().expect("an address");
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            count.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                let mut head = [0; 4096];
                if stream.read(&mut head).ok()? == 0 {
                    return None;
                }
                let answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                    8\r\n\u{7f}\u{7f}\u{7f}\u{7f}abcd\r\n";
                stream.write_all(answer.as_bytes()).ok()?;
                thread::sleep(WAIT_LIMIT);
                Some(())
            });
        }
    });
    let holder = json!({"instance": "gate-9", "incarnation": 1, "addr": addr.to_string(),
        "released": false, "era": 0, "since": "noon"});
    platform.publish("keyed.caraway", "holder/z1", holder);
    let gateway = Gateway::start(&platform);
    gateway.wait_for("a session", || opened.load(Ordering::Relaxed) > 0);
    thread::sleep(Duration::from_secs(4));
    let opened = opened.load(Ordering::Relaxed);
    assert!(opened <= 8, "{opened} sessions in 4 s");
}

// Guards against: in a roll, a zone moves from one instance that is about to be replaced to the next.
#[test]
fn stopping_holder_hands_its_zone_to_an_instance_of_another_build() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.store_addr, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store_addr, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    let mut session = open_session(&first);
    session.write_all(&chunk(&ping(1))).expect("it is sent");
    first.wait_for("the instance", || {
        first.has_line(PEER_CONNECTED, "build", "9.9.9")
    });
    read_until(&mut session, b"asked");
    first.stop();
    first.wait_for("the end of its holding", || first.has_event(1202));
    assert!(
        first.has_line(1202, "successor", "gate-9"),
        "{:?}",
        first.lines
    );
}
