//! A fleet of the target size: 380 instances and 600 replicas in 7 zones.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_members::{
    EndpointInfo, Heartbeat, Identity, ListedMember, MemberSettings, Members, Permission, Presence,
};
use caraway_types::{EndpointId, InstanceId, ZoneId};

const INSTANCES: usize = 380;
const ENDPOINTS: usize = 600;
const ZONES: usize = 7;
/// Duration of a step in steady state.
const STEP: Duration = Duration::from_secs(1);
/// Duration of a step while a departure spreads.
const FAST_STEP: Duration = Duration::from_millis(100);
/// Bytes that HTTP and TCP add to one heartbeat and its empty answer, in both directions together.
const OVERHEAD_BYTES: usize = 420;
/// Limit of control traffic that a daemon sends and receives in a second, in bytes.
const MAX_CONTROL_BYTES: usize = 7_000;
/// Time in which every instance receives from all peers of its zone and each replica gets a holder.
const SETTLE_SECONDS: u64 = 20;

struct Fleet {
    now: Instant,
    members: BTreeMap<InstanceId, Members>,
    bytes: usize,
    messages: usize,
}

fn zone(n: usize) -> ZoneId {
    format!("region-{}-{}", n % ZONES / 3, n % ZONES).into()
}

fn instance(n: usize) -> InstanceId {
    format!("entry-{n:03}").into()
}

fn endpoint(n: usize) -> EndpointId {
    format!("engine-{n:03}").into()
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let endpoints: Vec<EndpointInfo> = (0..ENDPOINTS)
            .map(|n| EndpointInfo {
                id: endpoint(n),
                zone: zone(n),
                checks_fencing: false,
            })
            .collect();
        let member = |n: usize| {
            let identity = Identity {
                id: instance(n),
                zone: zone(n),
                incarnation: 1_764_800_000_000,
            };
            let settings = MemberSettings::default();
            let members = Members::new(identity, settings, endpoints.clone(), now);
            (instance(n), members)
        };
        Self {
            now,
            members: (0..INSTANCES).map(member).collect(),
            bytes: 0,
            messages: 0,
        }
    }

    fn list(&mut self) {
        let list: Vec<ListedMember> = (0..INSTANCES)
            .map(|n| ListedMember {
                id: instance(n),
                zone: zone(n),
                incarnation: 1_764_800_000_000,
                leaving: false,
                endpoint: false,
            })
            .collect();
        for members in self.members.values_mut() {
            members.on_listing(self.now, &list);
        }
    }

    fn run(&mut self, time: Duration, step: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += step;
            let now = self.now;
            let mut heartbeats: Vec<(InstanceId, Heartbeat)> = Vec::new();
            for members in self.members.values_mut() {
                members.tick(now);
                for peer in members.due_peers(now) {
                    let heartbeat = members.heartbeat_to(now, &peer);
                    heartbeats.push((peer, heartbeat));
                }
            }
            for (to, heartbeat) in heartbeats {
                self.messages += 1;
                self.bytes += rmp_serde::to_vec(&heartbeat).expect("encodes").len();
                let members = self.members.get_mut(&to).expect("known");
                members.on_heartbeat(now, &heartbeat);
            }
        }
    }
}

#[test]
fn control_traffic_stays_in_budget_and_departures_spread_within_a_second() {
    let mut fleet = Fleet::new();
    fleet.list();
    fleet.run(Duration::from_secs(SETTLE_SECONDS), STEP);
    let now = fleet.now;
    for n in 0..ENDPOINTS {
        let id = endpoint(n);
        let full = |m: &&Members| m.permission(now, &id) == Permission::Full;
        assert_eq!(fleet.members.values().filter(full).count(), 1, "{id}");
    }

    (fleet.bytes, fleet.messages) = (0, 0);
    let measured = Duration::from_secs(14);
    fleet.run(measured, STEP);
    let instance_seconds = INSTANCES * 14;
    let payload = fleet.bytes / instance_seconds;
    let per_100_s = 100 * fleet.messages / instance_seconds;
    // Each heartbeat is sent by one daemon and received by another.
    let sent = (fleet.bytes + fleet.messages * OVERHEAD_BYTES) / instance_seconds;
    println!(
        "a daemon sends {per_100_s} heartbeats in 100 s, {payload} B/s of payload, \
         {sent} B/s with HTTP and TCP, and receives as much"
    );
    assert!(2 * sent < MAX_CONTROL_BYTES, "{sent} B/s each way");

    let leaver = instance(100);
    let now = fleet.now;
    fleet.members.get_mut(&leaver).expect("known").leave(now);
    fleet.run(Duration::from_secs(1), FAST_STEP);
    let now = fleet.now;
    let unaware = |m: &&Members| m.presence(now, &leaver) == Some(Presence::Live);
    assert_eq!(fleet.members.values().filter(unaware).count(), 0);
}
