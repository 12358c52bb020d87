//! Zone selection: rare adapters share one zone, popular ones stay in the caller's zone, and
//! overloaded zones are excluded.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_placement::{ZoneCandidate, ZoneLoad, ZoneSelector, ZoneSelectorSettings};
use caraway_routes::ModelRef;
use caraway_types::ZoneId;

fn model(number: usize) -> ModelRef {
    ModelRef {
        model: "m".into(),
        adapter: Some(format!("a{number}").into()),
    }
}

fn zones(pressures: [f64; 3]) -> Vec<ZoneCandidate> {
    let names = ["a", "b", "c"];
    names
        .into_iter()
        .zip(pressures)
        .map(|(name, pressure)| ZoneCandidate {
            zone: name.into(),
            endpoints: 3,
            pressure,
            load: None,
            crossing: Duration::ZERO,
        })
        .collect()
}

fn own() -> ZoneId {
    "a".into()
}

fn choose(
    selector: &mut ZoneSelector,
    now: Instant,
    number: usize,
    zones: &[ZoneCandidate],
) -> String {
    let zone = selector.choose(now, &model(number), &own(), 2, zones);
    zone.expect("a zone is usable").to_string()
}

#[test]
fn all_instances_map_a_rare_adapter_to_the_same_zone() {
    let now = Instant::now();
    let balanced = zones([5.0, 5.0, 5.0]);
    let mut counts = [0; 3];
    for number in 0..300 {
        let mut first = ZoneSelector::new(ZoneSelectorSettings::default());
        let mut second = ZoneSelector::new(ZoneSelectorSettings::default());
        let zone = choose(&mut first, now, number, &balanced);
        assert_eq!(zone, choose(&mut second, now, number, &balanced));
        counts[["a", "b", "c"]
            .iter()
            .position(|z| *z == zone)
            .expect("one of the zones")] += 1;
    }
    assert!(counts.iter().all(|c| (70..=130).contains(c)), "{counts:?}");
}

#[test]
fn a_popular_adapter_is_served_in_its_callers_zone() {
    let start = Instant::now();
    let balanced = zones([5.0, 5.0, 5.0]);
    let mut selector = ZoneSelector::new(ZoneSelectorSettings::default());
    let remote = (0..1000)
        .find(|n| choose(&mut selector, start, *n, &balanced) != "a")
        .expect("some adapter maps to another zone");
    let mut now = start;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        choose(&mut selector, now, remote, &balanced);
    }
    assert_eq!(choose(&mut selector, now, remote, &balanced), "a");
    now += Duration::from_mins(1);
    assert_ne!(
        choose(&mut selector, now, remote, &balanced),
        "a",
        "its popularity decays"
    );
}

/// A zone loses two of its three endpoints: popular adapters must go to other zones instead of
/// overloading the last endpoint.
#[test]
fn a_zone_that_lost_endpoints_is_excluded() {
    let start = Instant::now();
    let mut selector = ZoneSelector::new(ZoneSelectorSettings::default());
    let mut now = start;
    for _ in 0..30 {
        now += Duration::from_millis(50);
        choose(&mut selector, now, 1, &zones([5.0, 5.0, 5.0]));
    }
    assert_eq!(choose(&mut selector, now, 1, &zones([5.0, 5.0, 5.0])), "a");
    assert_ne!(
        choose(&mut selector, now, 1, &zones([60.0, 12.0, 12.0])),
        "a"
    );
    let only_own = [zones([60.0, 0.0, 0.0]).remove(0)];
    assert_eq!(
        choose(&mut selector, now, 1, &only_own),
        "a",
        "no other zone is usable"
    );
}

/// Returns zones of 48 slots whose holders state that these many are taken.
fn loaded(taken: [u32; 3]) -> Vec<ZoneCandidate> {
    let mut zones = zones(taken.map(|taken| f64::from(taken) / 3.0));
    for (zone, taken) in zones.iter_mut().zip(taken) {
        zone.load = Some(ZoneLoad {
            expected_wait: Duration::ZERO,
            free_slots: 48 - taken as usize,
        });
        zone.crossing = Duration::from_millis(3);
    }
    zones
}

// Guards against: the load that holders state moves requests although every zone has free slots, or where
// a holder of another build states none.
#[test]
fn zones_with_free_slots_or_an_unknown_load_are_chosen_as_before() {
    let now = Instant::now();
    let calm = loaded([24, 5, 0]);
    let mut partly = loaded([48, 0, 0]);
    partly[2].load = None;
    for stated in [calm, partly] {
        let mut unstated = stated.clone();
        for zone in &mut unstated {
            zone.load = None;
        }
        let mut first = ZoneSelector::new(ZoneSelectorSettings::default());
        let mut second = ZoneSelector::new(ZoneSelectorSettings::default());
        for number in (0..300).chain([1; 30]) {
            let zone = choose(&mut first, now, number, &stated);
            assert_eq!(
                zone,
                choose(&mut second, now, number, &unstated),
                "{number}"
            );
        }
    }
}

// Guards against: requests wait in a full zone while others have free slots, or all requests of a full
// zone go to one other at once.
#[test]
fn requests_leave_a_full_zone_for_all_that_have_room() {
    let mut full = loaded([48, 0, 0]);
    full[0].load = Some(ZoneLoad {
        expected_wait: Duration::from_millis(400),
        free_slots: 0,
    });
    let mut selector = ZoneSelector::new(ZoneSelectorSettings::default());
    let now = Instant::now();
    let popular = ModelRef {
        model: "m".into(),
        adapter: None,
    };
    let mut counts = HashMap::new();
    for _ in 0..300 {
        let zone = selector.choose(now, &popular, &own(), 2, &full);
        *counts.entry(zone.expect("a zone").to_string()).or_insert(0) += 1;
    }
    assert!(counts["b"] > 100 && counts["c"] > 100, "{counts:?}");
    let only_own = [full.remove(0)];
    assert_eq!(choose(&mut selector, now, 1, &only_own), "a");
}

/// A zone whose requests wait for loads of adapters has free slots. Sending them to other zones only moves the
/// loads there: on a small deployment, 0.01 more of all requests were not served and more adapters were loaded.
#[test]
fn requests_that_wait_for_loads_do_not_leave_their_zone() {
    let now = Instant::now();
    let calm = loaded([8, 8, 8]);
    let mut loading = calm.clone();
    for zone in &mut loading {
        let wait = Duration::from_millis(if *zone.zone == *"a" { 400 } else { 0 });
        zone.load.as_mut().expect("it is stated").expected_wait = wait;
    }
    for number in 0..300 {
        let zone = choose(&mut ZoneSelector::default(), now, number, &calm);
        let other = choose(&mut ZoneSelector::default(), now, number, &loading);
        assert_eq!(zone, other, "adapter {number}");
    }
}
