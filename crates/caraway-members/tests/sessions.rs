//! Golden sessions of one instance: each `tests/sessions/NAME.json` has settings and timed events,
//! and `NAME.txt` has the expected member events and changes of permissions, one a line.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use caraway_members::{
    Ack, EndpointInfo, Heartbeat, Holding, Identity, ListedMember, MemberSettings, Members,
};
use caraway_types::EndpointId;
use serde::Deserialize;

/// Interval between two ticks of a session.
const TICK: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Session {
    #[serde(rename = "me")]
    identity: Identity,
    #[serde(default)]
    settings: MemberSettings,
    endpoints: Vec<EndpointInfo>,
    events: Vec<Event>,
    end_ms: u64,
}

#[derive(Deserialize)]
struct Event {
    at_ms: u64,
    #[serde(rename = "what")]
    kind: EventKind,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Listing(Vec<ListedMember>),
    /// A peer that sends heartbeats and acknowledges all of this instance's, until `until_ms`.
    Peer {
        id: String,
        incarnation: u64,
        until_ms: u64,
        held: Vec<Holding>,
    },
    Leave,
    Drained(EndpointId),
}

/// Returns the heartbeat that a peer sends at `now_ms`, or `None` if `kind` is no peer or it has
/// stopped.
fn heartbeat(
    session: &Session,
    kind: &EventKind,
    now_ms: u64,
    own: &Heartbeat,
) -> Option<Heartbeat> {
    let EventKind::Peer {
        id,
        incarnation,
        until_ms,
        held,
    } = kind
    else {
        return None;
    };
    (now_ms <= *until_ms).then(|| Heartbeat {
        from: id.as_str().into(),
        zone: session.identity.zone.clone(),
        incarnation: *incarnation,
        seq: now_ms + 1,
        lease: session.settings.lease,
        listed: true,
        tag: 1,
        acks: vec![Ack {
            tag: own.tag,
            seq: own.seq,
        }],
        contacts: Vec::new(),
        held: held.clone(),
        objections: Vec::new(),
        departures: Vec::new(),
    })
}

/// Returns the newest listing at `now_ms`.
fn listing(session: &Session, now_ms: u64) -> Option<&[ListedMember]> {
    let shown = session.events.iter().filter(|e| e.at_ms <= now_ms);
    let mut lists = shown.filter_map(|e| match &e.kind {
        EventKind::Listing(list) => Some(&list[..]),
        _ => None,
    });
    lists.next_back()
}

fn run(session: &Session) -> String {
    let start = Instant::now();
    let mut members = Members::new(
        session.identity.clone(),
        session.settings.clone(),
        session.endpoints.clone(),
        start,
    );
    let mut lines = Vec::new();
    let mut permissions = Vec::new();
    let mut now_ms = 0;
    while now_ms <= session.end_ms {
        let now = start + Duration::from_millis(now_ms);
        let own = members.heartbeat(now);
        if let Some(list) = listing(session, now_ms) {
            members.on_listing(now, list);
        }
        for event in session.events.iter().filter(|e| e.at_ms <= now_ms) {
            let is_now = event.at_ms == now_ms;
            match &event.kind {
                EventKind::Leave if is_now => members.leave(now),
                EventKind::Drained(endpoint) if is_now => members.on_drained(now, endpoint),
                kind => {
                    if let Some(heartbeat) = heartbeat(session, kind, now_ms, &own) {
                        members.on_heartbeat(now, &heartbeat);
                    }
                }
            }
        }
        for event in members.tick(now) {
            lines.push(format!("{now_ms} {event:?}"));
        }
        let ids = session.endpoints.iter().map(|e| &e.id);
        let next: Vec<_> = ids.map(|id| members.permission(now, id)).collect();
        if next != permissions {
            lines.push(format!("{now_ms} permissions {next:?}"));
            permissions = next;
        }
        now_ms += u64::try_from(TICK.as_millis()).expect("short");
    }
    lines.join("\n") + "\n"
}

fn session(path: &Path) -> datatest_stable::Result<()> {
    let session: Session = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let expected = std::fs::read_to_string(path.with_extension("txt")).unwrap_or_default();
    let got = run(&session);
    if got == expected {
        Ok(())
    } else {
        Err(format!("expected\n{expected}\ngot\n{got}").into())
    }
}

datatest_stable::harness! {
    { test = session, root = "tests/sessions", pattern = r"\.json$" },
}
