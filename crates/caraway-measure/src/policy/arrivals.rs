//! [`Request`]s of a run, drawn once and shared by all policies.

use caraway_types::Class;
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use super::scenario::{Deployment, Plan, SECOND, Scenario};

/// Client accounts; each owns an equal part of the adapters.
const ACCOUNTS: usize = 50;
/// Seconds between two shifts of popularity.
const SHIFT_SECONDS: u64 = 300;
/// Arrivals per second of the account that floods.
const FLOOD_RATE: f64 = 12.0;
/// Entry instances.
pub(crate) const INSTANCES: usize = 6;

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Arrival at an entry instance, in microseconds.
    pub(crate) at: u64,
    pub(crate) adapter: u32,
    pub(crate) account: u32,
    pub(crate) class: Class,
    pub(crate) tokens: u32,
    /// When the whole answer must be there, in microseconds.
    pub(crate) deadline: u64,
    /// The instance that the balancer chose.
    pub(crate) instance: usize,
    /// Whether it belongs to a flood.
    pub(crate) flood: bool,
}

/// Draws the arrivals of a run.
pub(crate) fn draw(plan: &Plan) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut ranks: Vec<u32> = (0..u32::try_from(plan.adapters).unwrap_or(u32::MAX)).collect();
    ranks.shuffle(&mut rng);
    let zipf = cumulative(plan.adapters);
    let mut requests = Vec::new();
    let mut at = 0;
    let mut shift = SHIFT_SECONDS * SECOND;
    let end = plan.seconds * SECOND;
    loop {
        at += gap(plan.rate, &mut rng);
        if at >= end {
            break;
        }
        if plan.scenario == Scenario::Shift && at >= shift {
            ranks.shuffle(&mut rng);
            shift += SHIFT_SECONDS * SECOND;
        }
        let point: f64 = rng.random();
        let rank = zipf.partition_point(|c| *c < point).min(plan.adapters - 1);
        requests.push(request(plan, at, ranks[rank], &mut rng));
    }
    if plan.scenario == Scenario::Flood {
        flood(plan, &mut requests, &mut rng);
    }
    requests
}

fn flood(plan: &Plan, requests: &mut Vec<Request>, rng: &mut ChaCha8Rng) {
    let mut at = plan.point(1, 3);
    let owned = u32::try_from(plan.adapters / ACCOUNTS).unwrap_or(1);
    let stride = u32::try_from(ACCOUNTS).unwrap_or(1);
    loop {
        at += gap(FLOOD_RATE, rng);
        if at >= plan.point(2, 3) {
            break;
        }
        let adapter = rng.random_range(0..owned) * stride;
        let mut one = request(plan, at, adapter, rng);
        one.flood = true;
        requests.push(one);
    }
    requests.sort_by_key(|r| r.at);
}

fn gap(rate: f64, rng: &mut ChaCha8Rng) -> u64 {
    let seconds = Exp::new(rate).map_or(1.0, |e| e.sample(rng));
    micros(seconds)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are small and positive"
)]
pub(crate) fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Cumulative shares of a Zipf law with exponent one.
#[expect(clippy::cast_precision_loss, reason = "ranks are small")]
fn cumulative(count: usize) -> Vec<f64> {
    let total: f64 = (1..=count).map(|k| 1.0 / k as f64).sum();
    let mut sum = 0.0;
    (1..=count)
        .map(|k| {
            sum += 1.0 / k as f64 / total;
            sum
        })
        .collect()
}

fn request(plan: &Plan, at: u64, adapter: u32, rng: &mut ChaCha8Rng) -> Request {
    let (interactive, summary) = match plan.deployment {
        Deployment::Cooperative => (0.6, 0.1),
        Deployment::Rodopa => (0.3, 0.2),
    };
    let point: f64 = rng.random();
    let (class, mean, limit) = if point < interactive {
        (Class::Interactive, 45.0, 60)
    } else if point < interactive + summary {
        (Class::Summary, 110.0, 240)
    } else {
        (Class::Batch, 65.0, 1800)
    };
    Request {
        at,
        adapter,
        account: adapter % u32::try_from(ACCOUNTS).unwrap_or(1),
        class,
        tokens: tokens(mean, rng),
        deadline: at + limit * SECOND,
        instance: rng.random_range(0..INSTANCES),
        flood: false,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped"
)]
fn tokens(mean: f64, rng: &mut ChaCha8Rng) -> u32 {
    let drawn = Exp::new(1.0 / mean).map_or(mean, |e| e.sample(rng));
    drawn.clamp(4.0, 400.0) as u32
}
