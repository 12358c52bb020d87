//! Serves one request end to end.

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

/// Lets a lone node live for so long that it holds everything in its zone.
fn settle(node: &mut Node, mut now: Instant) -> Instant {
    let mut out = Vec::new();
    let listed = |id: &str, endpoint| ListedMember {
        id: id.into(),
        zone: "zone-1".into(),
        incarnation: 1,
        leaving: false,
        endpoint,
    };
    for _ in 0..200 {
        now += Duration::from_millis(100);
        let list = vec![listed("entry-1", false), listed("engine-1", true)];
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

/// Makes a lone node with one engine that holds everything in its zone.
fn lone_node() -> (Node, Instant) {
    let now = Instant::now();
    let settings = NodeSettings {
        endpoints: vec![EndpointSettings::default()],
        ..NodeSettings::default()
    };
    let mut node = Node::new(settings, now);
    let now = settle(&mut node, now);
    (node, now)
}

#[test]
fn a_request_that_comes_back_after_its_deadline_is_refused_at_once() {
    let (mut node, now) = lone_node();
    let mut out = Vec::new();
    node.handle(now, Input::Submit(submission(now)), &mut out);
    let Some(Output::Load { endpoint, load, .. }) = out.pop() else {
        panic!("expected a load, got {out:?}");
    };
    let loaded = Input::Loaded(endpoint, load, LoadResult::Resident);
    node.handle(now, loaded, &mut out);
    out.clear();
    // The attempt did not run, and the node learns it only after the deadline.
    let late = now + Duration::from_secs(11);
    node.handle(late, Input::Tick, &mut out);
    out.clear();
    node.handle(late, Input::Finished(1, AttemptOutcome::NotRun), &mut out);
    let refused = out.iter().any(|o| {
        matches!(o, Output::Refuse { ticket: 1, refusal } if refusal.reason == Reason::Deadline)
    });
    assert!(refused, "{out:?}");
}

#[test]
fn serves_one_request() {
    let (mut node, now) = lone_node();
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
        load: started,
        ..
    }) = out.pop()
    else {
        panic!("expected a start, got {out:?}");
    };
    assert_eq!(started, load);
    node.handle(now, Input::Finished(1, AttemptOutcome::Complete), &mut out);
    assert_eq!(out, []);
}
