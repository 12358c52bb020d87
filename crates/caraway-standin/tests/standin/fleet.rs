//! Tests of the relays, the control port and the settings of a fleet.

use std::{net::SocketAddr, time::Duration};

use crate::common::{get, load, post, wait_until};
use crate::completions::{cancel, completion_request, start_completion, unload};
use caraway_standin::{Fleet, FleetSettings, RelayFaults, RelayMode, Relays};
use caraway_types::Millis;
use caraway_wire::{engine::EngineStatus, list::Listing};
use ntex::http::StatusCode;
use serde_json::{Value, json};

/// Upper bound on the tokens that arrive from buffers after a connection was silenced.
const MAX_BUFFERED_TOKENS: u32 = 2_000;
/// Time without data after which a connection counts as blocked.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// Starts an engine `e1` behind a relay `r1` and a service `s1` behind a relay `r2`.
fn start_fleet() -> Fleet {
    let settings = json!({
        "engines": [{ "zone": "z1", "engine": { "id": "e1", "step_us": 1000 } }],
        "services": [{ "zone": "z2", "service": { "id": "s1" } }],
        "list": { "lag": 0 },
        "relays": [{ "id": "r1", "target": "e1" }, { "id": "r2", "target": "s1" }],
    });
    let settings: FleetSettings = serde_json::from_value(settings).unwrap();
    Fleet::start(settings.check().unwrap()).unwrap()
}

/// Returns the address of the relay in front of the engine.
fn relay_addr(fleet: &Fleet) -> SocketAddr {
    fleet.components().relays["r1"].addr()
}

/// Sets the mode of the relay in front of the engine.
fn set_mode(fleet: &Fleet, mode: RelayMode) {
    fleet.components().relays["r1"].set_faults(RelayFaults {
        mode,
        ..RelayFaults::default()
    });
}

/// Posts to the control port and returns the status.
async fn post_control(fleet: &Fleet, path: &str, body: Value) -> StatusCode {
    let answer = post(fleet.control_addr(), path, &body, &[]).await;
    answer.unwrap().status
}

/// Returns whether a request ends, with or without a response, within the quiet period.
async fn ends_in_time(addr: SocketAddr) -> bool {
    tokio::time::timeout(QUIET_PERIOD, get(addr, "/load"))
        .await
        .is_ok()
}

#[ntex::test]
async fn a_relay_forwards_both_directions() {
    let fleet = start_fleet();
    let addr = relay_addr(&fleet);
    assert_eq!(load(addr, "l1", "a@v1", 1).await, StatusCode::OK);
    let mut tokens = start_completion(addr, &completion_request("a", "l1", "p", 5)).await;
    assert_eq!(tokens.status, StatusCode::OK);
    let (chunks, complete) = tokens.read_to_end().await;
    assert_eq!((chunks.len(), complete), (5, true));
    assert_eq!(unload(addr, "l1", 1).await, StatusCode::OK);
}

#[ntex::test]
async fn a_cut_relay_holds_data_until_the_mode_is_reset() {
    let fleet = start_fleet();
    set_mode(&fleet, RelayMode::Cut);
    assert!(!ends_in_time(relay_addr(&fleet)).await);
    let addr = relay_addr(&fleet);
    let pending = ntex::rt::spawn(async move { get(addr, "/load").await.is_some() });
    set_mode(&fleet, RelayMode::Pass);
    assert!(pending.await.unwrap());
}

#[ntex::test]
async fn a_closed_relay_closes_connections() {
    let fleet = start_fleet();
    let addr = relay_addr(&fleet);
    load(addr, "l1", "a@v1", 1).await;
    let mut tokens = start_completion(addr, &completion_request("a", "l1", "p", 1_000_000)).await;
    tokens.next_token().await.unwrap();
    set_mode(&fleet, RelayMode::Closed);
    assert!(!tokens.read_to_end().await.1);
    cancel(fleet.addresses()["e1"], "a").await;
    assert!(get(addr, "/load").await.is_none());
}

#[ntex::test]
async fn a_relay_that_passes_only_requests_returns_no_answer() {
    let fleet = start_fleet();
    set_mode(&fleet, RelayMode::OnlyRequests);
    let addr = relay_addr(&fleet);
    let order = ntex::rt::spawn(async move { load(addr, "l1", "a@v1", 1).await });
    wait_until(|| fleet.components().engines["e1"].ledger().orders.len() == 1).await;
    assert!(!ends_in_time(addr).await);
    set_mode(&fleet, RelayMode::Pass);
    assert_eq!(order.await.unwrap(), StatusCode::OK);
}

#[ntex::test]
async fn a_relay_that_passes_only_answers_forwards_no_request() {
    let fleet = start_fleet();
    let addr = relay_addr(&fleet);
    load(addr, "l1", "a@v1", 1).await;
    let mut tokens = start_completion(addr, &completion_request("a", "l1", "p", 1_000_000)).await;
    tokens.next_token().await.unwrap();
    set_mode(&fleet, RelayMode::OnlyAnswers);
    for _ in 0..20 {
        tokens.next_token().await.unwrap();
    }
    assert!(!ends_in_time(addr).await);
}

#[ntex::test]
async fn a_delayed_relay_holds_data_for_the_delay() {
    let fleet = start_fleet();
    let delay = |delay| {
        fleet.components().relays["r1"].set_faults(RelayFaults {
            delay,
            ..RelayFaults::default()
        });
    };
    delay(Millis::new(3_600_000));
    assert!(!ends_in_time(relay_addr(&fleet)).await);
    delay(Millis::new(5));
    assert!(get(relay_addr(&fleet), "/load").await.is_some());
}

#[ntex::test]
async fn silence_stops_open_connections_but_not_new_ones() {
    let fleet = start_fleet();
    let addr = relay_addr(&fleet);
    load(addr, "l1", "a@v1", 1).await;
    let mut old = start_completion(addr, &completion_request("a", "l1", "p", 1_000_000)).await;
    old.next_token().await.unwrap();
    let silence = json!({ "target": "r1", "faults": { "silence": true } });
    let status = post_control(&fleet, "/control/faults", silence).await;
    assert_eq!(status, StatusCode::OK);
    let mut buffered = 0;
    while let Ok(chunk) = tokio::time::timeout(QUIET_PERIOD, old.next_token()).await {
        assert!(chunk.is_some(), "the connection stays open");
        buffered += 1;
        assert!(
            buffered < MAX_BUFFERED_TOKENS,
            "the connection is not silent"
        );
    }
    let mut new = start_completion(addr, &completion_request("b", "l1", "p", 3)).await;
    assert!(new.read_to_end().await.1);
}

#[ntex::test]
async fn a_relay_without_a_target_closes_the_connection() {
    let relays = Relays::start().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    drop(listener);
    let relay = relays.add(target, 0).unwrap();
    assert!(get(relay.addr(), "/load").await.is_none());
}

#[ntex::test]
async fn the_control_port_sets_faults_of_each_kind() {
    let fleet = start_fleet();
    let down = json!({ "down": true });
    for (target, faults) in [
        ("e1", json!({ "stalled": true, "restart": true })),
        ("s1", down.clone()),
        ("log", down.clone()),
        ("list", down.clone()),
        ("store", down),
        ("r2", json!({ "mode": "closed", "delay": 5 })),
    ] {
        let order = json!({ "target": target, "faults": faults });
        let status = post_control(&fleet, "/control/faults", order).await;
        assert_eq!(status, StatusCode::OK, "{target}");
    }
    let addresses = fleet.addresses();
    for (id, path) in [
        ("s1", "/status"),
        ("log", "/v1/streams/config/read"),
        ("list", "/v1/instances"),
    ] {
        let answer = get(addresses[id], path).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
    }
    let failed = load(addresses["e1"], "l1", "a@v1", 1).await;
    assert_eq!(failed, StatusCode::BAD_GATEWAY);
    assert!(get(addresses["r2"], "/status").await.is_none());
    loop {
        let report: EngineStatus = get(addresses["e1"], "/load").await.unwrap().json();
        if report.incarnation == 2 {
            break;
        }
    }
}

#[ntex::test]
async fn the_control_port_refuses_unknown_targets_and_faults() {
    let fleet = start_fleet();
    for order in [
        json!({ "target": "nobody", "faults": {} }),
        json!({ "target": "e1", "faults": { "staled": true } }),
        json!({ "target": "e1" }),
    ] {
        let status = post_control(&fleet, "/control/faults", order).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
}

#[ntex::test]
async fn the_control_port_returns_ledgers_and_changes_the_list() {
    let fleet = start_fleet();
    load(fleet.addresses()["e1"], "l1", "a@v1", 7).await;
    let ledger = get(fleet.control_addr(), "/control/ledger/e1")
        .await
        .unwrap();
    let ledger: Value = ledger.json();
    assert_eq!(ledger["orders"][0]["fence"], 7);
    let change = json!({ "leaving": ["e1"], "remove": ["s1"] });
    let status = post_control(&fleet, "/control/members", change).await;
    assert_eq!(status, StatusCode::OK);
    let list = fleet.addresses()["list"];
    let listing: Listing = get(list, "/v1/instances").await.unwrap().json();
    assert_eq!(listing.members.len(), 1);
    assert!(listing.members[0].leaving);
}

#[test]
fn settings_report_every_invalid_id() {
    let settings = json!({
        "engines": [{ "engine": { "id": "log" } }, { "engine": { "id": "" } }],
        "relays": [{ "id": "r" }, { "id": "r" }],
    });
    let settings: FleetSettings = serde_json::from_value(settings).unwrap();
    let findings = settings.check().unwrap_err().to_string();
    let expected = "/engines/0/engine/id: the id log is taken\n\
                    /engines/1/engine/id: an id is missing\n\
                    /relays/1/id: the id r is taken";
    assert_eq!(findings, expected);
}
