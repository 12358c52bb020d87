//! Deltas of residency, rate limits, and the order of pending requests.

use std::time::{Duration, Instant};

use caraway_routing::{
    Change, Directory, Gap, Outbox, PendingRequest, PendingRequests, RateLimit, RateLimiter,
    adapter_hash, choose_home, replica_hash,
};
use caraway_types::{AdapterRef, Class, EndpointId};

fn change(name: &str, gained: bool) -> Change {
    Change {
        endpoint: "engine-1".into(),
        adapter: AdapterRef::new(name, "1"),
        gained,
    }
}

#[test]
fn lost_delta_is_detected_and_repaired_by_a_full_listing() {
    let (a, b) = ("a".into(), "b".into());
    let mut outbox = Outbox::default();
    let mut directory = Directory::default();
    let first = outbox.next_delta(&b, || vec![change("x", true)]);
    directory.apply(&a, &first).unwrap();
    outbox.push(&b, &change("y", true));
    let _lost = outbox.next_delta(&b, Vec::new);
    outbox.push(&b, &change("x", false));
    let next = outbox.next_delta(&b, Vec::new);
    assert_eq!(directory.apply(&a, &next), Err(Gap));
    assert_eq!(directory.find(&AdapterRef::new("x", "1")).len(), 1);
    outbox.send_full_next(&b);
    let all = outbox.next_delta(&b, || vec![change("y", true)]);
    directory.apply(&a, &all).unwrap();
    assert!(directory.find(&AdapterRef::new("x", "1")).is_empty());
    assert_eq!(directory.find(&AdapterRef::new("y", "1")).len(), 1);
}

#[test]
fn account_over_its_rate_limit_gets_the_time_until_the_next_token() {
    let now = Instant::now();
    let mut limits = RateLimiter::default();
    let limit = RateLimit {
        rate: 2.0,
        burst: 3.0,
    };
    let account = "account".into();
    for _ in 0..3 {
        limits.admit(now, &account, limit).unwrap();
    }
    let wait = limits.admit(now, &account, limit).unwrap_err();
    assert_eq!(wait, Duration::from_millis(500));
    limits.admit(now + wait, &account, limit).unwrap();
    limits.admit(now, &"other".into(), limit).unwrap();
}

/// Fails if refilled buckets are found by the limit of the caller that happens to ask: an account
/// with a slower limit lost its bucket and got a second burst.
#[test]
fn bucket_is_kept_until_it_has_refilled_at_its_own_limit() {
    let now = Instant::now();
    let mut limits = RateLimiter::default();
    let slow = RateLimit {
        rate: 0.5,
        burst: 5.0,
    };
    let fast = RateLimit {
        rate: 100.0,
        burst: 10.0,
    };
    let account = "slow".into();
    for _ in 0..5 {
        limits.admit(now, &account, slow).unwrap();
    }
    let later = now + Duration::from_secs(1);
    for i in 0..2000 {
        limits
            .admit(later, &format!("account {i}").into(), fast)
            .unwrap();
    }
    let wait = limits.admit(later, &account, slow).unwrap_err();
    assert_eq!(wait, Duration::from_secs(1));
    assert_eq!(limits.admit(later + wait, &account, slow), Ok(()));
}

fn request(ticket: u64, account: &str, class: Class, since: Instant) -> PendingRequest {
    PendingRequest {
        ticket,
        account: account.into(),
        class,
        since,
        deadline: since + Duration::from_mins(1),
    }
}

#[test]
fn interactive_requests_precede_batch_requests_and_score_grows_with_age() {
    let now = Instant::now();
    let mut pending = PendingRequests::new(now);
    let (a, b) = (AdapterRef::new("a", "1"), AdapterRef::new("b", "1"));
    pending.add(&a, request(1, "x", Class::Batch, now));
    pending.add(
        &a,
        request(2, "x", Class::Interactive, now + Duration::from_millis(5)),
    );
    assert_eq!(pending.first(&a).map(|r| r.ticket), Some(2));
    pending.add(&b, request(3, "y", Class::Batch, now));
    assert!(pending.score(now, &a) > pending.score(now, &b));
    let later = now + Duration::from_mins(5);
    assert!(pending.score(later, &b) > 10.0 * pending.score(now, &b));
}

#[test]
fn flood_of_one_account_does_not_outweigh_another_account() {
    let now = Instant::now();
    let mut pending = PendingRequests::new(now);
    let flood = AdapterRef::new("flood", "1");
    let other = AdapterRef::new("other", "1");
    for ticket in 0..100 {
        pending.add(&flood, request(ticket, "flooding", Class::Interactive, now));
    }
    pending.add(&other, request(100, "other", Class::Interactive, now));
    assert!(pending.score(now, &flood) > pending.score(now, &other));
    for _ in 0..20 {
        pending.charge(now, &flood);
    }
    assert!(pending.score(now, &flood) < pending.score(now, &other));
}

#[test]
fn removing_a_replica_moves_only_the_adapter_versions_it_was_home_to() {
    let replicas: Vec<EndpointId> = (0..9).map(|i| format!("engine-{i}").into()).collect();
    let choose = |adapter: &AdapterRef, removed: usize| {
        let remaining = replicas.iter().enumerate().filter(|(i, _)| *i != removed);
        choose_home(
            adapter_hash(adapter),
            remaining.map(|(i, id)| (replica_hash(id), i)),
        )
    };
    for i in 0..500 {
        let adapter = AdapterRef::new(format!("a{i}"), "1");
        let before = choose(&adapter, usize::MAX);
        let after = choose(&adapter, 4);
        assert!(before == Some(4) || before == after);
        assert_ne!(after, Some(4));
    }
}
