//! Serves one request end to end.

use std::time::{Duration, Instant};

use caraway_node::{
    Done, EndpointSettings, Input, LoadResult, Node, NodeSettings, Output, Submission,
};
use caraway_types::{AdapterRef, Class};

fn submission(now: Instant) -> Submission {
    Submission {
        ticket: 1,
        account: "signs".into(),
        adapter: AdapterRef::new("banner", "3"),
        class: Class::Interactive,
        deadline: now + Duration::from_secs(10),
        tokens: 20,
        prefix: 0,
        via: None,
        hops: 0,
    }
}

#[test]
fn serves_one_request() {
    let now = Instant::now();
    let settings = NodeSettings {
        endpoints: vec![EndpointSettings::default()],
        ..NodeSettings::default()
    };
    let mut node = Node::new(settings, now);
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
    node.handle(
        now,
        Input::Loaded(endpoint, load.clone(), LoadResult::Resident),
        &mut out,
    );
    let Some(Output::Start {
        ticket: 1,
        load: started,
        ..
    }) = out.pop()
    else {
        panic!("expected a start, got {out:?}");
    };
    assert_eq!(started, load);
    node.handle(now, Input::Finished(1, Done::Complete), &mut out);
    assert_eq!(out, []);
}
