//! [`Fault`]: what is done to processes, connections, the store and endpoints.

use std::time::Duration;

use caraway_platform_standin::{ProxyMode, StoreMode};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::Plan;

/// What is done; numbers name gateways and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and started again after the fault's time.
    Kill(usize),
    /// The process stands still for the fault's time.
    Pause(usize),
    /// The process is told to stop, and started again once it has ended.
    Stop(usize),
    /// The process is told to read its settings again.
    Reload(usize),
    /// The store behaves so for all.
    Store(StoreMode),
    /// One gateway's way to the store is harmed.
    StoreWay(usize, ProxyMode),
    /// The way to an endpoint is harmed.
    EndpointWay(usize, ProxyMode),
    /// An engine crashes and starts again empty.
    Restart(usize),
    /// An engine leaves orders unanswered and carries them out so much later.
    LateOrders(usize, Duration),
    /// A plain endpoint runs requests without answering.
    LostAnswers(usize),
    /// A configuration with a further route is published.
    Configuration,
}

/// A fault with its times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// When it begins, from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What is done.
    pub fault: Fault,
}

/// Shortest and longest time of a fault, in ms: from below a second to the pause after which
/// sessions count as lost.
const LASTS_MS: std::ops::Range<u64> = 200..2000;

/// Returns the faults of a plan's seed, by time.
#[must_use]
pub fn schedule(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += plan.pause.mul_f64(rng.random_range(0.0..2.0));
        if at >= plan.span {
            return faults;
        }
        let timed = Timed {
            at,
            lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
            fault: draw(plan, &mut rng),
        };
        faults.push(timed);
        // Some come as a series against the same target.
        if rng.random_bool(0.2) {
            let again = Timed {
                at: at + timed.lasts + Duration::from_millis(rng.random_range(10..300)),
                ..timed
            };
            if again.at < plan.span {
                faults.push(again);
            }
        }
        faults.sort_by_key(|f| f.at);
    }
}

fn draw(plan: &Plan, rng: &mut ChaCha8Rng) -> Fault {
    let gateway = rng.random_range(0..plan.zones * plan.instances);
    let engine = rng.random_range(0..plan.zones * plan.engines);
    let desk = rng.random_range(0..plan.zones);
    let delay = Duration::from_millis(rng.random_range(5..150));
    let ways = [
        ProxyMode::Delay(delay),
        ProxyMode::Silent,
        ProxyMode::OneWay,
        ProxyMode::Reset,
    ];
    let way = *ways.choose(rng).unwrap_or(&ProxyMode::Reset);
    let stores = [
        StoreMode::Away,
        StoreMode::Silent,
        StoreMode::Slow(delay * 2),
        StoreMode::LosesAppends,
    ];
    let store = *stores.choose(rng).unwrap_or(&StoreMode::Away);
    match rng.random_range(0..12) {
        0 | 1 => Fault::Kill(gateway),
        2 => Fault::Pause(gateway),
        3 => Fault::Stop(gateway),
        4 => Fault::Reload(gateway),
        5 => Fault::Store(store),
        6 => Fault::StoreWay(gateway, way),
        7 => Fault::EndpointWay(rng.random_range(0..plan.zones * (plan.engines + 1)), way),
        8 => Fault::Restart(engine),
        9 => Fault::LateOrders(engine, delay * 4),
        10 => Fault::LostAnswers(desk),
        _ => Fault::Configuration,
    }
}
