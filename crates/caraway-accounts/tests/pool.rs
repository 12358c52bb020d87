//! The pool of a zone's holder. Each test names the excess or the refusal that it guards against.

#![expect(clippy::float_cmp, reason = "the values are exact in binary")]

mod common;

use std::time::{Duration, Instant};

use caraway_accounts::{Draw, PoolShare, QuotaPool};
use common::{BOUNDS, account, directory};

fn draw(amount: f64, least: f64) -> Draw {
    Draw {
        account: "a".into(),
        amount,
        least,
        returned: 0.0,
    }
}

/// A pool of one of two zones for a rate of 1,024 and a burst of 2,048, after `idle`.
fn pool(now: Instant, idle: Duration) -> (QuotaPool, Instant) {
    let mut pool = QuotaPool::new(2, BOUNDS);
    pool.set_accounts(now, &directory(&[account("a", 1024.0, 2048.0)]));
    (pool, now + idle)
}

/// Fails if the next holder starts with a full bucket: every takeover would grant a burst.
#[test]
fn a_new_pool_is_empty_and_fills_to_its_part_of_the_burst() {
    let (mut pool, now) = pool(Instant::now(), Duration::ZERO);
    assert_eq!(pool.draw(now, &draw(10.0, 10.0)).granted, 0.0);
    let now = now + Duration::from_millis(500);
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 256.0);
    let now = now + Duration::from_hours(2);
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 1024.0, "paused");
}

/// Fails if a request that costs more than the level is refused although there is allowance, or if
/// the debt is not paid back before the next grant.
#[test]
fn a_grant_may_exceed_the_level_by_one_request() {
    let (mut pool, now) = pool(Instant::now(), Duration::from_millis(500));
    assert_eq!(pool.draw(now, &draw(9200.0, 9200.0)).granted, 9200.0);
    let denied = pool.draw(now, &draw(100.0, 100.0));
    assert_eq!(denied.granted, 0.0);
    let debt = Duration::from_secs_f64((9200.0 - 256.0) / 512.0);
    assert_eq!(denied.retry_after, debt + Duration::from_millis(1));
    let early = pool.draw(now + debt / 2, &draw(100.0, 100.0));
    assert_eq!(early.granted, 0.0, "the debt is not paid back");
    let later = now + denied.retry_after;
    assert_eq!(pool.draw(later, &draw(100.0, 100.0)).granted, 100.0);
}

/// Fails if all denied instances are told the same time: all but one would be denied again.
#[test]
fn denied_draws_are_told_different_times() {
    let (mut pool, now) = pool(Instant::now(), Duration::ZERO);
    let mut retry = || pool.draw(now, &draw(64.0, 64.0)).retry_after.as_millis();
    assert_eq!([retry(), retry(), retry()], [1, 126, 251]);
    assert!((0..100).all(|_| retry() <= 1001), "within half a refill");
}

/// Fails if returned allowance could raise a pool above its burst.
#[test]
fn returned_allowance_is_granted_again_up_to_the_burst() {
    let (mut pool, now) = pool(Instant::now(), Duration::from_secs(2));
    assert_eq!(pool.draw(now, &draw(1024.0, 0.0)).granted, 1024.0);
    for returned in [f64::NAN, f64::INFINITY, -5.0, 64.0] {
        let give_back = Draw {
            returned,
            ..draw(0.0, 0.0)
        };
        assert_eq!(pool.draw(now, &give_back).granted, 0.0);
    }
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 64.0);
    let give_back = Draw {
        returned: 1e9,
        ..draw(5000.0, 0.0)
    };
    assert_eq!(pool.draw(now, &give_back).granted, 1024.0);
}

/// Fails if a lowered quota leaves a level above its burst, or a new account starts with one.
#[test]
fn a_new_configuration_applies_in_place() {
    let (mut pool, now) = pool(Instant::now(), Duration::from_secs(2));
    let lowered = [account("a", 512.0, 128.0), account("b", 64.0, 64.0)];
    pool.set_accounts(now, &directory(&lowered));
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 64.0);
    let now = now + Duration::from_millis(125);
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 32.0);
    let mut other = draw(5.0, 5.0);
    other.account = "b".into();
    assert_eq!(pool.draw(now, &other).granted, 5.0);
    pool.set_accounts(now, &directory(&[account("a", 0.0, 0.0)]));
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 5000.0, "free");
    let unknown = pool.draw(now, &other);
    assert_eq!(unknown.granted, 0.0);
    assert!(unknown.retry_after > Duration::ZERO);
    pool.set_accounts(now, &directory(&[account("a", 512.0, 128.0)]));
    assert_eq!(pool.draw(now, &draw(50.0, 50.0)).granted, 0.0, "new limit");
}

/// Fails if two holders of one zone grant more than the zone's part together.
#[test]
fn the_shares_of_several_holders_add_up_to_one() {
    let now = Instant::now();
    let names = |zone: &str| {
        let name = |i: usize| format!("{zone}{i}").into();
        (0..4).map(name).collect::<Vec<_>>()
    };
    // Zone a is cut off from zones b and c; both sides have a holder of zone a.
    let mut inside = PoolShare::new(true, None);
    let mut outside = PoolShare::new(false, Some((12, now)));
    assert_eq!(outside.share(now), 0.0, "none of the zone is seen");
    for name in names("b").iter().chain(&names("c")) {
        inside.on_connected(name, false);
        outside.on_connected(name, false);
        inside.on_lost(now, name);
    }
    for name in &names("a")[..3] {
        inside.on_connected(name, true);
    }
    assert_eq!(inside.share(now), 1.0, "the zone keeps its own pool");
    assert_eq!(outside.share(now), 0.0);
    inside.on_lost(now, &names("a")[0]);
    assert_eq!(inside.share(now), 0.75);
    let later = now + Duration::from_mins(2);
    assert_eq!(inside.share(later), 1.0, "the lost one is gone for good");
    assert_eq!(outside.share(later), 1.0, "the whole zone is gone for good");

    let (mut pool, now) = pool(now, Duration::ZERO);
    pool.set_share(now, 0.25);
    let now = now + Duration::from_secs(1);
    assert_eq!(pool.draw(now, &draw(5000.0, 0.0)).granted, 128.0);
    pool.set_share(now, f64::NAN);
    pool.set_share(now, 0.0);
    let denied = pool.draw(now + Duration::from_secs(9), &draw(5.0, 0.0));
    assert_eq!(denied.granted, 0.0);
    assert!(
        denied.retry_after > Duration::from_secs(9),
        "it never fills"
    );
}
