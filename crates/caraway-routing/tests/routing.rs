//! Deltas of residency, rate limits, and the order of pending requests.

use std::time::{Duration, Instant};

use caraway_routing::{
    Allowance, Change, Directory, Gap, Journal, Limits, Waiter, Waiting, adapter_hash, home,
    replica_hash,
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
    let mut journal = Journal::default();
    let mut directory = Directory::default();
    let first = journal.delta(&b, || vec![change("x", true)]);
    directory.apply(&a, &first).unwrap();
    journal.add(&b, &change("y", true));
    let _lost = journal.delta(&b, Vec::new);
    journal.add(&b, &change("x", false));
    let next = journal.delta(&b, Vec::new);
    assert_eq!(directory.apply(&a, &next), Err(Gap));
    assert_eq!(directory.find(&AdapterRef::new("x", "1")).len(), 1);
    journal.resend(&b);
    let all = journal.delta(&b, || vec![change("y", true)]);
    directory.apply(&a, &all).unwrap();
    assert!(directory.find(&AdapterRef::new("x", "1")).is_empty());
    assert_eq!(directory.find(&AdapterRef::new("y", "1")).len(), 1);
}

#[test]
fn account_over_its_rate_limit_gets_the_time_until_the_next_token() {
    let now = Instant::now();
    let mut limits = Limits::default();
    let allowance = Allowance {
        rate: 2.0,
        burst: 3.0,
    };
    let account = "account".into();
    for _ in 0..3 {
        limits.admit(now, &account, allowance).unwrap();
    }
    let wait = limits.admit(now, &account, allowance).unwrap_err();
    assert_eq!(wait, Duration::from_millis(500));
    limits.admit(now + wait, &account, allowance).unwrap();
    limits.admit(now, &"other".into(), allowance).unwrap();
}

fn waiter(ticket: u64, account: &str, class: Class, since: Instant) -> Waiter {
    Waiter {
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
    let mut waiting = Waiting::new(now);
    let (a, b) = (AdapterRef::new("a", "1"), AdapterRef::new("b", "1"));
    waiting.add(&a, waiter(1, "x", Class::Batch, now));
    waiting.add(
        &a,
        waiter(2, "x", Class::Interactive, now + Duration::from_millis(5)),
    );
    assert_eq!(waiting.first(&a).map(|w| w.ticket), Some(2));
    waiting.add(&b, waiter(3, "y", Class::Batch, now));
    assert!(waiting.score(now, &a) > waiting.score(now, &b));
    let later = now + Duration::from_mins(5);
    assert!(waiting.score(later, &b) > 10.0 * waiting.score(now, &b));
}

#[test]
fn flood_of_one_account_does_not_outweigh_another_account() {
    let now = Instant::now();
    let mut waiting = Waiting::new(now);
    let flood = AdapterRef::new("flood", "1");
    let other = AdapterRef::new("other", "1");
    for ticket in 0..100 {
        waiting.add(&flood, waiter(ticket, "flooding", Class::Interactive, now));
    }
    waiting.add(&other, waiter(100, "other", Class::Interactive, now));
    assert!(waiting.score(now, &flood) > waiting.score(now, &other));
    for _ in 0..20 {
        waiting.charge(now, &flood);
    }
    assert!(waiting.score(now, &flood) < waiting.score(now, &other));
}

#[test]
fn removing_a_replica_moves_only_the_adapter_versions_it_was_home_to() {
    let replicas: Vec<EndpointId> = (0..9).map(|i| format!("engine-{i}").into()).collect();
    let choose = |adapter: &AdapterRef, removed: usize| {
        let remaining = replicas.iter().enumerate().filter(|(i, _)| *i != removed);
        home(
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
