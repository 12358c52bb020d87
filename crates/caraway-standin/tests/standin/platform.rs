//! Tests of the stand-ins of log, instance list, service and weight store, and of their faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::common::{Response, get, load, post, wait_until};
use caraway_standin::{
    Engine, EngineSettings, InstanceList, ListFaults, ListSettings, LogFaults, LogService,
    LogSettings, Service, ServiceAnswer, ServiceFaults, ServiceSettings, Store, StoreFaults,
    StoreSettings,
};
use caraway_types::{AdapterRef, Millis};
use caraway_wire::{
    list::{ListEntry, Listing, Role},
    log::{Append, Appended, Page},
    service::{ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER},
};
use ntex::http::StatusCode;

const APPEND_PATH: &str = "/v1/streams/config/append";

fn records(texts: &[&str]) -> Append {
    Append {
        records: texts.iter().map(|t| Arc::from(*t)).collect(),
    }
}

async fn append(log: &LogService, texts: &[&str]) -> Option<Response> {
    post(log.addr(), APPEND_PATH, &records(texts), &[]).await
}

async fn read(log: &LogService, from: u64) -> Page {
    let path = format!("/v1/streams/config/read?from={from}&max=10");
    get(log.addr(), &path).await.unwrap().json()
}

fn texts(page: &Page) -> Vec<&str> {
    page.records.iter().map(|r| &*r.data).collect()
}

#[ntex::test]
async fn the_log_numbers_records_and_drops_old_ones() {
    let log = LogService::start(LogSettings {
        keep_records: 3,
        ..LogSettings::default()
    })
    .unwrap();
    let first: Appended = append(&log, &["a", "b"]).await.unwrap().json();
    assert_eq!((first.first, first.next), (0, 2));
    append(&log, &["c", "d"]).await.unwrap();
    let page = read(&log, 0).await;
    assert_eq!((page.oldest, page.end), (1, 4));
    assert_eq!(texts(&page), ["b", "c", "d"]);
    assert_eq!(texts(&read(&log, 3).await), ["d"]);
    assert!(read(&log, 4).await.records.is_empty());
}

#[ntex::test]
async fn the_log_limits_the_appends_per_second() {
    let log = LogService::start(LogSettings {
        rate: 2,
        ..LogSettings::default()
    })
    .unwrap();
    let mut accepted = 0;
    while append(&log, &["a"]).await.unwrap().status == StatusCode::OK {
        accepted += 1;
    }
    assert!(accepted >= 2);
    assert_eq!(log.page("config").end, accepted);
}

#[ntex::test]
async fn the_log_loses_answers_and_appends() {
    let log = LogService::start(LogSettings::default()).unwrap();
    log.set_faults(LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    });
    assert!(append(&log, &["kept"]).await.is_none());
    assert_eq!(texts(&read(&log, 0).await), ["kept"]);
    log.set_faults(LogFaults {
        drop_appends: 1,
        ..LogFaults::default()
    });
    assert!(append(&log, &["dropped"]).await.is_none());
    assert_eq!(read(&log, 0).await.end, 1);
}

#[ntex::test]
async fn the_log_fails_while_down_and_then_recovers() {
    let log = LogService::start(LogSettings::default()).unwrap();
    log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let answer = append(&log, &["a"]).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    log.set_faults(LogFaults::default());
    assert_eq!(read(&log, 0).await.end, 0);
    assert_eq!(append(&log, &["a"]).await.unwrap().status, StatusCode::OK);
}

fn member(id: &str) -> ListEntry {
    ListEntry {
        id: id.into(),
        role: Role::Entry,
        zone: "z1".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        leaving: false,
    }
}

fn list_settings(lag: Millis) -> ListSettings {
    ListSettings {
        lag,
        ..ListSettings::default()
    }
}

async fn fetch_listing(list: &InstanceList) -> Listing {
    get(list.addr(), "/v1/instances").await.unwrap().json()
}

#[ntex::test]
async fn the_list_lags() {
    let hour = Millis::new(3_600_000);
    let list = InstanceList::start(list_settings(hour), vec![member("e1")]).unwrap();
    list.set(member("e2"));
    list.mark_leaving("e1");
    assert_eq!(fetch_listing(&list).await.members, [member("e1")]);
}

#[ntex::test]
async fn the_list_answers_with_changes_and_goes_down() {
    let no_lag = Millis::new(0);
    let list = InstanceList::start(list_settings(no_lag), vec![member("e1")]).unwrap();
    list.mark_leaving("e1");
    assert!(fetch_listing(&list).await.members[0].leaving);
    list.remove("e1");
    assert!(fetch_listing(&list).await.members.is_empty());
    list.set_faults(ListFaults {
        down: true,
        ..ListFaults::default()
    });
    let answer = get(list.addr(), "/v1/instances").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Posts a call with `key` as its idempotency key and its attempt id.
async fn post_deposit(service: &Service, key: &str) -> Option<Response> {
    let headers = [(IDEMPOTENCY_KEY_HEADER, key), (ATTEMPT_HEADER, key)];
    post(service.addr(), "/deposits?a=1", &key, &headers).await
}

/// Returns the idempotency keys of the executed calls.
fn executed_keys(service: &Service) -> Vec<Arc<str>> {
    let ledger = service.ledger();
    ledger.into_iter().filter_map(|call| call.key).collect()
}

#[ntex::test]
async fn the_service_answers_with_the_call_it_executed() {
    let service = Service::start(ServiceSettings::default()).unwrap();
    let answer: ServiceAnswer = post_deposit(&service, "k1").await.unwrap().json();
    assert_eq!(answer.call, service.ledger()[0]);
    assert_eq!(&*answer.call.path, "/deposits?a=1");
    assert_eq!(answer.call.key.as_deref(), Some("k1"));
}

#[ntex::test]
async fn the_service_loses_and_crosses_answers() {
    let service = Service::start(ServiceSettings::default()).unwrap();
    service.set_faults(ServiceFaults {
        lose_answers: 1,
        cross_answers: 1,
        ..ServiceFaults::default()
    });
    assert!(post_deposit(&service, "k1").await.is_none());
    let crossed: ServiceAnswer = post_deposit(&service, "k2").await.unwrap().json();
    assert_eq!(crossed.call.key.as_deref(), Some("k1"));
    assert_eq!(executed_keys(&service), ["k1".into(), "k2".into()]);
}

#[ntex::test]
async fn the_service_drops_a_call_without_executing_it() {
    let service = Service::start(ServiceSettings::default()).unwrap();
    service.set_faults(ServiceFaults {
        die_early: 1,
        ..ServiceFaults::default()
    });
    assert!(post_deposit(&service, "k1").await.is_none());
    assert!(executed_keys(&service).is_empty());
    assert!(post_deposit(&service, "k1").await.is_some());
}

#[ntex::test]
async fn the_service_executes_a_call_and_never_answers() {
    let service = Service::start(ServiceSettings::default()).unwrap();
    service.set_faults(ServiceFaults {
        silence: 1,
        ..ServiceFaults::default()
    });
    let addr = service.addr();
    let unanswered = ntex::rt::spawn(async move {
        let headers = [(IDEMPOTENCY_KEY_HEADER, "k1")];
        post(addr, "/deposits", &"k1", &headers).await.is_some()
    });
    wait_until(|| executed_keys(&service) == ["k1".into()]).await;
    assert!(post_deposit(&service, "k2").await.is_some());
    drop(unanswered);
}

#[ntex::test]
async fn the_service_refuses_while_down() {
    let service = Service::start(ServiceSettings::default()).unwrap();
    service.set_faults(ServiceFaults {
        down: true,
        ..ServiceFaults::default()
    });
    let answer = post_deposit(&service, "k1").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(service.ledger().is_empty());
}

#[test]
fn the_store_throttles_and_counts_what_exceeds_its_rate() {
    let store = Store::new(StoreSettings {
        rate: 2.0,
        window: Millis::new(1_000),
        ..StoreSettings::default()
    });
    let now = Instant::now();
    let adapter = AdapterRef::new("a", "v1");
    let load_ms = || store.begin_load(now, &adapter).unwrap().as_millis();
    let times = [(); 5].map(|()| load_ms());
    assert_eq!(times, [250, 250, 750, 1_250, 1_750]);
    let ledger = store.ledger();
    assert_eq!((ledger.throttled, ledger.rate_exceeded), (3, 1));
    let later = now + Duration::from_secs(9);
    assert_eq!(
        store.begin_load(later, &adapter),
        Ok(Duration::from_millis(250))
    );
    assert_eq!(store.ledger().rate_exceeded, 1);
}

#[test]
fn loads_beyond_the_transit_limit_take_proportionally_longer() {
    let store = Store::new(StoreSettings {
        rate: 1_000.0,
        burst: 100,
        ..StoreSettings::default()
    });
    let now = Instant::now();
    let adapter = AdapterRef::new("a", "v1");
    let times: Vec<Duration> = (0..32)
        .map(|_| store.begin_load(now, &adapter).unwrap())
        .collect();
    assert!(times[..16].iter().all(|t| t.as_millis() == 250));
    assert_eq!(times[31].as_millis(), 500);
    let ledger = store.ledger();
    assert_eq!((ledger.transit_exceeded, ledger.most_transit), (16, 32));
    for _ in 0..32 {
        store.end_load();
    }
    assert_eq!(store.begin_load(now, &adapter).unwrap().as_millis(), 250);
}

#[ntex::test]
async fn the_store_fails_loads_while_down() {
    let store = Store::new(StoreSettings::default());
    let engine = Engine::start(EngineSettings {
        store: Some(Arc::clone(&store)),
        ..EngineSettings::default()
    })
    .unwrap();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let failed = load(engine.addr(), "l1", "a@v1", 1).await;
    assert_eq!(failed, StatusCode::BAD_GATEWAY);
    store.set_faults(StoreFaults::default());
    assert_eq!(load(engine.addr(), "l1", "a@v1", 1).await, StatusCode::OK);
    let ledger = store.ledger();
    assert_eq!((ledger.loads.len(), ledger.failed), (2, 1));
}
