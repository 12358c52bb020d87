//! Relays, and the control port of a whole fleet.

use std::{net::SocketAddr, time::Duration};

use crate::common::{get, load, post, until};
use crate::tokens::{cancel, complete, request, unload};
use caraway_standin::{Fleet, FleetSettings, RelayFaults, RelayMode, Relays};
use caraway_types::Millis;
use caraway_wire::{engine::EngineLoad, list::Listing};
use ntex::http::StatusCode;
use serde_json::{Value, json};

/// Tokens that only a connection that still flows brings.
const FLOWING: u32 = 2_000;
/// Time in which nothing may arrive.
const QUIET: Duration = Duration::from_millis(100);

fn fleet() -> Fleet {
    let settings = json!({
        "engines": [{ "zone": "z1", "engine": { "id": "e1", "step_us": 1000 } }],
        "services": [{ "zone": "z2", "service": { "id": "s1" } }],
        "list": { "lag": 0 },
        "relays": [{ "id": "r1", "target": "e1" }, { "id": "r2", "target": "s1" }],
    });
    let settings: FleetSettings = serde_json::from_value(settings).unwrap();
    Fleet::start(settings.check().unwrap()).unwrap()
}

fn relay(fleet: &Fleet) -> SocketAddr {
    fleet.components().relays["r1"].addr()
}

fn set(fleet: &Fleet, mode: RelayMode) {
    fleet.components().relays["r1"].set_faults(RelayFaults {
        mode,
        ..RelayFaults::default()
    });
}

async fn control(fleet: &Fleet, path: &str, body: Value) -> StatusCode {
    let answer = post(fleet.control(), path, &body, &[]).await;
    answer.unwrap().status
}

/// Tells whether a call gets an answer before the quiet time is over.
async fn answers(addr: SocketAddr) -> bool {
    tokio::time::timeout(QUIET, get(addr, "/load"))
        .await
        .is_ok()
}

#[ntex::test]
async fn a_relay_passes_both_ways() {
    let fleet = fleet();
    let addr = relay(&fleet);
    assert_eq!(load(addr, "l1", "a@v1", 1).await, StatusCode::OK);
    let mut tokens = complete(addr, &request("a", "l1", "p", 5)).await;
    assert_eq!(tokens.status, StatusCode::OK);
    let (chunks, whole) = tokens.rest().await;
    assert_eq!((chunks.len(), whole), (5, true));
    assert_eq!(unload(addr, "l1", 1).await, StatusCode::OK);
}

#[ntex::test]
async fn a_cut_relay_holds_everything_until_it_heals() {
    let fleet = fleet();
    set(&fleet, RelayMode::Cut);
    assert!(!answers(relay(&fleet)).await);
    let addr = relay(&fleet);
    let held = ntex::rt::spawn(async move { get(addr, "/load").await.is_some() });
    set(&fleet, RelayMode::Pass);
    assert!(held.await.unwrap());
}

#[ntex::test]
async fn a_closed_relay_closes_connections() {
    let fleet = fleet();
    let addr = relay(&fleet);
    load(addr, "l1", "a@v1", 1).await;
    let mut tokens = complete(addr, &request("a", "l1", "p", 1_000_000)).await;
    tokens.next().await.unwrap();
    set(&fleet, RelayMode::Closed);
    assert!(!tokens.rest().await.1);
    cancel(fleet.addresses()["e1"], "a").await;
    assert!(get(addr, "/load").await.is_none());
}

#[ntex::test]
async fn a_one_way_relay_carries_requests_out_without_an_answer() {
    let fleet = fleet();
    set(&fleet, RelayMode::OnlyRequests);
    let addr = relay(&fleet);
    let order = ntex::rt::spawn(async move { load(addr, "l1", "a@v1", 1).await });
    until(|| fleet.components().engines["e1"].ledger().orders.len() == 1).await;
    assert!(!answers(addr).await);
    set(&fleet, RelayMode::Pass);
    assert_eq!(order.await.unwrap(), StatusCode::OK);
}

#[ntex::test]
async fn a_relay_that_passes_only_answers_lets_no_request_out() {
    let fleet = fleet();
    let addr = relay(&fleet);
    load(addr, "l1", "a@v1", 1).await;
    let mut tokens = complete(addr, &request("a", "l1", "p", 1_000_000)).await;
    tokens.next().await.unwrap();
    set(&fleet, RelayMode::OnlyAnswers);
    for _ in 0..20 {
        tokens.next().await.unwrap();
    }
    assert!(!answers(addr).await);
}

#[ntex::test]
async fn a_delayed_relay_holds_data_for_the_delay() {
    let fleet = fleet();
    let delay = |delay| {
        fleet.components().relays["r1"].set_faults(RelayFaults {
            delay,
            ..RelayFaults::default()
        });
    };
    delay(Millis::new(3_600_000));
    assert!(!answers(relay(&fleet)).await);
    delay(Millis::new(5));
    assert!(get(relay(&fleet), "/load").await.is_some());
}

#[ntex::test]
async fn old_connections_go_silent_while_new_ones_work() {
    let fleet = fleet();
    let addr = relay(&fleet);
    load(addr, "l1", "a@v1", 1).await;
    let mut old = complete(addr, &request("a", "l1", "p", 1_000_000)).await;
    old.next().await.unwrap();
    let silence = json!({ "target": "r1", "faults": { "silence": true } });
    let status = control(&fleet, "/control/faults", silence).await;
    assert_eq!(status, StatusCode::OK);
    let mut buffered = 0;
    while let Ok(chunk) = tokio::time::timeout(QUIET, old.next()).await {
        assert!(chunk.is_some(), "the connection stays open");
        buffered += 1;
        assert!(buffered < FLOWING, "the connection is not silent");
    }
    let mut new = complete(addr, &request("b", "l1", "p", 3)).await;
    assert!(new.rest().await.1);
}

#[ntex::test]
async fn a_relay_without_a_target_closes_the_connection() {
    let relays = Relays::start().unwrap();
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let target = nobody.local_addr().unwrap();
    drop(nobody);
    let relay = relays.add(target, 0).unwrap();
    assert!(get(relay.addr(), "/load").await.is_none());
}

#[ntex::test]
async fn the_control_port_switches_faults_of_each_kind() {
    let fleet = fleet();
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
        let status = control(&fleet, "/control/faults", order).await;
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
        let report: EngineLoad = get(addresses["e1"], "/load").await.unwrap().json();
        if report.incarnation == 2 {
            break;
        }
    }
}

#[ntex::test]
async fn the_control_port_refuses_unknown_targets_and_faults() {
    let fleet = fleet();
    for order in [
        json!({ "target": "nobody", "faults": {} }),
        json!({ "target": "e1", "faults": { "staled": true } }),
        json!({ "target": "e1" }),
    ] {
        let status = control(&fleet, "/control/faults", order).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
}

#[ntex::test]
async fn the_control_port_shows_ledgers_and_changes_the_list() {
    let fleet = fleet();
    load(fleet.addresses()["e1"], "l1", "a@v1", 7).await;
    let ledger = get(fleet.control(), "/control/ledger/e1").await.unwrap();
    let ledger: Value = ledger.json();
    assert_eq!(ledger["orders"][0]["fence"], 7);
    let change = json!({ "leaving": ["e1"], "remove": ["s1"] });
    let status = control(&fleet, "/control/members", change).await;
    assert_eq!(status, StatusCode::OK);
    let list = fleet.addresses()["list"];
    let listing: Listing = get(list, "/v1/instances").await.unwrap().json();
    assert_eq!(listing.members.len(), 1);
    assert!(listing.members[0].leaving);
}

#[test]
fn settings_report_every_bad_id() {
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
