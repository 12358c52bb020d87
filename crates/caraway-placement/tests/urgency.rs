//! Long summaries among many short requests, on an engine that is busy nearly all the time.

use caraway_placement::Urgency;
use caraway_routes::TokenCount;

/// Prompt tokens that the engine processes per ms.
const TOKENS_PER_MS: f64 = 38.1;
/// Time within which a first event is on time, in ms.
const GOAL_MS: f64 = 500.0;
/// Time after which the callers of long requests give up, in ms.
const DEADLINE_MS: f64 = 5000.0;

/// Arrival times in ms, with prompt lengths: short requests of 400 to 900 tokens every 25 ms, and
/// three long ones of 9,200 tokens at once every 3 s.
fn arrivals() -> Vec<(f64, u32)> {
    let short = (0..400_u32).map(|i| (f64::from(i) * 25.0, 400 + i * 37 % 500));
    let long = (0..9_u32).map(|i| (f64::from(i / 3) * 3000.0 + 5.0, 9200));
    let mut all: Vec<(f64, u32)> = short.chain(long).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Processes whole prompts one after the other, the lowest `rank` of those that have arrived first.
/// Returns the share of short ones that are processed in time, and the longest wait of a long one
/// in ms.
fn process_prompts(rank: impl Fn(u32) -> u64) -> (f64, f64) {
    let mut arrivals_left = arrivals().into_iter().peekable();
    let mut arrived: Vec<(f64, u32)> = Vec::new();
    let (mut now, mut on_time, mut short, mut longest) = (0.0_f64, 0.0, 0.0, 0.0_f64);
    loop {
        while let Some(next) = arrivals_left.next_if(|(at, _)| *at <= now) {
            arrived.push(next);
        }
        let first = arrived.iter().enumerate().min_by(|(_, a), (_, b)| {
            let by_rank = rank(a.1).cmp(&rank(b.1));
            by_rank.then(a.0.total_cmp(&b.0))
        });
        let Some((position, _)) = first else {
            match arrivals_left.peek() {
                Some((at, _)) => now = *at,
                None => return (on_time / short, longest),
            }
            continue;
        };
        let (at, tokens) = arrived.remove(position);
        now += f64::from(tokens) / TOKENS_PER_MS;
        if tokens < 1000 {
            short += 1.0;
            on_time += f64::from(u8::from(now - at <= GOAL_MS));
        } else {
            longest = longest.max(now - at);
        }
    }
}

#[test]
fn short_requests_are_on_time_despite_long_ones() {
    let (arrival_order, _) = process_prompts(|_| 0);
    let ranked = |tokens| {
        let urgency = Urgency::of(TokenCount {
            prompt: tokens,
            output: 0,
        });
        urgency.to_string().parse().expect("a number")
    };
    let (urgency_order, longest) = process_prompts(ranked);
    assert!(
        arrival_order < 0.95,
        "first come, first served has {arrival_order} on time"
    );
    assert!(urgency_order > 0.99, "only {urgency_order} on time");
    assert!(longest < DEADLINE_MS, "a long request waits {longest} ms");
}

#[test]
fn ranks_stay_within_the_engines_range() {
    let rank = |prompt| Urgency::of(TokenCount { prompt, output: 0 }).to_string();
    assert_eq!(rank(0), "0");
    assert_eq!(rank(700), "3");
    assert_eq!(rank(u32::MAX), "9");
}
