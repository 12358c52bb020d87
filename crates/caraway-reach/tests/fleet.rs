//! Fleets in virtual time, some of whose instances lose their way to all endpoints, silently: connections
//! hang until they time out, and requests on open ones have no answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use caraway_reach::{Helpers, Reach, ReachSettings, Reachability, Trouble};
use caraway_types::EndpointId;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// Timeout of a connection, and of a request's answer, in steps.
const TIMEOUT_STEPS: u64 = 20;
/// Interval between the lists of helpers, in steps.
const LIST_STEPS: u64 = 25;
/// Number of helpers in a list.
const LIST_LEN: usize = 8;
/// The cut lasts from the one step to the other.
const CUT: std::ops::Range<u64> = 100..700;
/// Steps from the start or the end of the cut after which requests have to be served as at the others.
const SETTLE_STEPS: u64 = 150;
/// End of the simulation, in steps.
const END: u64 = 1000;
/// Chance of a new request at an instance in a step.
const REQUEST_RATE: f64 = 0.5;

/// A simulated instance.
struct Instance {
    is_cut: bool,
    reachability: Reachability,
    helpers: Helpers,
    /// Ends of attempts and probes that will fail: when, and the endpoint; a probe has none.
    failing: Vec<(u64, Option<EndpointId>)>,
    served: u64,
    failed: u64,
    served_for_others: u64,
}

/// What came of the first tries in the time in which they are counted.
#[derive(Debug, Default)]
struct Counts {
    cut_served: u64,
    cut_all: u64,
    /// Largest number of requests that one instance served for others, as a part of its own.
    largest_help: f64,
    lists: u64,
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1000 + number).expect("a port")))
}

fn simulate(seed: u64, instances: usize, cut: usize, endpoints: usize) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let endpoints: Vec<EndpointId> = (0..endpoints).map(|n| format!("e{n}").into()).collect();
    let mut fleet: Vec<Instance> = (0..instances)
        .map(|number| Instance {
            is_cut: number < cut,
            reachability: Reachability::new(ReachSettings::default()),
            helpers: Helpers::default(),
            failing: Vec::new(),
            served: 0,
            failed: 0,
            served_for_others: 0,
        })
        .collect();
    let mut counts = Counts::default();
    for step in 0..END {
        let now = start + STEP * u32::try_from(step).expect("a short run");
        let is_counted =
            (CUT.start + SETTLE_STEPS..CUT.end).contains(&step) || step >= CUT.end + SETTLE_STEPS;
        let reaching: Vec<usize> = (0..instances)
            .filter(|n| fleet[*n].reachability.reach(now) == Reach::Open)
            .collect();
        for number in 0..instances {
            let is_blocked = fleet[number].is_cut && CUT.contains(&step);
            let instance = &mut fleet[number];
            let due = instance.failing.extract_if(.., |(at, _)| *at <= step);
            let due: Vec<_> = due.collect();
            for (_, endpoint) in due {
                match endpoint {
                    Some(endpoint) => {
                        instance
                            .reachability
                            .on_trouble(now, &endpoint, Trouble::Connect);
                    }
                    None => instance.reachability.on_probe(now, None),
                }
            }
            if instance.reachability.try_begin_probe(now) {
                if is_blocked {
                    instance.failing.push((step + TIMEOUT_STEPS, None));
                } else {
                    instance.reachability.on_probe(now, endpoints.first());
                }
            }
            let is_cut_off = instance.reachability.reach(now) != Reach::Open;
            if is_cut_off && step % LIST_STEPS == 0 {
                counts.lists += 1;
                let list = reaching.choose_multiple(&mut rng, LIST_LEN);
                let list = list.map(|n| addr(*n)).collect();
                instance.helpers.set(&"z".into(), list);
            }
            if !rng.random_bool(REQUEST_RATE) {
                continue;
            }
            let is_served = if is_cut_off {
                let helper = instance.helpers.choose(&[]);
                let helper = helper.map(|h| usize::from(h.port()) - 1000);
                if let Some(helper) = helper {
                    instance.helpers.on_end(addr(helper));
                    // It is handed on once: a helper that is cut off itself refuses it.
                    let takes = !fleet[helper].is_cut || !CUT.contains(&step);
                    if takes && is_counted {
                        fleet[helper].served_for_others += 1;
                    }
                    takes
                } else {
                    false
                }
            } else if is_blocked {
                let endpoint = endpoints.choose(&mut rng).cloned();
                instance.failing.push((step + TIMEOUT_STEPS, endpoint));
                false
            } else {
                let endpoint = endpoints.choose(&mut rng).expect("endpoints");
                instance.reachability.on_answer(now, endpoint);
                true
            };
            if is_counted {
                let instance = &mut fleet[number];
                instance.served += u64::from(is_served);
                instance.failed += u64::from(!is_served);
            }
        }
    }
    for instance in &fleet {
        if instance.is_cut {
            counts.cut_served += instance.served;
            counts.cut_all += instance.served + instance.failed;
        } else {
            assert_eq!(instance.failed, 0, "the others serve all");
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let help = instance.served_for_others as f64 / instance.served as f64;
            counts.largest_help = counts.largest_help.max(help);
        }
    }
    counts
}

/// From the settling time on, first tries at cut instances are served at 0.95 of the rate at the others,
/// who serve all; fewer than one of a hundred first tries fail.
#[test]
fn cut_instances_are_served_like_the_others() {
    for (instances, cut, endpoints) in [(8, 1, 9), (8, 5, 9), (60, 20, 79), (385, 130, 385)] {
        for seed in 1..=3 {
            let counts = simulate(seed, instances, cut, endpoints);
            let case = format!("{instances} instances, {cut} cut, seed {seed}: {counts:?}");
            assert!(counts.cut_served * 100 >= counts.cut_all * 99, "{case}");
            // The load of the cut ones is spread over the others.
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let even = cut as f64 / (instances - cut) as f64;
            assert!(counts.largest_help < 1.5 * even + 0.1, "{case}");
            // Two lists a second for each cut instance, from each zone's holder.
            let seconds = (CUT.end - CUT.start) / 50 + 2;
            assert!(counts.lists <= 2 * seconds * cut as u64, "{case}");
        }
    }
}

/// With all instances cut off, nothing is handed to anybody, and all serve again soon after.
#[test]
fn a_fleet_that_is_cut_off_as_a_whole_recovers() {
    for seed in 1..=3 {
        let counts = simulate(seed, 8, 8, 9);
        let after = END - CUT.end - SETTLE_STEPS;
        // Half a request in each step, at eight instances.
        let expected = after * 4 * 9 / 10;
        assert!(counts.cut_served >= expected, "{counts:?}");
    }
}
