//! What endpoints ask for in their answers: that they leave, or that nothing comes for a while.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Change, Directory, Endpoint, EndpointState, Lapse, PauseLimits, Pauses};
use caraway_types::EndpointId;
use proptest::prelude::*;

fn endpoint(id: &str, born: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 4,
        state,
        remaining: None,
        born: Some(born),
        is_engine: false,
        models: Vec::new(),
    }
}

#[test]
fn an_entry_that_still_says_ready_does_not_bring_a_leaving_endpoint_back() {
    let now = Instant::now();
    let id: EndpointId = "e".into();
    let mut directory = Directory::default();
    directory.put(now, endpoint("e", 1, EndpointState::Ready));
    let left = directory.on_leaving(now, &id, Some(1)).expect("news");
    assert!(!left.is_ready());
    assert!(
        directory.on_leaving(now, &id, Some(1)).is_none(),
        "no news the second time"
    );
    directory.put(now, endpoint("e", 1, EndpointState::Ready));
    assert!(!directory.get("e").expect("known").is_ready());
    directory.remove("e", Lapse::Gone);
    directory.put(now, endpoint("e", 1, EndpointState::Ready));
    assert!(
        !directory.get("e").expect("known").is_ready(),
        "its entry lapsed and came back"
    );
    let change = directory.put(now, endpoint("e", 2, EndpointState::Ready));
    assert_eq!(change, Change::Reborn);
    assert!(directory.get("e").expect("known").is_ready(), "a new run");
}

#[test]
fn a_late_answer_of_a_former_run_says_nothing_about_the_next() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(now, endpoint("e", 2, EndpointState::Ready));
    let news = directory.on_leaving(now, &"e".into(), Some(1));
    assert!(news.is_none());
    assert!(directory.get("e").expect("known").is_ready());
}

#[test]
fn a_pause_ends_in_time_and_binds_one_run() {
    let now = Instant::now();
    let mut pauses = Pauses::new(PauseLimits::default());
    let ready = endpoint("e", 1, EndpointState::Ready);
    let wait = Duration::from_millis(1500);
    pauses.on_answer(now, &"e".into(), Some(1), wait);
    pauses.on_answer(now, &"e".into(), Some(1), wait / 2);
    assert_eq!(pauses.until(now, &ready), Some(now + wait));
    assert_eq!(pauses.until(now + wait, &ready), None);
    let next = endpoint("e", 2, EndpointState::Ready);
    assert_eq!(pauses.until(now, &next), None);
}

#[test]
fn absurd_pauses_are_bounded() {
    let now = Instant::now();
    let limits = PauseLimits::default();
    let mut pauses = Pauses::new(limits);
    let until = pauses.on_answer(now, &"e".into(), None, Duration::MAX);
    assert_eq!(until, now + limits.longest);
}

#[test]
fn the_first_end_counts_where_all_are_paused() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    let all = ["a", "b"].map(|id| Arc::new(endpoint(id, 1, EndpointState::Ready)));
    assert_eq!(pauses.first_end(now, all.iter()), None);
    pauses.on_answer(now, &"a".into(), Some(1), Duration::from_secs(2));
    assert_eq!(pauses.first_end(now, all.iter()), None, "one takes work");
    let end = pauses.on_answer(now, &"b".into(), Some(1), Duration::from_secs(1));
    assert_eq!(pauses.first_end(now, all.iter()), Some(end));
}

#[derive(Clone, Debug)]
enum Event {
    Entry { id: u8, born: u64, draining: bool },
    Removed { id: u8, away: bool },
    Leaves { id: u8, born: u64 },
    Pause { id: u8, born: u64, ms: u64 },
    Wait { ms: u64 },
}

fn events() -> impl Strategy<Value = Event> {
    let (id, born) = (0..3_u8, 1..4_u64);
    prop_oneof![
        (id.clone(), born.clone(), any::<bool>()).prop_map(|(id, born, draining)| Event::Entry {
            id,
            born,
            draining
        }),
        (id.clone(), any::<bool>()).prop_map(|(id, away)| Event::Removed { id, away }),
        (id.clone(), born.clone()).prop_map(|(id, born)| Event::Leaves { id, born }),
        (id, born, 0..5000_u64).prop_map(|(id, born, ms)| Event::Pause { id, born, ms }),
        (0..2000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// Entries, answers and time in any order: nothing goes to a run that has said that it leaves,
    /// nor to one that wants nothing yet.
    #[test]
    fn what_endpoints_ask_for_holds_in_any_order(events in prop::collection::vec(events(), 1..60)) {
        let mut now = Instant::now();
        let mut directory = Directory::default();
        let mut pauses = Pauses::default();
        let mut left: HashSet<(String, u64)> = HashSet::new();
        let mut paused: HashMap<(String, u64), Instant> = HashMap::new();
        for event in events {
            match event {
                Event::Entry { id, born, draining } => {
                    let id = id.to_string();
                    let state = if draining { EndpointState::Draining } else { EndpointState::Ready };
                    directory.put(now, endpoint(&id, born, state));
                    if draining {
                        left.insert((id, born));
                    }
                }
                Event::Removed { id, away } => {
                    let until = now + Duration::from_secs(2);
                    let lapse = if away { Lapse::Until(until) } else { Lapse::Gone };
                    directory.remove(&id.to_string(), lapse);
                }
                Event::Leaves { id, born } => {
                    directory.on_leaving(now, &id.to_string().into(), Some(born));
                    left.insert((id.to_string(), born));
                }
                Event::Pause { id, born, ms } => {
                    let wait = Duration::from_millis(ms);
                    pauses.on_answer(now, &id.to_string().into(), Some(born), wait);
                    let until = paused.entry((id.to_string(), born)).or_insert(now);
                    *until = (*until).max(now + wait);
                }
                Event::Wait { ms } => {
                    now += Duration::from_millis(ms);
                    directory.expire(now);
                }
            }
            for known in directory.all() {
                let born = known.born.expect("all have one");
                if left.contains(&(known.id.to_string(), born)) {
                    prop_assert!(!known.is_ready(), "{} leaves", known.id);
                }
                let until = paused.get(&(known.id.to_string(), born));
                if until.is_some_and(|u| now < *u) {
                    prop_assert!(pauses.until(now, known).is_some(), "{} is paused", known.id);
                }
            }
        }
    }
}
