//! Tests that the load budget stays within the rate although messages are lost or late.

use std::time::{Duration, Instant};

use caraway_slots::{GRANT_LIFETIME, LoadBudget, PermitGrant, PermitReturn, StoreLimits};
use caraway_types::InstanceId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ZONES: usize = 3;
/// Cooldown of a permit with the default limits: three zones with one permit each share three loads
/// per second.
const COOLDOWN: Duration = Duration::from_secs(1);

fn budgets(now: Instant) -> Vec<LoadBudget> {
    let zones = u32::try_from(ZONES).unwrap();
    let mut all = vec![LoadBudget::new(StoreLimits::default(), zones); ZONES];
    for budget in &mut all {
        budget.acquire(now);
    }
    all
}

#[test]
fn a_partitioned_zone_keeps_exactly_its_share() {
    let start = Instant::now();
    let mut budget = LoadBudget::new(StoreLimits::default(), 3);
    budget.acquire(start);
    let mut loads = 0;
    let end = COOLDOWN + GRANT_LIFETIME + Duration::from_secs(10);
    let mut now = start;
    while now < start + end {
        budget.reclaim_expired(now);
        while budget.use_permit(now).is_some() {
            loads += 1;
        }
        now += Duration::from_millis(10);
    }
    assert_eq!(loads, 10, "one per second after the first cooldown");
}

#[test]
fn a_grant_expires_for_the_borrower_before_the_owner_reuses_the_permit() {
    let start = Instant::now();
    let mut all = budgets(start);
    let mut now = start + Duration::from_secs(5);
    let request = all[1].new_request(now, vec![1.0]);
    let requested_at = now;
    now += Duration::from_millis(1900);
    assert!(now + Duration::from_millis(100) == requested_at + GRANT_LIFETIME);
    let grant = all[0].lend(now, &"b".into(), request.number).unwrap();
    now += Duration::from_millis(99);
    assert_eq!(all[1].on_grant(now, &"a".into(), grant), None);
    now += Duration::from_millis(1);
    let own_only = all[1].available(now);
    assert_eq!(own_only, 1, "the borrowed permit has expired");
    // The owner granted it 100 ms ago, so the grant expires later for the owner than for the
    // borrower.
    let before_expiry = now + Duration::from_millis(1899);
    all[0].reclaim_expired(before_expiry);
    assert_eq!(all[0].available(before_expiry), 0);
    let after_cooldown = now + Duration::from_millis(1900) + COOLDOWN;
    all[0].reclaim_expired(after_cooldown);
    assert_eq!(all[0].available(after_cooldown), 1);
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, u64),
    Grant(usize, usize, PermitGrant),
    Return(usize, usize, PermitReturn),
}

/// No more than three loads may start within a second, whichever messages are lost or late.
#[test]
fn the_sum_of_all_zones_never_exceeds_the_rate() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec((0u8..6, 0usize..ZONES, 0usize..8, 1u64..250), 50..400);
    let ids: Vec<InstanceId> = ["a", "b", "c"].map(InstanceId::from).into();
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&steps, |steps| {
            let mut now = Instant::now();
            let mut all = budgets(now);
            let mut in_flight: Vec<Message> = Vec::new();
            let mut starts: Vec<Instant> = Vec::new();
            for (step, i, pick, ms) in steps {
                now += Duration::from_millis(ms);
                all[i].reclaim_expired(now);
                match step {
                    0 => {
                        let request = all[i].new_request(now, vec![1.0]);
                        in_flight.push(Message::Request(i, request.number));
                    }
                    1 | 2 if !in_flight.is_empty() => {
                        let message = in_flight.remove(pick % in_flight.len());
                        deliver(now, &mut all, &ids, &mut in_flight, &message);
                    }
                    3 if !in_flight.is_empty() => drop(in_flight.remove(pick % in_flight.len())),
                    _ => {
                        if let Some(borrowed) = all[i].use_permit(now) {
                            starts.push(now);
                            if let Some((owner, returned)) = borrowed {
                                let to = ids.iter().position(|id| *id == owner).unwrap();
                                in_flight.push(Message::Return(i, to, returned));
                            }
                        }
                    }
                }
            }
            for (k, start) in starts.iter().enumerate() {
                let within = starts[k..]
                    .iter()
                    .filter(|t| **t - *start < Duration::from_secs(1));
                prop_assert!(within.count() <= 3);
            }
            Ok(())
        })
        .unwrap();
}

fn deliver(
    now: Instant,
    all: &mut [LoadBudget],
    ids: &[InstanceId],
    in_flight: &mut Vec<Message>,
    message: &Message,
) {
    match *message {
        Message::Request(from, number) => {
            let owner = (from + 1) % ZONES;
            if let Some(grant) = all[owner].lend(now, &ids[from], number) {
                in_flight.push(Message::Grant(owner, from, grant));
            }
        }
        Message::Grant(owner, to, grant) => {
            if let Some(returned) = all[to].on_grant(now, &ids[owner], grant) {
                in_flight.push(Message::Return(to, owner, returned));
            }
        }
        Message::Return(from, owner, returned) => all[owner].on_return(now, &ids[from], returned),
    }
}
