//! An availability zone of twenty instances is cut off from the store.

use std::time::Duration;

use caraway_gateway::RetryPause;

/// Returns the calls that an instance makes in `span` while each fails at once.
fn calls(relied_on: bool, span: Duration) -> usize {
    let mut pause = RetryPause::default();
    let mut at = Duration::ZERO;
    let mut calls = 0;
    while at < span {
        calls += 1;
        at += pause.on_failure(relied_on);
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
    let mut pause = RetryPause::default();
    let first = pause.on_failure(false);
    assert!(pause.on_failure(false) > first);
    pause.on_answer();
    assert_eq!(pause.on_failure(false), first);
}
