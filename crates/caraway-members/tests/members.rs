//! Holders in a zone of three instances without faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_members::{EndpointInfo, Identity, MemberEvent, MemberSettings, Members};

fn member(id: &str, now: Instant) -> Members {
    let identity = Identity {
        id: id.into(),
        zone: "z1".into(),
        incarnation: 1,
    };
    let endpoints = (0..8).map(|n| EndpointInfo {
        id: format!("e{n}").into(),
        zone: "z1".into(),
        checks_fencing: true,
    });
    Members::new(
        identity,
        MemberSettings::default(),
        endpoints.collect(),
        now,
    )
}

/// Runs for `seconds` with heartbeats from all to all each second; returns the events of each
/// member.
fn run(all: &mut [Members], now: &mut Instant, seconds: u64) -> Vec<Vec<MemberEvent>> {
    let mut events = vec![Vec::new(); all.len()];
    for _ in 0..seconds {
        *now += Duration::from_secs(1);
        let heartbeats: Vec<_> = all.iter_mut().map(|m| m.heartbeat(*now)).collect();
        for member in &mut *all {
            for heartbeat in &heartbeats {
                member.on_heartbeat(*now, heartbeat);
            }
        }
        for (member, events) in all.iter_mut().zip(&mut events) {
            events.extend(member.tick(*now));
        }
    }
    events
}

#[test]
fn each_replica_has_one_holder() {
    let mut now = Instant::now();
    let mut all = [member("a", now), member("b", now), member("c", now)];
    run(&mut all, &mut now, 30);
    for n in 0..8 {
        let id: Arc<str> = format!("e{n}").into();
        let held = all.iter().filter(|m| m.fence(&id).is_some()).count();
        assert_eq!(held, 1, "{id}");
        assert!(all.iter().all(|m| m.holder(&id) == all[0].holder(&id)));
    }
}
