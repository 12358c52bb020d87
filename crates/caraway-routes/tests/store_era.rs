//! What an instance keeps when the platform's store returns from an older copy of itself.

use std::time::{Duration, Instant};

use caraway_routes::{
    Directory, Endpoint, EndpointState, EraTracker, MissingPolicy, OutageDetector, OutageLimits,
};
use caraway_types::StoreEra;
use proptest::prelude::*;

fn entry(id: &str, started_ms: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "desk".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: "z1".into(),
        slots: 4,
        state: EndpointState::Ready,
        remaining: None,
        started_ms: Some(started_ms),
        software: "v1".into(),
        is_engine: false,
        models: Vec::new(),
    }
}

/// The older copy lists an endpoint that has left, or an earlier incarnation of one that serves.
#[test]
fn entries_of_an_older_copy_do_not_replace_what_is_known() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for id in ["left", "restarted", "expired", "serving"] {
        directory.put(now, entry(id, 1));
    }
    directory.remove(now, "left", MissingPolicy::Remove);
    directory.remove(now, "expired", MissingPolicy::KeepUntil(now));
    directory.expire(now);
    directory.put(now, entry("restarted", 2));
    for id in ["left", "restarted", "expired"] {
        assert!(directory.is_outdated(&entry(id, 1)), "{id}");
    }
    assert!(!directory.is_outdated(&entry("serving", 1)));
    assert!(
        !directory.is_outdated(&entry("left", 2)),
        "a later incarnation may serve"
    );
    assert!(!directory.is_outdated(&entry("unknown", 1)));
    directory.put(now, entry("expired", 1));
    assert!(
        !directory.is_outdated(&entry("expired", 1)),
        "it has registered again since"
    );
}

/// Entries that the copy lacks are written again by their endpoints.
#[test]
fn missing_entries_are_kept_for_a_while_after_the_return() {
    let now = Instant::now();
    let limits = OutageLimits::default();
    let mut outage = OutageDetector::new(limits);
    assert_eq!(outage.on_read(now), MissingPolicy::Remove);
    let until = now + limits.grace;
    outage.on_restored(now);
    assert_eq!(outage.on_read(now), MissingPolicy::KeepUntil(until));
    assert_eq!(outage.missing_policy(until), MissingPolicy::Remove);
    let later = until + Duration::from_millis(1);
    assert_eq!(outage.on_read(later), MissingPolicy::Remove);
}

#[test]
fn late_answers_of_an_earlier_era_are_not_used() {
    let mut tracker = EraTracker::default();
    assert!(tracker.on_answer(0, Some(7)), "the first answer");
    assert!(tracker.on_answer(7, Some(8)));
    assert!(!tracker.on_answer(7, Some(7)), "it was given before");
    assert!(!tracker.on_answer(7, None));
    assert!(tracker.on_answer(8, Some(8)));
    tracker.learn(9);
    assert!(
        !tracker.on_answer(8, Some(8)),
        "another instance knows more"
    );
    assert!(tracker.on_answer(9, Some(8)), "a mistake of the store");
    assert_eq!(tracker.newest(), 9);
}

#[test]
fn invalid_eras_are_not_parsed() {
    for text in ["", "soon", "-1", "1.5", "2097152", "99999999999999999999"] {
        assert_eq!(EraTracker::parse(text), None, "{text}");
    }
    assert_eq!(EraTracker::parse(" 12 "), Some(12));
}

/// An answer on its way: the era that was known when the call was made, and the one that it states.
type Answer = (StoreEra, Option<StoreEra>);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    /// In any order of returns of the store, calls and delayed answers, the known era never falls, and
    /// no answer that was given before the latest known return is used.
    #[test]
    fn known_era_never_falls(steps in prop::collection::vec((0..4_u8, 0..8_usize), 1..80)) {
        let mut era = 1;
        let mut tracker = EraTracker::default();
        let mut on_way: Vec<Answer> = Vec::new();
        for (kind, index) in steps {
            let known = tracker.newest();
            match kind {
                0 => era += 1,
                1 => on_way.push((known, Some(era))),
                2 => on_way.push((known, None)),
                _ if on_way.is_empty() => {}
                _ => {
                    let (asked_in, stated) = on_way.swap_remove(index % on_way.len());
                    let is_used = tracker.on_answer(asked_in, stated);
                    let given_in = stated.unwrap_or(asked_in);
                    prop_assert_eq!(is_used, given_in >= known);
                }
            }
            prop_assert!(tracker.newest() >= known && tracker.newest() <= era);
        }
    }
}
