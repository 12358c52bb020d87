//! Tests that the load budget stays within the rate although messages are lost or late.

use std::time::{Duration, Instant};

use caraway_slots::{Budget, GRANT_LAPSE, Grant, Return, StoreLimits};
use caraway_types::InstanceId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ZONES: usize = 3;
/// Cooldown of a permit with the default limits: three zones with one permit each share three loads
/// per second.
const REST: Duration = Duration::from_secs(1);

fn budgets(now: Instant) -> Vec<Budget> {
    let zones = u32::try_from(ZONES).unwrap();
    let mut all = vec![Budget::new(StoreLimits::default(), zones); ZONES];
    for budget in &mut all {
        budget.acquire(now);
    }
    all
}

#[test]
fn a_zone_that_is_cut_off_keeps_its_part_and_no_more() {
    let start = Instant::now();
    let mut budget = Budget::new(StoreLimits::default(), 3);
    budget.acquire(start);
    let mut loads = 0;
    let end = REST + GRANT_LAPSE + Duration::from_secs(10);
    let mut now = start;
    while now < start + end {
        budget.tick(now);
        while budget.take(now).is_some() {
            loads += 1;
        }
        now += Duration::from_millis(10);
    }
    assert_eq!(loads, 10, "one a second, from the first rest on");
}

#[test]
fn a_grant_lapses_for_the_borrower_before_its_owner_uses_it_again() {
    let start = Instant::now();
    let mut all = budgets(start);
    let mut now = start + Duration::from_secs(5);
    let want = all[1].want(now, vec![1.0]);
    let asked = now;
    now += Duration::from_millis(1900);
    assert!(now + Duration::from_millis(100) == asked + GRANT_LAPSE);
    let grant = all[0].lend(now, &"b".into(), want.number).unwrap();
    now += Duration::from_millis(99);
    assert_eq!(all[1].on_grant(now, &"a".into(), grant), None);
    now += Duration::from_millis(1);
    let own_only = all[1].available(now);
    assert_eq!(own_only, 1, "the borrowed permit has lapsed");
    // The owner granted it 100 ms ago, so the grant expires later for the owner than for the
    // borrower.
    let almost = now + Duration::from_millis(1899);
    all[0].tick(almost);
    assert_eq!(all[0].available(almost), 0);
    let rested = now + Duration::from_millis(1900) + REST;
    all[0].tick(rested);
    assert_eq!(all[0].available(rested), 1);
}

#[derive(Clone, Debug)]
enum Message {
    Want(usize, u64),
    Grant(usize, usize, Grant),
    Return(usize, usize, Return),
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
            let mut flying: Vec<Message> = Vec::new();
            let mut starts: Vec<Instant> = Vec::new();
            for (step, i, pick, ms) in steps {
                now += Duration::from_millis(ms);
                all[i].tick(now);
                match step {
                    0 => {
                        let want = all[i].want(now, vec![1.0]);
                        flying.push(Message::Want(i, want.number));
                    }
                    1 | 2 if !flying.is_empty() => {
                        let message = flying.remove(pick % flying.len());
                        deliver(now, &mut all, &ids, &mut flying, &message);
                    }
                    3 if !flying.is_empty() => drop(flying.remove(pick % flying.len())),
                    _ => {
                        if let Some(lender) = all[i].take(now) {
                            starts.push(now);
                            if let Some((owner, back)) = lender {
                                let to = ids.iter().position(|id| *id == owner).unwrap();
                                flying.push(Message::Return(i, to, back));
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
    all: &mut [Budget],
    ids: &[InstanceId],
    flying: &mut Vec<Message>,
    message: &Message,
) {
    match *message {
        Message::Want(from, number) => {
            let owner = (from + 1) % ZONES;
            if let Some(grant) = all[owner].lend(now, &ids[from], number) {
                flying.push(Message::Grant(owner, from, grant));
            }
        }
        Message::Grant(owner, to, grant) => {
            if let Some(back) = all[to].on_grant(now, &ids[owner], grant) {
                flying.push(Message::Return(to, owner, back));
            }
        }
        Message::Return(from, owner, back) => all[owner].on_return(now, &ids[from], back),
    }
}
