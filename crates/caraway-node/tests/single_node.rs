//! Requests on a single node that holds the only engine of its zone.

use std::time::{Duration, Instant};

use caraway_node::{
    AttemptOutcome, EndpointSettings, EngineReport, Input, ListedMember, LoadResult, Node,
    NodeSettings, Output, Submission,
};
use caraway_types::{AdapterRef, Class, Reason};

fn submission(now: Instant) -> Submission {
    Submission {
        ticket: 1,
        account: "signs".into(),
        adapter: AdapterRef::new("banner", "3"),
        class: Class::Interactive,
        deadline: now + Duration::from_secs(10),
        max_tokens: 20,
        prefix_hash: 0,
        forwarded_by: None,
        hops: 0,
    }
}

/// Advances a single node until it holds every replica of its zone, and returns the new time.
fn acquire_replicas(node: &mut Node, mut now: Instant) -> Instant {
    let mut out = Vec::new();
    let list_entry = |id: &str, endpoint| ListedMember {
        id: id.into(),
        zone: "zone-1".into(),
        incarnation: 1,
        leaving: false,
        endpoint,
    };
    for _ in 0..200 {
        now += Duration::from_millis(100);
        let list = vec![list_entry("entry-1", false), list_entry("engine-1", true)];
        node.handle(now, Input::Listing(list), &mut out);
        let report = EngineReport {
            incarnation: 1,
            slots: 4,
            ..EngineReport::default()
        };
        node.handle(now, Input::Report("engine-1".into(), report), &mut out);
    }
    now
}

/// Creates a single node that holds the only engine and the permits of its zone.
fn single_node() -> (Node, Instant) {
    let now = Instant::now();
    let settings = NodeSettings {
        endpoints: vec![EndpointSettings::default()],
        ..NodeSettings::default()
    };
    let mut node = Node::new(settings, now);
    let now = acquire_replicas(&mut node, now);
    (node, now)
}

/// If an attempt ends as not run after the deadline of its request, the request must be refused
/// immediately and not be retried.
#[test]
fn refuses_a_request_that_did_not_run_by_its_deadline() {
    let (mut node, now) = single_node();
    let mut out = Vec::new();
    node.handle(now, Input::Submit(submission(now)), &mut out);
    let Some(Output::Load { endpoint, load, .. }) = out.pop() else {
        panic!("expected a load, got {out:?}");
    };
    let loaded = Input::Loaded(endpoint, load, LoadResult::Resident);
    node.handle(now, loaded, &mut out);
    out.clear();
    // The attempt did not run, which the node learns only after the deadline.
    let after_deadline = now + Duration::from_secs(11);
    node.handle(after_deadline, Input::Tick, &mut out);
    out.clear();
    node.handle(
        after_deadline,
        Input::Finished(1, AttemptOutcome::NotRun),
        &mut out,
    );
    let is_refused = out.iter().any(|o| {
        matches!(o, Output::Refuse { ticket: 1, refusal } if refusal.reason == Reason::Deadline)
    });
    assert!(is_refused, "{out:?}");
}

/// A request for an adapter version that is not resident orders its load, starts on that load and
/// ends without further outputs.
#[test]
fn loads_the_adapter_and_serves_a_request() {
    let (mut node, now) = single_node();
    let mut out = Vec::new();
    node.handle(now, Input::Submit(submission(now)), &mut out);
    let Some(Output::Load {
        endpoint,
        load,
        adapter,
        ..
    }) = out.pop()
    else {
        panic!("expected a load, got {out:?}");
    };
    assert_eq!(adapter, AdapterRef::new("banner", "3"));
    let loaded = Input::Loaded(endpoint, load.clone(), LoadResult::Resident);
    node.handle(now, loaded, &mut out);
    let Some(Output::Start {
        ticket: 1,
        load: used_load,
        ..
    }) = out.pop()
    else {
        panic!("expected a start, got {out:?}");
    };
    assert_eq!(used_load, load);
    node.handle(now, Input::Finished(1, AttemptOutcome::Complete), &mut out);
    assert_eq!(out, []);
}
