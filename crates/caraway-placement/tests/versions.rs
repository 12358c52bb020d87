//! Which copies serve while versions of adapters follow each other.

mod simulation;

use std::time::{Duration, Instant};

use caraway_placement::{
    AnnouncedVersion, AnnouncedVersions, Output, PlacementId, PlacementRequest, Placer,
    PlacerSettings, Report,
};
use caraway_routes::{Change, EngineConfig, Model, ModelRef, TokenCount};
use simulation::{MODEL, SERVICE, SimSettings, Simulation, adapter, endpoint_id, entry};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
/// Time after its successor was announced in which a version may serve.
const GRACE: Duration = Duration::from_secs(3);

// Guards against: a further announcement lets copies serve again that were outdated before.
#[test]
fn further_versions_let_no_outdated_copy_serve_again() {
    let start = Instant::now();
    for interval in [50, 500, 2900, 3100, 5200].map(Duration::from_millis) {
        let mut versions = AnnouncedVersions::default();
        let mut announced_at = Vec::new();
        for number in 0..40 {
            let now = start + interval * number;
            announced_at.push(now);
            let announced = AnnouncedVersion {
                version: u64::from(number),
                since: Some(now),
            };
            assert!(versions.add(now, announced, GRACE));
            assert!(!versions.add(now, announced, GRACE), "known already");
            for (version, at) in (0..).zip(&announced_at[1..]) {
                let may_serve = versions.may_serve(now, version, GRACE);
                assert_eq!(may_serve, now < *at + GRACE, "{version} at {number}");
            }
        }
        assert!(versions.iter().count() < 62, "the history is bounded");
    }
}

fn placer(start: Instant, adapter_slots: u32) -> Placer {
    let engine = EngineConfig {
        slots: 8,
        token_capacity: None,
        adapter_slots,
        memory_mb: 100.0,
        models: vec![Model {
            name: MODEL.into(),
            weight_mb: 90.0,
            adapter_mb: 0.0,
            load_time: 200 * MS,
            disk_load_time: 100 * MS,
        }],
        loads_per_second: 10.0,
    };
    let mut placer = Placer::new(PlacerSettings::default(), start);
    placer.set_engine(&SERVICE.into(), &engine);
    placer.on_endpoint(start, &entry(0, 8, 1, true), Change::New);
    placer
}

fn report(held: &[(ModelRef, u64)]) -> Report {
    Report {
        accepted_orders: 5,
        models: vec![MODEL.into()],
        adapters: held.to_vec(),
        ..Report::default()
    }
}

fn request(placer: &mut Placer, now: Instant, ticket: u64, model: ModelRef) {
    let request = PlacementRequest {
        service: SERVICE.into(),
        account: None,
        model,
        tokens: TokenCount::default(),
        priority: 0,
        goal: now + SECOND,
        deadline: now + 5 * SECOND,
        exclude: Vec::new(),
    };
    placer.on_request(now, PlacementId { source: 1, ticket }, request);
}

/// Returns whether an endpoint was granted since the last call.
fn is_granted(placer: &mut Placer) -> bool {
    let outputs = placer.take_outputs();
    outputs.iter().any(|o| matches!(o, Output::Grant { .. }))
}

// Guards against: the copy of a version that was outdated serves again for the grace period when a
// third version is announced.
#[test]
fn outdated_copy_does_not_serve_after_a_third_version() {
    let start = Instant::now();
    let mut placer = placer(start, 4);
    placer.on_report(start, &endpoint_id(0), Some(report(&[(adapter(1), 1)])));
    placer.on_version(start, &adapter(1), 2, Some(start));
    let third = start + 2 * SECOND;
    placer.on_version(third, &adapter(1), 3, Some(third));
    request(&mut placer, start + 2999 * MS, 1, adapter(1));
    assert!(is_granted(&mut placer), "version 1 may serve until 3 s");
    request(&mut placer, start + GRACE, 2, adapter(1));
    assert!(!is_granted(&mut placer), "version 2 was announced 3 s ago");
}

// Guards against: a report that lists an older version of an adapter after the current one hides the
// latter, and requests wait until it was ordered once more.
#[test]
fn newest_of_two_versions_at_an_endpoint_serves() {
    let start = Instant::now();
    for held in [[1, 2], [2, 1]] {
        let mut placer = placer(start, 4);
        placer.on_version(start, &adapter(1), 2, None);
        let held = held.map(|version| (adapter(1), version));
        placer.on_report(start, &endpoint_id(0), Some(report(&held)));
        request(&mut placer, start, 1, adapter(1));
        assert!(is_granted(&mut placer), "{held:?}");
    }
}

// Guards against: copies that may not serve any more, and that requests wait for, take all slots of an
// endpoint and are never replaced, so that the requests wait to their end without an attempt.
#[test]
fn outdated_copies_that_requests_wait_for_make_room() {
    for adapters in [1, 2, 4] {
        let settings = SimSettings {
            endpoints: 1,
            adapter_slots: adapters,
            ..SimSettings::default()
        };
        let mut sim = Simulation::new(settings, PlacerSettings::default(), 1);
        // The adapters are loaded, and each has a run when its version is announced.
        for (round, at) in [(0, 1000), (1, 3000), (2, 3200)] {
            for number in 0..adapters {
                let ticket = (round * adapters + number) as u64;
                sim.request_at(at * MS, ticket, adapter(number), 5 * SECOND);
            }
        }
        sim.run_until(3100 * MS);
        assert_eq!(sim.counters.granted, 2 * adapters);
        for number in 0..adapters {
            sim.set_version(&adapter(number), 2);
            sim.act(|p, now| p.on_version(now, &adapter(number), 2, None));
        }
        sim.run_until(9 * SECOND);
        assert_eq!(sim.counters.crashes, 0);
        assert_eq!(sim.counters.granted, 3 * adapters, "{:?}", sim.counters);
        let longest = sim.counters.waits.iter().max();
        assert!(longest.is_some_and(|w| *w < SECOND), "{longest:?}");
    }
}
