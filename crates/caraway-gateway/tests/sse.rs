//! Event streams are split at event boundaries, however their bytes are chunked.

use caraway_gateway::EventSplitter;
use proptest::prelude::*;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n";

#[test]
fn incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let events = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("one event");
    assert_eq!(&events[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_event_id().map(|i| &**i), Some("1"));
    assert!(splitter.has_partial_event());
    splitter.discard_partial();
    let events = splitter
        .push(b"id: 2\ndata: b\n\n")
        .expect("the event from its start");
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
    assert!(!splitter.has_partial_event());
}

proptest! {
    #[test]
    fn any_chunking_gives_the_same_events(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(events) = splitter.push(&STREAM[pair[0]..pair[1]]) {
                prop_assert!(events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
                forwarded.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(&forwarded[..], STREAM);
        prop_assert_eq!(splitter.event_count(), 4);
        prop_assert_eq!(splitter.last_event_id().map(|i| &**i), Some("4"));
    }
}
