//! An availability zone of twenty instances is cut off from the store.

use std::time::Duration;

use caraway_gateway::StoreBackoff;

/// Returns the calls that an instance makes in `span` while each fails at once.
fn calls(has_readers: bool, span: Duration) -> usize {
    let mut pause = StoreBackoff::default();
    let mut at = Duration::ZERO;
    let mut calls = 0;
    while at < span {
        calls += 1;
        at += pause.record_failure(has_readers, 3);
    }
    calls
}

#[test]
fn only_instances_that_others_rely_on_call_often() {
    let span = Duration::from_secs(6);
    let holder = calls(true, span);
    let others = calls(false, span);
    assert!(
        holder >= 20,
        "the holder sees the store's return within 0.3 s"
    );
    assert!(others * 2 < holder, "{others} calls against {holder}");
}

#[test]
fn an_answer_starts_the_pauses_anew() {
    let mut pause = StoreBackoff::default();
    let first = pause.record_failure(false, 3);
    assert!(pause.record_failure(false, 3) > first);
    pause.record_success();
    assert_eq!(pause.record_failure(false, 3), first);
}

/// The store is away, and each of a zone's many instances asks whether it is back.
#[test]
fn a_zone_of_many_calls_no_more_often_than_one_of_few() {
    let calls_a_second = |zone_instances: usize| {
        let mut pause = StoreBackoff::default();
        let last = (0..10)
            .map(|_| pause.record_failure(false, zone_instances))
            .last();
        let others = u32::try_from(zone_instances - 1).expect("few");
        f64::from(others) / last.expect("ten of them").as_secs_f64()
    };
    assert!(calls_a_second(10) <= 3.0 * calls_a_second(4));
    assert!(calls_a_second(39) <= 13.0, "as by the longest pause");
}
