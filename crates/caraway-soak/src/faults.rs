//! [`Fault`]: the faults that are injected into processes, connections, the store and endpoints.
//!
//! [`schedule`] draws them from a seed.

use std::time::Duration;

use caraway_platform_standin::{ProxyMode, StoreMode};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::Plan;

/// A fault; numbers are indices of gateways and endpoints, counted over all zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills the gateway with SIGKILL and starts it again when the fault ends.
    Kill(usize),
    /// Stops the gateway with SIGSTOP until the fault ends.
    Pause(usize),
    /// Sends the gateway a SIGTERM; it is started again once it has exited.
    Stop(usize),
    /// Sends the gateway a SIGHUP, on which it reloads its settings.
    Reload(usize),
    /// Puts the store into this mode, for all gateways.
    Store(StoreMode),
    /// Puts the proxy between one gateway and the store into this mode.
    StoreWay(usize, ProxyMode),
    /// Puts the proxy in front of an endpoint into this mode.
    EndpointWay(usize, ProxyMode),
    /// Restarts an engine, which loses its loaded models.
    Restart(usize),
    /// Makes an engine execute orders after this delay and send no response.
    LateOrders(usize, Duration),
    /// Makes an endpoint without engine execute requests and send no response; the number is its
    /// zone's.
    LostAnswers(usize),
    /// Publishes a configuration with one more route.
    Configuration,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// Start of the fault, relative to the start of the schedule.
    pub at: Duration,
    /// Duration; faults without an end, such as a reload, ignore it.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Range of a fault's duration, in milliseconds: from below a second up to the pause after which
/// sessions count as lost.
const DURATION_MS: std::ops::Range<u64> = 200..2000;

/// Returns the faults that the seed of a plan gives, ordered by start; the same plan gives the same
/// faults.
#[must_use]
pub fn schedule(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += plan.fault_interval.mul_f64(rng.random_range(0.0..2.0));
        if at >= plan.fault_period {
            return faults;
        }
        let timed = Timed {
            at,
            lasts: Duration::from_millis(rng.random_range(DURATION_MS)),
            fault: draw_fault(plan, &mut rng),
        };
        faults.push(timed);
        // Some faults are repeated against the same target shortly after they end.
        if rng.random_bool(0.2) {
            let repeated = Timed {
                at: at + timed.lasts + Duration::from_millis(rng.random_range(10..300)),
                ..timed
            };
            if repeated.at < plan.fault_period {
                faults.push(repeated);
            }
        }
        faults.sort_by_key(|f| f.at);
    }
}

/// Draws a fault: a kill with a probability of 1/6, each other kind with 1/12.
fn draw_fault(plan: &Plan, rng: &mut ChaCha8Rng) -> Fault {
    let gateway = rng.random_range(0..plan.zones * plan.instances);
    let engine = rng.random_range(0..plan.zones * plan.engines);
    let plain_endpoint = rng.random_range(0..plan.zones);
    let delay = Duration::from_millis(rng.random_range(5..150));
    let proxy_modes = [
        ProxyMode::Delay(delay),
        ProxyMode::Silent,
        ProxyMode::OneWay,
        ProxyMode::Reset,
    ];
    let proxy_mode = *proxy_modes.choose(rng).unwrap_or(&ProxyMode::Reset);
    let store_modes = [
        StoreMode::Away,
        StoreMode::Silent,
        StoreMode::Slow(delay * 2),
        StoreMode::LosesAppends,
    ];
    let store_mode = *store_modes.choose(rng).unwrap_or(&StoreMode::Away);
    match rng.random_range(0..12) {
        0 | 1 => Fault::Kill(gateway),
        2 => Fault::Pause(gateway),
        3 => Fault::Stop(gateway),
        4 => Fault::Reload(gateway),
        5 => Fault::Store(store_mode),
        6 => Fault::StoreWay(gateway, proxy_mode),
        7 => Fault::EndpointWay(
            rng.random_range(0..plan.zones * (plan.engines + 1)),
            proxy_mode,
        ),
        8 => Fault::Restart(engine),
        9 => Fault::LateOrders(engine, delay * 4),
        10 => Fault::LostAnswers(plain_endpoint),
        _ => Fault::Configuration,
    }
}
