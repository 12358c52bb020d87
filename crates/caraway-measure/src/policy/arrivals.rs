//! The [`Request`]s of a run, generated once so that all policies get the same.

use caraway_types::Class;
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use super::scenario::{Plan, Profile, SECOND, Scenario};

/// Number of client accounts; each owns the same number of adapters.
const ACCOUNTS: usize = 50;
/// Seconds between two changes of the adapters' popularity.
const SHIFT_INTERVAL_S: u64 = 300;
/// Additional arrivals per second from the flooding account.
const FLOOD_RATE: f64 = 12.0;
/// Number of entry instances.
pub(crate) const INSTANCES: usize = 6;

/// A request with all that is drawn at random about it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Time of arrival at an entry instance, in microseconds.
    pub(crate) arrival: u64,
    /// Index of the adapter.
    pub(crate) adapter: u32,
    /// Index of the client account that owns the adapter.
    pub(crate) account: u32,
    pub(crate) class: Class,
    /// Tokens to generate.
    pub(crate) tokens: u32,
    /// Time by which the answer must be complete, in microseconds.
    pub(crate) deadline: u64,
    /// Index of the instance that the load balancer chose.
    pub(crate) instance: usize,
    /// Whether the flooding account sent it.
    pub(crate) is_flood: bool,
}

/// Generates the requests of a run, in order of arrival.
pub(crate) fn generate(plan: &Plan) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut adapters_by_rank: Vec<u32> =
        (0..u32::try_from(plan.adapters).unwrap_or(u32::MAX)).collect();
    adapters_by_rank.shuffle(&mut rng);
    let popularity = zipf_cumulative(plan.adapters);
    let mut requests = Vec::new();
    let mut arrival = 0;
    let mut next_shift = SHIFT_INTERVAL_S * SECOND;
    let end = plan.seconds * SECOND;
    loop {
        arrival += draw_gap(plan.rate, &mut rng);
        if arrival >= end {
            break;
        }
        if plan.scenario == Scenario::Shift && arrival >= next_shift {
            adapters_by_rank.shuffle(&mut rng);
            next_shift += SHIFT_INTERVAL_S * SECOND;
        }
        let sample: f64 = rng.random();
        let rank = popularity
            .partition_point(|c| *c < sample)
            .min(plan.adapters - 1);
        requests.push(draw_request(
            plan,
            arrival,
            adapters_by_rank[rank],
            &mut rng,
        ));
    }
    if plan.scenario == Scenario::Flood {
        add_flood(plan, &mut requests, &mut rng);
    }
    requests
}

/// Adds the requests of account 0 in the scenario [`Scenario::Flood`].
fn add_flood(plan: &Plan, requests: &mut Vec<Request>, rng: &mut ChaCha8Rng) {
    let mut arrival = plan.fraction(1, 3);
    let adapters_per_account = u32::try_from(plan.adapters / ACCOUNTS).unwrap_or(1);
    let stride = u32::try_from(ACCOUNTS).unwrap_or(1);
    loop {
        arrival += draw_gap(FLOOD_RATE, rng);
        if arrival >= plan.fraction(2, 3) {
            break;
        }
        let adapter = rng.random_range(0..adapters_per_account) * stride;
        let mut flood_request = draw_request(plan, arrival, adapter, rng);
        flood_request.is_flood = true;
        requests.push(flood_request);
    }
    requests.sort_by_key(|r| r.arrival);
}

/// Draws the time between two arrivals at `rate` per second, in microseconds.
fn draw_gap(rate: f64, rng: &mut ChaCha8Rng) -> u64 {
    let seconds = Exp::new(rate).map_or(1.0, |e| e.sample(rng));
    to_micros(seconds)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the times are small and positive"
)]
pub(crate) fn to_micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Returns the cumulative distribution of a Zipf law with exponent 1 over `count` ranks.
#[expect(clippy::cast_precision_loss, reason = "ranks are small")]
fn zipf_cumulative(count: usize) -> Vec<f64> {
    let total: f64 = (1..=count).map(|k| 1.0 / k as f64).sum();
    let mut sum = 0.0;
    (1..=count)
        .map(|k| {
            sum += 1.0 / k as f64 / total;
            sum
        })
        .collect()
}

/// Draws the class, tokens, deadline and instance of a request, by the mix of the profile.
fn draw_request(plan: &Plan, arrival: u64, adapter: u32, rng: &mut ChaCha8Rng) -> Request {
    let (interactive_share, summary_share) = match plan.profile {
        Profile::Cooperative => (0.6, 0.1),
        Profile::Rodopa => (0.3, 0.2),
    };
    let sample: f64 = rng.random();
    let (class, mean_tokens, deadline_s) = if sample < interactive_share {
        (Class::Interactive, 45.0, 60)
    } else if sample < interactive_share + summary_share {
        (Class::Summary, 110.0, 240)
    } else {
        (Class::Batch, 65.0, 1800)
    };
    Request {
        arrival,
        adapter,
        account: adapter % u32::try_from(ACCOUNTS).unwrap_or(1),
        class,
        tokens: draw_tokens(mean_tokens, rng),
        deadline: arrival + deadline_s * SECOND,
        instance: rng.random_range(0..INSTANCES),
        is_flood: false,
    }
}

/// Draws the number of tokens to generate, exponentially distributed and clamped to 4 to 400.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped"
)]
fn draw_tokens(mean_tokens: f64, rng: &mut ChaCha8Rng) -> u32 {
    let token_count = Exp::new(1.0 / mean_tokens).map_or(mean_tokens, |e| e.sample(rng));
    token_count.clamp(4.0, 400.0) as u32
}
