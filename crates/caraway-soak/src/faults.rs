//! [`Fault`]: the faults that are injected into processes, connections, the store and endpoints.
//!
//! [`schedule`] draws them from a seed.

use std::time::Duration;

use caraway_platform_standin::{ProxyMode, StoreMode};
use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
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
    /// Stops the gateway; its next process is one of the other build.
    Replace(usize),
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
    /// Makes an endpoint limit the requests of all gateways together to this number per second.
    Limit(usize, u32),
    /// Makes an endpoint say in its answers that it drains, though its registry entry says that it
    /// is ready; at the end it starts again.
    Draining(usize),
    /// Makes an endpoint without engine refuse requests and ask for a pause of this length; the
    /// number is its zone's.
    AskForPause(usize, Duration),
    /// Replaces the software of an engine by another version, with a restart.
    Release(usize, u32),
    /// Makes callers send prompts with a segment that crashes engines.
    DeadlyPrompts,
    /// At the end, makes the store return from a copy as old as the fault.
    StoreReturn,
    /// Makes operators and endpoints write again what the store may have lost.
    StoreRewrite,
    /// Publishes a configuration that replaces a key of an account and changes a quota.
    Accounts,
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

/// Request limits of endpoints, per second: below, about and above one for each gateway.
const LIMITS: [u32; 3] = [1, 4, 10];
/// Range of the time for which an endpoint limits its requests, in milliseconds: long enough for
/// several spans in which requests are counted.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 8000..10_000;
/// Number of endpoints that limit their requests in a run.
const LIMITED_ENDPOINTS: std::ops::RangeInclusive<usize> = 1..=2;
/// Added to the seed of the draws of limits, so that the other faults of a seed stay as they are.
const LIMIT_SEED: u64 = 1 << 32;

/// Returns the faults that the seed of a plan gives, ordered by start; the same plan gives the same
/// faults.
#[must_use]
pub fn schedule(plan: &Plan) -> Vec<Timed> {
    let mut faults = schedule_disruptions(plan);
    faults.extend(schedule_limits(plan));
    faults.extend(schedule_signals(plan));
    faults.push(schedule_deadly_prompts(plan));
    faults.extend(schedule_releases(plan));
    if plan.has_accounts {
        faults.extend(schedule_account_changes(plan));
    }
    if !plan.keeps_store {
        faults.extend(schedule_store_return(plan));
    }
    if plan.former.is_some() {
        faults.extend(schedule_replacements(plan));
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// Draws the limits of endpoints, which begin in the first half of the period.
fn schedule_limits(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + LIMIT_SEED);
    let mut endpoints: Vec<usize> = (0..plan.zones * (plan.engines + 1)).collect();
    endpoints.shuffle(&mut rng);
    let count = rng.random_range(LIMITED_ENDPOINTS);
    let limited = endpoints.into_iter().take(count);
    limited
        .map(|endpoint| {
            let limit = *LIMITS.choose(&mut rng).unwrap_or(&LIMITS[0]);
            Timed {
                at: plan.fault_period.mul_f64(rng.random_range(0.0..0.5)),
                lasts: Duration::from_millis(rng.random_range(LIMIT_DURATION_MS)),
                fault: Fault::Limit(endpoint, limit),
            }
        })
        .collect()
}

/// Added to the seed of the draws of what endpoints say.
const SIGNAL_SEED: u64 = 1 << 33;
/// Range of the time for which an endpoint drains or asks for pauses, in milliseconds: longer than
/// instances may go on sending to one that drains.
const SIGNAL_DURATION_MS: std::ops::Range<u64> = 4000..6000;
/// Range of the pauses that an endpoint asks for, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1000..2500;

/// Draws an endpoint that drains and one that asks for pauses, which begin in the first half of the
/// period.
fn schedule_signals(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + SIGNAL_SEED);
    let endpoint = rng.random_range(0..plan.zones * (plan.engines + 1));
    let plain_endpoint = rng.random_range(0..plan.zones);
    let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
    let faults = [
        Fault::Draining(endpoint),
        Fault::AskForPause(plain_endpoint, pause),
    ];
    faults
        .into_iter()
        .map(|fault| Timed {
            at: plan.fault_period.mul_f64(rng.random_range(0.0..0.5)),
            lasts: Duration::from_millis(rng.random_range(SIGNAL_DURATION_MS)),
            fault,
        })
        .collect()
}

/// Added to the seed of the draw of deadly prompts.
const DEADLY_SEED: u64 = 1 << 34;
/// Range of the time for which deadly prompts come, in milliseconds: longer than five crashes and the
/// time after which few of them may reach engines.
const DEADLY_DURATION_MS: std::ops::Range<u64> = 5000..7000;

/// Draws when deadly prompts come; they begin in the first half of the period.
fn schedule_deadly_prompts(plan: &Plan) -> Timed {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + DEADLY_SEED);
    Timed {
        at: plan.fault_period.mul_f64(rng.random_range(0.0..0.5)),
        lasts: Duration::from_millis(rng.random_range(DEADLY_DURATION_MS)),
        fault: Fault::DeadlyPrompts,
    }
}

/// Added to the seed of the draws of releases.
const RELEASE_SEED: u64 = 1 << 35;
/// Number of releases of an engine in a run.
const RELEASES: std::ops::RangeInclusive<usize> = 2..=4;
/// Number of software versions.
const SOFTWARE_VERSIONS: u32 = 2;

/// Draws releases of engines, forward and back.
fn schedule_releases(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + RELEASE_SEED);
    let count = rng.random_range(RELEASES);
    (0..count)
        .map(|_| {
            let engine = rng.random_range(0..plan.zones * plan.engines);
            let software = rng.random_range(1..=SOFTWARE_VERSIONS);
            Timed {
                at: plan.fault_period.mul_f64(rng.random_range(0.0..1.0)),
                lasts: Duration::ZERO,
                fault: Fault::Release(engine, software),
            }
        })
        .collect()
}

/// Added to the seed of the draws of changes of accounts.
const ACCOUNT_SEED: u64 = 1 << 38;
/// Number of changes of accounts in a run.
const ACCOUNT_CHANGES: std::ops::RangeInclusive<usize> = 2..=4;

/// Draws when keys and quotas of accounts change.
fn schedule_account_changes(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + ACCOUNT_SEED);
    let count = rng.random_range(ACCOUNT_CHANGES);
    (0..count)
        .map(|_| Timed {
            at: plan.fault_period.mul_f64(rng.random_range(0.0..1.0)),
            lasts: Duration::ZERO,
            fault: Fault::Accounts,
        })
        .collect()
}

/// Added to the seed of the draws of replaced gateways.
const REPLACE_SEED: u64 = 1 << 37;

/// Draws when each gateway is replaced by one of the other build, and half of them back.
fn schedule_replacements(plan: &Plan) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + REPLACE_SEED);
    let mut gateways: Vec<usize> = (0..plan.zones * plan.instances).collect();
    gateways.shuffle(&mut rng);
    let back = gateways[..gateways.len() / 2].to_vec();
    let ranges = [(gateways, 0.0..0.6), (back, 0.6..1.0)];
    let mut replacements = Vec::new();
    for (gateways, range) in ranges {
        for gateway in gateways {
            replacements.push(Timed {
                at: plan.fault_period.mul_f64(rng.random_range(range.clone())),
                lasts: Duration::ZERO,
                fault: Fault::Replace(gateway),
            });
        }
    }
    replacements
}

/// Added to the seed of the draw of the store's return.
const STORE_RETURN_SEED: u64 = 1 << 36;
/// Range of the age of the copy from which the store returns, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 500..4000;
/// Range of the time after which what the store lost is written again, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 50..1500;

/// Draws when the store returns from an older copy, within the period.
fn schedule_store_return(plan: &Plan) -> [Timed; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed + STORE_RETURN_SEED);
    let at = plan.fault_period.mul_f64(rng.random_range(0.0..0.8));
    let lasts = Duration::from_millis(rng.random_range(COPY_AGE_MS));
    let delay = Duration::from_millis(rng.random_range(REWRITE_DELAY_MS));
    [
        Timed {
            at,
            lasts,
            fault: Fault::StoreReturn,
        },
        Timed {
            at: at + lasts + delay,
            lasts: Duration::ZERO,
            fault: Fault::StoreRewrite,
        },
    ]
}

/// Draws all faults but what endpoints say in their answers.
fn schedule_disruptions(plan: &Plan) -> Vec<Timed> {
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
