//! Streams of engines whose software has several versions.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use caraway_platform_standin::{ProxyMode, RESUME_ERROR, StoreCopy, StoreMode};
use http::StatusCode;

use crate::harness::{
    FIRST_VERSION, Gateway, MIXED_IDS, Platform, WAIT_LIMIT, call, configuration, has_endpoints,
};

/// Time between events, long enough to break a stream off between two of them.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);
/// Streams that are broken off and taken up again.
const STREAMS: usize = 8;
/// Least number of them that go on.
const MIN_CONTINUED: usize = 7;

fn start_gateway(platform: &Platform, name: &str) -> Gateway {
    let gateway = Gateway::start_as(platform.store_addr, name);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &MIXED_IDS));
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    gateway
}

fn start_platform() -> Platform {
    let platform = Platform::start();
    platform.with_parts(|parts| {
        for engine in &parts.mixed {
            engine.set_event_interval(EVENT_INTERVAL);
        }
    });
    platform
}

fn headers(id: &str, adapter: usize) -> String {
    format!(
        "X-Attempt-Id: {id}\r\nX-Model: base/a{adapter}\r\nX-Token-Count: 10,5\r\n\
         X-Deadline-Ms: 8000\r\n"
    )
}

/// Sends a request and reads its answer until it has this event; returns the open connection.
fn read_until_event(front: SocketAddr, id: &str, adapter: usize, event: u64) -> TcpStream {
    let mut stream = TcpStream::connect(front).expect("a connection");
    stream.set_read_timeout(Some(WAIT_LIMIT)).expect("a time");
    let request = format!(
        "POST /mixed/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\n{}\r\nprompt",
        headers(id, adapter)
    );
    stream.write_all(request.as_bytes()).expect("it is sent");
    let expected = format!("data: {id} {event}\n\n");
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains(&expected) {
        let mut bytes = [0; 1024];
        let len = stream.read(&mut bytes).expect("an event comes in time");
        let text = String::from_utf8_lossy(&answer);
        assert!(len > 0, "{id} ended early: {text}");
        answer.extend_from_slice(&bytes[..len]);
    }
    stream
}

/// Takes a stream up after its first two events; returns the answer.
fn take_up(gateway: &Gateway, id: &str, broken: &str, adapter: usize) -> String {
    let headers = format!(
        "{}Resumes: {broken}\r\nLast-Event-Id: 2\r\n",
        headers(id, adapter)
    );
    call(gateway.front, "POST /mixed/x", &headers, "prompt")
}

/// Returns the number of the engine that ran a request last, `None` if none did.
fn engine_of(platform: &Platform, id: &str) -> Option<usize> {
    let headers = platform.ledger.headers(id)?;
    let engine = headers.get("x-expect-replica")?.to_str().ok()?;
    MIXED_IDS.iter().position(|i| *i == engine)
}

/// Returns the software version of an engine.
fn version_of(engine: usize) -> usize {
    engine / 2
}

/// Begins streams at one instance, loses instances or engines as `lose` does, takes the streams up at
/// the instance that it returns, and checks that they go on at the version that began them.
fn check_take_ups(
    platform: &Platform,
    first: Gateway,
    lose: impl FnOnce(&Platform, Gateway) -> Gateway,
) {
    let ids: Vec<String> = (0..STREAMS).map(|n| format!("s{n}")).collect();
    let open: Vec<TcpStream> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| read_until_event(first.front, id, number % 4, 2))
        .collect();
    let began: Vec<usize> = ids
        .iter()
        .map(|id| engine_of(platform, id).expect("it ran"))
        .collect();
    let gateway = lose(platform, first);
    drop(open);
    let mut continued = 0;
    for (number, broken) in ids.iter().enumerate() {
        let id = format!("t{number}");
        let answer = take_up(&gateway, &id, broken, number % 4);
        if let Some(engine) = engine_of(platform, &id) {
            let (is, was) = (version_of(engine), version_of(began[number]));
            assert_eq!(is, was, "{id} went on at another version");
        }
        if answer.contains(&format!("data: {id} 4\n\n")) {
            continued += 1;
        } else {
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("\"not_run\""), "{answer}");
        }
    }
    assert!(
        continued >= MIN_CONTINUED,
        "{continued} of {STREAMS} went on"
    );
}

// Guards against: a stream whose engine fails is resumed by the gateway at an engine of another
// software version.
#[test]
fn broken_stream_is_resumed_only_at_its_software_version() {
    let platform = start_platform();
    let gateway = start_gateway(&platform, "gate-1");
    for id in ["r1", "r2", "r3"] {
        let caller = thread::spawn({
            let (front, headers) = (gateway.front, headers(id, 1));
            move || call(front, "POST /mixed/x", &headers, "prompt")
        });
        gateway.wait_for("a run", || engine_of(&platform, id).is_some());
        thread::sleep(EVENT_INTERVAL * 2 + EVENT_INTERVAL / 2);
        let began = engine_of(&platform, id).expect("it ran");
        platform.remove_mixed(began);
        platform.with_parts(move |parts| parts.mixed[began].crash());
        caller.join().expect("an answer");
        let ended = engine_of(&platform, id).expect("it ran");
        assert_eq!(version_of(ended), version_of(began), "{id}");
    }
}

// Guards against: a caller takes a stream up at another instance, as its own was killed, and the rest
// comes from another software version.
#[test]
fn stream_of_a_killed_instance_goes_on_at_its_software_version() {
    let platform = start_platform();
    let other = start_gateway(&platform, "gate-2");
    let first = start_gateway(&platform, "gate-1");
    check_take_ups(&platform, first, |_, killed| {
        drop(killed);
        other
    });
}

// Guards against: all instances are killed at once, and those that come back take the versions that
// they see for all that there were.
#[test]
fn streams_go_on_at_their_software_version_after_all_instances_were_killed() {
    let platform = start_platform();
    let first = start_gateway(&platform, "gate-1");
    check_take_ups(&platform, first, |platform, killed| {
        drop(killed);
        start_gateway(platform, "gate-2")
    });
}

// Guards against: the id of a request, which callers choose, is too long for a key of the store, and no
// stream is recorded any more.
#[test]
fn long_request_id_does_not_end_the_records_of_other_streams() {
    let platform = start_platform();
    let first = start_gateway(&platform, "gate-1");
    let long_id = "x".repeat(400);
    for adapter in 0..4 {
        let headers = headers(&long_id, adapter);
        let answer = call(first.front, "POST /mixed/x", &headers, "prompt");
        assert!(answer.contains("id: 4\n"), "{answer}");
    }
    check_take_ups(&platform, first, |platform, killed| {
        drop(killed);
        start_gateway(platform, "gate-2")
    });
}

// Guards against: the engines of the old version have just left, and an instance that starts takes the
// only version that it sees for the one that began a stream.
#[test]
fn stream_of_a_version_that_has_left_does_not_go_on() {
    let platform = start_platform();
    let first = start_gateway(&platform, "gate-1");
    let open: Vec<TcpStream> = (0..STREAMS)
        .map(|n| read_until_event(first.front, &format!("s{n}"), n % 4, 2))
        .collect();
    let began = |n: usize| engine_of(&platform, &format!("s{n}")).expect("it ran");
    let old: Vec<usize> = (0..STREAMS)
        .filter(|n| version_of(began(*n)) == 0)
        .collect();
    assert!(!old.is_empty(), "some began at the old version");
    platform.remove_mixed(0);
    platform.remove_mixed(1);
    first.wait_for("the end of the old version", || {
        first.has_line(1120, "change", "Gone")
    });
    drop(first);
    drop(open);
    let gateway = Gateway::start_as(platform.store_addr, "gate-2");
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    for number in old {
        let id = format!("t{number}");
        let answer = take_up(&gateway, &id, &format!("s{number}"), number % 4);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(engine_of(&platform, &id), None, "{id} ran");
    }
}

/// Lets a stream break off after two events and other engines answer the request that goes on with an
/// error; checks what the caller gets.
fn check_resume_error(status: StatusCode) {
    let platform = start_platform();
    platform.with_parts(move |parts| {
        for engine in &parts.mixed {
            engine.set_resume_error(status);
        }
    });
    let gateway = start_gateway(&platform, "gate-1");
    let mut stream = read_until_event(gateway.front, "s0", 0, 2);
    let began = engine_of(&platform, "s0").expect("it ran");
    platform.with_parts(move |parts| parts.mixed[began].crash());
    let mut rest = Vec::new();
    // The connection may be reset.
    stream.read_to_end(&mut rest).ok();
    let rest = String::from_utf8_lossy(&rest);
    assert!(
        platform.ledger.runs("s0") > 1,
        "another engine was asked to go on"
    );
    for line in RESUME_ERROR.split_whitespace() {
        assert!(!rest.contains(line), "{line} in {rest}");
    }
    assert!(!rest.ends_with("0\r\n\r\n"), "not complete: {rest}");
}

// Guards against: the text of an error, with which an engine answers the request to go on with a stream,
// gets into that stream, or the stream ends as if it were complete.
#[test]
fn error_in_place_of_the_rest_of_a_stream_breaks_it_off() {
    check_resume_error(StatusCode::INTERNAL_SERVER_ERROR);
}

#[test]
fn rejection_in_place_of_the_rest_of_a_stream_breaks_it_off() {
    check_resume_error(StatusCode::BAD_REQUEST);
}

// Guards against: an instance stood still and is cut off from the store while engines of a new version
// take the place of the others, and takes streams that began there for streams of the only version that
// it knows.
#[test]
fn instance_that_missed_a_release_joins_no_streams() {
    let platform = start_platform();
    platform.remove_mixed(2);
    platform.remove_mixed(3);
    let away = Gateway::start_as(platform.store_proxy_addr, "gate-1");
    away.wait_to_hold("gate-1");
    away.wait_for("the endpoints", || has_endpoints(&away, &MIXED_IDS[..2]));
    for adapter in 0..4 {
        let id = format!("before{adapter}");
        let answer = call(
            away.front,
            "POST /mixed/x",
            &headers(&id, adapter),
            "prompt",
        );
        assert!(answer.contains("id: 4\n"), "{answer}");
    }
    let other = Gateway::start_as(platform.store_addr, "gate-2");
    other.wait_for("its session", || other.has_event(1210));
    away.pause();
    platform.with_parts(|parts| parts.store_proxy.set_mode(ProxyMode::Silent));
    other.wait_to_hold("gate-2");
    for number in 0..2 {
        platform.add_mixed(number + 2);
        platform.remove_mixed(number);
    }
    other.wait_for("the new version", || {
        has_endpoints(&other, &MIXED_IDS[2..]) && other.has_line(1120, "change", "Gone")
    });
    let open: Vec<TcpStream> = (0..STREAMS)
        .map(|n| read_until_event(other.front, &format!("s{n}"), n % 4, 2))
        .collect();
    drop(open);

    away.resume();
    for number in 0..STREAMS {
        let id = format!("early{number}");
        let answer = take_up(&away, &id, &format!("s{number}"), number % 4);
        assert_eq!(
            engine_of(&platform, &id),
            None,
            "{id} ran at the former version"
        );
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
    }
    platform.with_parts(|parts| parts.store_proxy.set_mode(ProxyMode::Pass));
    away.wait_for("the next holder", || {
        away.has_line(1210, "holder", "gate-2")
    });
    let continued = (0..STREAMS).filter(|number| {
        let id = format!("late{number}");
        let answer = take_up(&away, &id, &format!("s{number}"), number % 4);
        if let Some(engine) = engine_of(&platform, &id) {
            assert_eq!(version_of(engine), 1, "{id} ran at the former version");
        }
        answer.contains(&format!("data: {id} 4\n\n"))
    });
    let continued = continued.count();
    assert!(
        continued >= MIN_CONTINUED,
        "{continued} of {STREAMS} went on"
    );
}

// Guards against: the store does not take the records of streams that begin at the new version, and an
// instance to which they are unknown takes them for streams of the former one.
#[test]
fn streams_that_begin_without_the_store_go_on_at_their_software_version() {
    let platform = start_platform();
    let first = start_gateway(&platform, "gate-1");
    let other = start_gateway(&platform, "gate-2");
    first.wait_for("the versions", || first.has_event(1130));
    platform.with_parts(|parts| parts.store.set_mode(StoreMode::Away));
    for gateway in [&first, &other] {
        gateway.wait_for("the loss of the store", || gateway.has_event(1110));
    }
    check_take_ups(&platform, first, |platform, killed| {
        drop(killed);
        platform.with_parts(|parts| parts.store.set_mode(StoreMode::Up));
        other.wait_to_hold("gate-2");
        other
    });
}

// Guards against: an engine has restarted with another version under its id, and an instance that has not
// read its new entry begins streams there, which are then taken for streams of the former version.
#[test]
fn streams_of_an_engine_that_changed_its_version_in_place_are_not_joined() {
    let platform = start_platform();
    platform.remove_mixed(2);
    platform.remove_mixed(3);
    let away = Gateway::start_as(platform.store_proxy_addr, "gate-1");
    away.wait_to_hold("gate-1");
    let other = Gateway::start_as(platform.store_addr, "gate-2");
    for gateway in [&away, &other] {
        gateway.wait_for("the endpoints", || has_endpoints(gateway, &MIXED_IDS[..2]));
    }
    platform.with_parts(|parts| parts.store_proxy.set_mode(ProxyMode::Silent));
    away.wait_for("the loss of the store", || away.has_event(1110));
    platform.replace_mixed(0, "v2");
    other.wait_for("the new entry", || other.has_line(1120, "change", "Reborn"));
    let open: Vec<TcpStream> = (0..STREAMS)
        .map(|n| read_until_event(away.front, &format!("s{n}"), n % 4, 2))
        .collect();
    drop(open);
    for number in 0..STREAMS {
        let id = format!("t{number}");
        let began = engine_of(&platform, &format!("s{number}")).expect("it ran");
        let answer = take_up(&other, &id, &format!("s{number}"), number % 4);
        if let Some(engine) = engine_of(&platform, &id) {
            // Both engines had the same version before.
            assert_eq!(engine, began, "{id} went on at another version");
        } else {
            assert!(answer.contains("\"not_run\""), "{answer}");
        }
    }
}

// Guards against: a stream of a new version has no record for a while, which an instance of an older build
// takes for a stream of the former version.
#[test]
fn streams_of_a_version_that_joined_in_place_are_recorded_at_once() {
    let platform = start_platform();
    platform.remove_mixed(2);
    platform.remove_mixed(3);
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &MIXED_IDS[..2]));
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    platform.replace_mixed(0, "v2");
    gateway.wait_for("the new entry", || {
        gateway.has_line(1120, "change", "Reborn")
    });
    let mut at_new = 0;
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let _open = read_until_event(gateway.front, &id, number % 4, 1);
        if engine_of(&platform, &id) != Some(0) {
            continue;
        }
        at_new += 1;
        let read = "GET /v1/log-read?Topic=caraway-streams&part=0&From=0";
        let records = call(platform.store_addr, read, "", "");
        assert!(records.contains(&format!("{id}v2")), "{id} has no record");
    }
    assert!(at_new > 0, "some began at the new version");
}

// Guards against: an instance whose reads of the store have failed, and which gets all records from its
// zone's holder since, counts as cut off from the store for ever and refuses every take-up.
#[test]
fn streams_are_taken_up_where_the_holder_ended_an_outage_of_the_store() {
    let platform = start_platform();
    let first = start_gateway(&platform, "gate-1");
    let other = Gateway::start_as(platform.store_proxy_addr, "gate-2");
    other.wait_for("the endpoints", || has_endpoints(&other, &MIXED_IDS));
    other.wait_for("its session", || other.has_event(1210));
    platform.with_parts(|parts| {
        parts.store.set_mode(StoreMode::Away);
        parts.store_proxy.set_mode(ProxyMode::Silent);
    });
    for gateway in [&first, &other] {
        for topic in ["endpoints", "shared"] {
            gateway.wait_for("the loss of the store", || {
                gateway.has_line(1110, "topic", topic)
            });
        }
    }
    platform.with_parts(|parts| parts.store.set_mode(StoreMode::Up));
    let newest = configuration(FIRST_VERSION + 1, &[]);
    platform.publish("keyed.op", "config", newest);
    other.wait_for("a record from the holder", || {
        other.has_line(1100, "version", FIRST_VERSION + 1)
    });
    // The holder's copy counts as current again some seconds after the outage.
    thread::sleep(Duration::from_secs(5));
    platform.with_parts(|parts| parts.store_proxy.set_mode(ProxyMode::Pass));
    let mut running = None;
    check_take_ups(&platform, first, |_, first| {
        running = Some(first);
        other
    });
}

/// Starts two instances of which the first holds the zone, and copies the store once both know the
/// software versions.
fn start_before_a_copy(platform: &Platform) -> (Gateway, Gateway, StoreCopy) {
    let first = start_gateway(platform, "gate-1");
    first.wait_to_hold("gate-1");
    let second = start_gateway(platform, "gate-2");
    for gateway in [&first, &second] {
        gateway.wait_for("the versions", || gateway.has_event(1130));
    }
    second.wait_for("its session", || second.has_event(1210));
    let copy = platform.with_parts(|parts| parts.store.copy());
    (first, second, copy)
}

// Guards against: the store returns from an older copy, the instance that began streams as the zone's holder
// has ended, and an instance to which the streams are unknown takes them for streams of the former version.
#[test]
fn streams_of_a_killed_holder_go_on_at_their_version_after_the_store_went_back() {
    let platform = start_platform();
    let (first, second, copy) = start_before_a_copy(&platform);
    check_take_ups(&platform, first, |platform, killed| {
        drop(killed);
        platform.with_parts(move |parts| parts.store.restore(copy));
        second.wait_to_hold("gate-2");
        let third = Gateway::start_as(platform.store_addr, "gate-3");
        third.wait_for("the endpoints", || has_endpoints(&third, &MIXED_IDS));
        third.wait_for("its session", || third.has_event(1210));
        third
    });
}

// Guards against: the same, and no instance that knows the origins is left.
#[test]
fn streams_of_unknown_origin_are_refused_after_the_store_went_back() {
    let platform = start_platform();
    let (first, second, copy) = start_before_a_copy(&platform);
    let third = start_gateway(&platform, "gate-3");
    third.wait_for("its session", || third.has_event(1210));
    let open: Vec<TcpStream> = (0..STREAMS)
        .map(|n| read_until_event(first.front, &format!("s{n}"), n % 4, 2))
        .collect();
    drop((first, second));
    platform.with_parts(move |parts| parts.store.restore(copy));
    third.wait_to_hold("gate-3");
    drop(open);
    for number in 0..STREAMS {
        let id = format!("t{number}");
        let answer = take_up(&third, &id, &format!("s{number}"), number % 4);
        assert_eq!(engine_of(&platform, &id), None, "{id} ran");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
    }
}

// Guards against: a stream whose record can't exist, as the request that takes it up names no stream or one
// whose id is no key of the store, is taken for a stream of the former version.
#[test]
fn streams_that_can_have_no_record_are_not_joined() {
    let platform = start_platform();
    let first = start_gateway(&platform, "gate-1");
    let other = start_gateway(&platform, "gate-2");
    for gateway in [&first, &other] {
        gateway.wait_for("the versions", || gateway.has_event(1130));
    }
    let long_id = "x".repeat(400);
    drop(read_until_event(first.front, &long_id, 0, 2));
    for (number, resumes) in [format!("Resumes: {long_id}\r\n"), String::new()]
        .iter()
        .enumerate()
    {
        let id = format!("t{number}");
        let headers = format!("{}{resumes}Last-Event-Id: 2\r\n", headers(&id, 0));
        let answer = call(other.front, "POST /mixed/x", &headers, "prompt");
        assert_eq!(engine_of(&platform, &id), None, "{id} ran");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
}

// Guards against: the store leaves the record of a stream of the new version unanswered, its caller gets
// events all the same, and another instance takes the stream for one of the former version.
#[test]
fn streams_whose_origins_are_not_stored_are_not_joined_elsewhere() {
    let platform = start_platform();
    let (first, _second, _) = start_before_a_copy(&platform);
    let third = start_gateway(&platform, "gate-3");
    third.wait_for("its session", || third.has_event(1210));
    platform.with_parts(|parts| parts.store.set_mode(StoreMode::DropsAppends));
    let mut at_new = 0;
    for number in 0..STREAMS {
        let (id, broken) = (format!("t{number}"), format!("s{number}"));
        drop(read_until_event(first.front, &broken, number % 4, 2));
        let began = engine_of(&platform, &broken).expect("it ran");
        at_new += version_of(began);
        take_up(&third, &id, &broken, number % 4);
        if let Some(engine) = engine_of(&platform, &id) {
            assert_eq!(version_of(engine), version_of(began), "{id} was joined");
        }
    }
    assert!(at_new > 0, "some began at the new version");
}
