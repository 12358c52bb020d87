//! Endpoints that report in an answer that they drain, or that ask for a pause.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{
    Change, Directory, Endpoint, EndpointState, LoadedModel, MissingPolicy, PauseLimits, Pauses,
};
use caraway_types::EndpointId;
use proptest::prelude::*;

fn endpoint(id: &str, started_ms: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 4,
        state,
        remaining: None,
        started_ms: Some(started_ms),
        software: "v1".into(),
        is_engine: false,
        models: Vec::new(),
    }
}

#[test]
fn ready_entry_does_not_revive_draining_incarnation() {
    let now = Instant::now();
    let id: EndpointId = "e".into();
    let mut directory = Directory::default();
    directory.put(now, endpoint("e", 1, EndpointState::Ready));
    let draining = directory
        .on_draining(now, &id, Some(1))
        .expect("the endpoint was ready");
    assert!(!draining.is_ready());
    assert!(
        directory.on_draining(now, &id, Some(1)).is_none(),
        "a second report changes nothing"
    );
    directory.put(now, endpoint("e", 1, EndpointState::Ready));
    assert!(!directory.get("e").expect("known").is_ready());
    directory.remove(Instant::now(), "e", MissingPolicy::Remove);
    directory.put(now, endpoint("e", 1, EndpointState::Ready));
    assert!(
        !directory.get("e").expect("known").is_ready(),
        "its entry expired and came back"
    );
    let change = directory.put(now, endpoint("e", 2, EndpointState::Ready));
    assert_eq!(change, Change::Reborn);
    assert!(
        directory.get("e").expect("known").is_ready(),
        "a new incarnation"
    );
}

#[test]
fn late_answer_of_earlier_incarnation_does_not_drain_the_next() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(now, endpoint("e", 2, EndpointState::Ready));
    let changed = directory.on_draining(now, &"e".into(), Some(1));
    assert!(changed.is_none());
    assert!(directory.get("e").expect("known").is_ready());
}

// Guards against: an entry counts as known, and isn't forwarded, as an answer has told this instance the same.
#[test]
fn draining_entry_is_significant_after_an_answer_that_said_so() {
    let now = Instant::now();
    let ready = endpoint("e", 1, EndpointState::Ready);
    let draining = endpoint("e", 1, EndpointState::Draining);
    let mut directory = Directory::default();
    assert!(directory.is_significant(&ready), "it is new");
    directory.put(now, ready.clone());
    directory.on_draining(now, &"e".into(), Some(1));
    assert!(
        !directory.is_significant(&ready),
        "the registry lists the same"
    );
    directory.put(now, ready);
    assert!(directory.is_significant(&draining));
    assert_eq!(directory.put(now, draining.clone()), Change::Same);
    assert!(!directory.is_significant(&draining));
    directory.remove(now, "e", MissingPolicy::Remove);
    assert!(directory.is_significant(&draining), "it is listed again");
}

// Guards against: an entry that comes back unchanged after an outage isn't forwarded, as this instance has kept its
// endpoint meanwhile, though others have removed it.
#[test]
fn entry_that_comes_back_is_significant() {
    let now = Instant::now();
    let entry = endpoint("e", 1, EndpointState::Ready);
    let mut directory = Directory::default();
    directory.put(now, entry.clone());
    let kept_until = MissingPolicy::KeepUntil(now + Duration::from_secs(5));
    assert!(!directory.remove(now, "e", kept_until));
    assert!(directory.is_significant(&entry));
    assert_eq!(directory.put(now, entry.clone()), Change::Same);
    assert!(!directory.is_significant(&entry));
}

// Guards against: of the entries that change an endpoint's software version, only some are forwarded.
#[test]
fn entries_with_more_than_other_models_are_significant() {
    let now = Instant::now();
    let entry = endpoint("e", 1, EndpointState::Ready);
    let mut directory = Directory::default();
    directory.put(now, entry.clone());
    let with_models = Endpoint {
        models: vec![LoadedModel {
            model: "base".into(),
            adapters: Vec::new(),
        }],
        ..entry.clone()
    };
    assert!(!directory.is_significant(&with_models));
    let changed = [
        Endpoint {
            software: "v2".into(),
            ..with_models.clone()
        },
        Endpoint {
            slots: 8,
            ..with_models.clone()
        },
        Endpoint {
            addr: ([127, 0, 0, 1], 2).into(),
            ..with_models.clone()
        },
        Endpoint {
            started_ms: Some(2),
            ..with_models
        },
    ];
    for changed in changed {
        assert!(directory.is_significant(&changed), "{changed:?}");
    }
}

#[test]
fn pause_ends_on_time_and_applies_to_one_incarnation() {
    let now = Instant::now();
    let mut pauses = Pauses::new(PauseLimits::default());
    let ready = endpoint("e", 1, EndpointState::Ready);
    let wait = Duration::from_millis(1500);
    pauses.on_answer(now, &"e".into(), Some(1), wait);
    pauses.on_answer(now, &"e".into(), Some(1), wait / 2);
    assert_eq!(pauses.paused_until(now, &ready), Some(now + wait));
    assert_eq!(pauses.paused_until(now + wait, &ready), None);
    let next = endpoint("e", 2, EndpointState::Ready);
    assert_eq!(pauses.paused_until(now, &next), None);
}

#[test]
fn excessive_pause_is_shortened_to_the_limit() {
    let now = Instant::now();
    let limits = PauseLimits::default();
    let mut pauses = Pauses::new(limits);
    let end = pauses.on_answer(now, &"e".into(), None, Duration::MAX);
    assert_eq!(end, now + limits.max_pause);
}

#[test]
fn first_end_is_the_earliest_once_all_endpoints_are_paused() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    let all = ["a", "b"].map(|id| Arc::new(endpoint(id, 1, EndpointState::Ready)));
    assert_eq!(pauses.earliest_end(now, all.iter()), None);
    pauses.on_answer(now, &"a".into(), Some(1), Duration::from_secs(2));
    assert_eq!(
        pauses.earliest_end(now, all.iter()),
        None,
        "one is not paused"
    );
    let end = pauses.on_answer(now, &"b".into(), Some(1), Duration::from_secs(1));
    assert_eq!(pauses.earliest_end(now, all.iter()), Some(end));
}

/// One step of a random history of a registry with three endpoints.
#[derive(Clone, Debug)]
enum Event {
    /// The registry lists an endpoint.
    Entry {
        id: u8,
        started_ms: u64,
        draining: bool,
    },
    /// An entry is missing, after an outage of the registry or without one.
    Removed { id: u8, after_outage: bool },
    /// An endpoint reports in an answer that it drains.
    Draining { id: u8, started_ms: u64 },
    /// An endpoint asks for a pause.
    Pause { id: u8, started_ms: u64, ms: u64 },
    /// Time passes.
    Elapse { ms: u64 },
}

fn events() -> impl Strategy<Value = Event> {
    let (id, started_ms) = (0..3_u8, 1..4_u64);
    prop_oneof![
        (id.clone(), started_ms.clone(), any::<bool>()).prop_map(|(id, started_ms, draining)| {
            Event::Entry {
                id,
                started_ms,
                draining,
            }
        }),
        (id.clone(), any::<bool>())
            .prop_map(|(id, after_outage)| Event::Removed { id, after_outage }),
        (id.clone(), started_ms.clone())
            .prop_map(|(id, started_ms)| Event::Draining { id, started_ms }),
        (id, started_ms, 0..5000_u64).prop_map(|(id, started_ms, ms)| Event::Pause {
            id,
            started_ms,
            ms
        }),
        (0..2000_u64).prop_map(|ms| Event::Elapse { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// In any order of entries, answers and elapsed time, an incarnation that reported that it
    /// drains is never ready again, and one that asked for a pause stays paused until its end.
    #[test]
    fn draining_and_pauses_hold_in_any_order(events in prop::collection::vec(events(), 1..60)) {
        let mut now = Instant::now();
        let mut directory = Directory::default();
        let mut pauses = Pauses::default();
        let mut drained: HashSet<(String, u64)> = HashSet::new();
        let mut pause_ends: HashMap<(String, u64), Instant> = HashMap::new();
        for event in events {
            match event {
                Event::Entry { id, started_ms, draining } => {
                    let id = id.to_string();
                    let state = if draining { EndpointState::Draining } else { EndpointState::Ready };
                    directory.put(now, endpoint(&id, started_ms, state));
                    if draining {
                        drained.insert((id, started_ms));
                    }
                }
                Event::Removed { id, after_outage } => {
                    let until = now + Duration::from_secs(2);
                    let policy = if after_outage { MissingPolicy::KeepUntil(until) } else { MissingPolicy::Remove };
                    directory.remove(now, &id.to_string(), policy);
                }
                Event::Draining { id, started_ms } => {
                    directory.on_draining(now, &id.to_string().into(), Some(started_ms));
                    drained.insert((id.to_string(), started_ms));
                }
                Event::Pause { id, started_ms, ms } => {
                    let wait = Duration::from_millis(ms);
                    pauses.on_answer(now, &id.to_string().into(), Some(started_ms), wait);
                    let end = pause_ends.entry((id.to_string(), started_ms)).or_insert(now);
                    *end = (*end).max(now + wait);
                }
                Event::Elapse { ms } => {
                    now += Duration::from_millis(ms);
                    directory.expire(now);
                }
            }
            for known in directory.all() {
                let started_ms = known.started_ms.expect("every entry has a start time");
                if drained.contains(&(known.id.to_string(), started_ms)) {
                    prop_assert!(!known.is_ready(), "{} drains", known.id);
                }
                let end = pause_ends.get(&(known.id.to_string(), started_ms));
                if end.is_some_and(|end| now < *end) {
                    prop_assert!(pauses.paused_until(now, known).is_some(), "{} is paused", known.id);
                }
            }
        }
    }
}
