//! What an instance concludes from trouble with endpoints.

use std::time::{Duration, Instant};

use caraway_reach::{Helpers, Reach, ReachSettings, Reachability, Trouble};
use caraway_types::EndpointId;

fn ids<const N: usize>(names: [&str; N]) -> [EndpointId; N] {
    names.map(EndpointId::from)
}

/// Returns the state of an instance that could not connect to two endpoints, and whose probe failed.
fn cut(now: Instant) -> Reachability {
    let mut reachability = Reachability::new(ReachSettings::default());
    for endpoint in &ids(["a", "b"]) {
        reachability.on_trouble(now, endpoint, Trouble::Connect);
    }
    assert!(reachability.try_begin_probe(now));
    reachability.on_probe(now, None);
    reachability
}

/// One endpoint may be silent, or down, by itself: nothing is probed for that.
#[test]
fn trouble_with_one_endpoint_is_no_cut() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    let [a] = ids(["a"]);
    for _ in 0..100 {
        reachability.on_trouble(now, &a, Trouble::Connect);
        reachability.on_trouble(now, &a, Trouble::Answer);
    }
    assert!(!reachability.is_suspect());
    assert!(!reachability.try_begin_probe(now));
    assert_eq!(reachability.reach(now), Reach::Open);
}

/// All endpoints of a service may be down while others serve.
#[test]
fn a_probe_that_succeeds_shows_that_the_trouble_is_the_endpoints_own() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    let [a, b, c] = ids(["a", "b", "c"]);
    for endpoint in [&a, &b] {
        reachability.on_trouble(now, endpoint, Trouble::Connect);
    }
    assert!(reachability.is_suspect(), "until the probe has ended");
    assert!(reachability.try_begin_probe(now));
    assert!(!reachability.try_begin_probe(now), "one probe at a time");
    reachability.on_probe(now, Some(&c));
    assert_eq!(reachability.reach(now), Reach::Open);
    for endpoint in [&a, &b] {
        reachability.on_trouble(now, endpoint, Trouble::Connect);
    }
    assert!(!reachability.is_suspect(), "their trouble is known");
    let later = now + ReachSettings::default().down_validity;
    for endpoint in [&a, &b] {
        reachability.on_trouble(later, endpoint, Trouble::Connect);
    }
    assert!(
        reachability.is_suspect(),
        "the instance may be cut off by now"
    );
}

#[test]
fn a_cut_ends_with_a_probe_or_an_answer_on_a_new_connection() {
    let now = Instant::now();
    let [a, c] = ids(["a", "c"]);
    let mut reachability = cut(now);
    assert_eq!(reachability.reach(now), Reach::Cut);
    assert!(!reachability.try_begin_probe(now), "probes have pauses");
    let later = now + ReachSettings::default().probe_pause;
    assert!(reachability.try_begin_probe(later));
    reachability.on_probe(later, None);
    assert_eq!(reachability.reach(later), Reach::Cut);
    reachability.on_probe(later, Some(&c));
    assert_eq!(reachability.reach(later), Reach::Open);
    assert!(
        !reachability.is_suspect(),
        "nothing is held against endpoints"
    );
    let mut reachability = cut(now);
    reachability.on_connected(later, &a);
    assert_eq!(reachability.reach(later), Reach::Open);
}

/// Connections that were open before may live on while all new ones are refused.
#[test]
fn answers_on_open_connections_do_not_hide_that_no_other_can_be_opened() {
    let now = Instant::now();
    let [a, b] = ids(["a", "b"]);
    let mut reachability = Reachability::default();
    let answer_at = now + Duration::from_millis(1);
    for endpoint in [&a, &b] {
        reachability.on_trouble(now, endpoint, Trouble::Connect);
        reachability.on_answer(answer_at, endpoint);
    }
    assert!(reachability.try_begin_probe(answer_at));
    reachability.on_probe(answer_at, None);
    assert_eq!(reachability.reach(answer_at), Reach::EstablishedOnly);
    let silent_at = answer_at + ReachSettings::default().answer_validity;
    assert_eq!(reachability.reach(silent_at), Reach::Cut);
}

#[test]
fn silence_ends_with_the_next_answer() {
    let now = Instant::now();
    let [a, b] = ids(["a", "b"]);
    let mut reachability = Reachability::default();
    for endpoint in [&a, &b] {
        reachability.on_trouble(now, endpoint, Trouble::Answer);
    }
    assert!(reachability.is_suspect());
    reachability.on_answer(now, &a);
    assert!(!reachability.is_suspect());
}

#[test]
fn requests_go_to_the_helper_with_the_fewest_in_flight() {
    let mut helpers = Helpers::default();
    assert!(helpers.is_empty() && helpers.choose(&[]).is_none());
    let addrs = [1, 2, 3].map(|n| format!("10.0.0.{n}:7000").parse().expect("an address"));
    helpers.set(&"z1".into(), addrs[..2].to_vec());
    helpers.set(&"z2".into(), addrs[1..].to_vec());
    let mut chosen: Vec<_> = (0..6).filter_map(|_| helpers.choose(&[])).collect();
    chosen.sort_unstable();
    assert_eq!(
        chosen,
        [addrs[0], addrs[0], addrs[1], addrs[1], addrs[2], addrs[2]]
    );
    helpers.on_end(addrs[1]);
    assert_eq!(helpers.choose(&[]), Some(addrs[1]));
    assert_eq!(helpers.choose(&addrs), None, "each is tried once");
    helpers.clear();
    assert!(helpers.is_empty());
}
