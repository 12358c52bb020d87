//! When the next holder of a zone may order after several hand-overs.

use std::time::{Duration, Instant};

use caraway_gateway::HolderTurns;

const LEASE: Duration = Duration::from_secs(3);
const MS: Duration = Duration::from_millis(1);
/// Time in which an order arrives.
const ORDER_TIME: Duration = Duration::from_millis(150);

#[test]
fn first_hand_over_interrupts_no_orders() {
    let mut turns = HolderTurns::default();
    let now = Instant::now();
    assert_eq!(turns.next_wait(now, LEASE, Some(now)), Duration::ZERO);
    assert_eq!(
        turns.on_hand_over(now, LEASE, Duration::ZERO),
        Duration::ZERO
    );
    let later = now + LEASE + ORDER_TIME;
    assert_eq!(turns.next_wait(later, LEASE, Some(later)), Duration::ZERO);
    assert_eq!(turns.on_claim(later, LEASE), Duration::ZERO);
}

// Guards against: a zone that was handed over goes back, or to a third instance, which orders within the
// lease after the last order.
#[test]
fn second_hand_over_waits_for_the_lease_since_the_last_order() {
    let start = Instant::now();
    let mut turns = HolderTurns::default();
    turns.on_hand_over(start, LEASE, Duration::ZERO);
    let (last_order, now) = (start + 1500 * MS, start + 2000 * MS);
    let wait = turns.next_wait(now, LEASE, Some(last_order));
    assert_eq!(now + wait, last_order + LEASE + ORDER_TIME);
    let idle = turns.next_wait(now, LEASE, None);
    assert_eq!(now + idle, start + LEASE + ORDER_TIME, "it gave no order");
    // The instance that takes the zone complies also if the former holder states nothing.
    let mut of_taker = turns;
    assert!(of_taker.on_hand_over(now, LEASE, Duration::ZERO) >= LEASE);
    assert_eq!(turns.on_hand_over(now, LEASE, wait), wait);
    // The next holder has given no order when it hands the zone on.
    let third = turns.next_wait(now + 100 * MS, LEASE, None);
    assert!(third >= wait.saturating_sub(100 * MS), "{third:?}");
}

/// A zone's holder.
#[derive(Clone, Copy)]
struct Holding {
    holder: usize,
    first_order_at: Instant,
    last_order: Option<Instant>,
}

/// Returns whether an order of `holder` at `now` would be the third turn within the lease; `terms` are
/// the holders that have ordered, each with the time of its last order.
fn is_third_turn(terms: &[(usize, Instant)], holder: usize, now: Instant) -> bool {
    match terms {
        [.., (_, first), (last, _)] => *last != holder && now < *first + LEASE,
        _ => false,
    }
}

// Guards against: a series of hand-overs and of claims after an exit lets a third holder, or the first
// again, order within the lease.
#[test]
fn no_series_of_holders_takes_turns_within_the_lease() {
    let mut turns_avoided = 0;
    for seed in 0..200_u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut random = |below: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % below
        };
        let start = Instant::now();
        let (mut now, mut turns) = (start, HolderTurns::default());
        let mut terms: Vec<(usize, Instant)> = Vec::new();
        let mut holding = Holding {
            holder: 0,
            first_order_at: start,
            last_order: None,
        };
        for _ in 0..300 {
            now += MS * u32::try_from(random(900)).expect("small");
            if random(3) > 0 {
                let is_third = is_third_turn(&terms, holding.holder, now);
                if now < holding.first_order_at {
                    turns_avoided += usize::from(is_third);
                    continue;
                }
                assert!(!is_third, "seed {seed}: {terms:?}");
                terms.pop_if(|(holder, _)| *holder == holding.holder);
                terms.push((holding.holder, now));
                holding.last_order = Some(now);
                continue;
            }
            let wait = match random(6) {
                0 => {
                    // The former holder has ended, and all its orders with it.
                    terms.retain(|(holder, _)| *holder != holding.holder);
                    turns.on_claim(now, LEASE)
                }
                // One of a former build states nothing.
                1 => turns.on_hand_over(now, LEASE, Duration::ZERO),
                _ => {
                    let stated = turns.next_wait(now, LEASE, holding.last_order);
                    turns.on_hand_over(now, LEASE, stated)
                }
            };
            let other = usize::try_from(1 + random(3)).expect("small");
            holding = Holding {
                holder: (holding.holder + other) % 4,
                first_order_at: now + wait,
                last_order: None,
            };
        }
    }
    // On average more than one of each seed.
    assert!(turns_avoided > 200, "{turns_avoided} such turns");
}
