//! Following the platform's store: the configuration, the registry of endpoints, the holders.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use caraway_platform::{Record, StoreError, Topic};
use caraway_routes::{MissingPolicy, OutageDetector};
use caraway_types::{Offset, ZoneId};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{
    apply::{self, RecordSource},
    claim,
    claim_schedule::ClaimSchedule,
    event::emit,
    executor::millis,
    forwarding::ForwardingStatus,
    frame::{self, FromHolder, RecordsFrame, ToHolder},
    record_cache::RecordCache,
    retry::RetryPause,
    session::Outgoing,
    shared::Shared,
};

/// Time for which the store is asked to wait for a new configuration. An answer that is lost delays
/// the next one by this, the answer's limit and the pause after a failure, together well within the
/// shortest time (2 s) in which a configuration has to be in force.
const OPERATORS_LONG_POLL: Duration = Duration::from_millis(700);
/// Time for which the store is asked to wait for a change of a zone's holder, which is rare.
const HOLDERS_LONG_POLL: Duration = Duration::from_secs(15);
/// Time for which the store is asked to wait for the registry's next change. It also bounds how
/// late a store that answers nothing is noticed, on which the other topics and the instances that
/// take this one's records rely: with the answer's limit well within the shortest time (2 s) in which
/// a configuration has to be in force.
const REGISTRY_LONG_POLL: Duration = Duration::from_millis(600);
/// Pause after a change of the registry, in which further ones gather: a leaving endpoint is known
/// within a quarter of the shortest time (2 s) that the deployments allow, and reads are priced.
const REGISTRY_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a change of a zone's holder of an instance that holds none: the zones are claimed
/// one after the other, as at a start, and each record would be read by every instance.
const HOLDERS_PAUSE: Duration = Duration::from_millis(200);
/// Pause between looks whether a holder still passes a topic on.
const FORWARDING_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which a starting instance has its zone's holder tell it what it knows; a session is
/// open within a few ms of the record of the holder.
const HOLDER_RECORDS_TIMEOUT: Duration = Duration::from_millis(400);
/// The same where the whole deployment starts, and callers come some 10 s later: all claims of
/// zones, which take a second and more where many start at once.
const FIRST_START_RECORDS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time over which the instances of a deployment that starts as a whole begin to read, those first
/// that are to claim the zones.
const FIRST_START_SPREAD: Duration = Duration::from_secs(1);
/// Pause between looks whether the holder has told what it knows.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How far this instance has read the topics.
#[derive(Debug, Default)]
pub(crate) struct Topics {
    states: HashMap<Topic, TopicState>,
    /// Time in which records have to be in force.
    in_force: Duration,
    /// Whether the registry of endpoints was away.
    outage: OutageDetector,
    pub(crate) claims: ClaimSchedule,
}

#[derive(Debug, Default)]
struct TopicState {
    next: Option<Offset>,
    /// When the topic was read last.
    last_read: Option<Instant>,
    failing: bool,
    forwarding: ForwardingStatus,
    cache: RecordCache,
    wake: Rc<Notify>,
}

impl Topics {
    /// Has read nothing; records have to be in force within `bound` after they were written.
    pub(crate) fn new(in_force: Duration) -> Self {
        Self {
            in_force,
            ..Self::default()
        }
    }

    /// Tells whether a topic was read to its end once.
    pub(crate) fn is_read(&self, topic: Topic) -> bool {
        self.next(topic).is_some()
    }

    /// Returns where a topic is read on.
    pub(crate) fn next(&self, topic: Topic) -> Option<Offset> {
        self.states.get(&topic)?.next
    }

    /// Lets a topic be read at once.
    pub(crate) fn wake(&self, topic: Topic) {
        if let Some(state) = self.states.get(&topic) {
            state.wake.notify_one();
        }
    }

    fn state(&mut self, topic: Topic) -> &mut TopicState {
        let in_force = self.in_force;
        self.states.entry(topic).or_insert_with(|| TopicState {
            forwarding: ForwardingStatus::new(in_force),
            ..TopicState::default()
        })
    }
}

/// Follows one topic for as long as the daemon runs.
pub(crate) async fn follow_topic(shared: Rc<Shared>, topic: Topic) {
    let wake = shared.topics.borrow_mut().state(topic).wake.clone();
    let mut retry = RetryPause::default();
    if topic == Topic::Holders {
        if shared.site.is_first_start {
            sleep(FIRST_START_SPREAD.mul_f64(claim::own_claim_rank(&shared, &shared.site.zone)))
                .await;
        }
    } else {
        wait_for_holder_records(&shared, topic).await;
    }
    loop {
        if is_forwarded(&shared, topic) {
            tokio::select! {
                () = sleep(FORWARDING_CHECK_INTERVAL) => {}
                () = wake.notified() => {}
            }
            continue;
        }
        let result = read_once(&shared, topic, &wake).await;
        let label = if result.is_ok() { "ok" } else { "failed" };
        shared.metrics.store_call(topic.label(), label);
        let pause = match result {
            Ok(ReadOutcome::Woken) => continue,
            Ok(ReadOutcome::Read) => {
                on_read_success(&shared, topic);
                retry.on_answer();
                match topic {
                    Topic::Endpoints => REGISTRY_PAUSE,
                    Topic::Holders if !is_store_reader(&shared) => HOLDERS_PAUSE,
                    Topic::Operators | Topic::Holders => Duration::ZERO,
                }
            }
            Err(e) => {
                on_read_failure(&shared, topic, &e);
                let is_store_reader = is_store_reader(&shared);
                let pause = retry.on_failure(is_store_reader, shared.zone_instances());
                if is_store_reader || !is_registry_failing(&shared, topic) {
                    pause
                } else {
                    retry.probed()
                }
            }
        };
        if !pause.is_zero() {
            tokio::select! {
                () = sleep(pause) => {}
                () = wake.notified() => {}
            }
        }
    }
}

/// Waits while the holder of this instance's zone may tell what it knows of a topic, so that a
/// starting instance does not read the store.
async fn wait_for_holder_records(shared: &Shared, topic: Topic) {
    let limit = if shared.site.is_first_start {
        FIRST_START_RECORDS_TIMEOUT
    } else {
        HOLDER_RECORDS_TIMEOUT
    };
    let end = Instant::now() + limit;
    while Instant::now() < end && may_receive_from_holder(shared, topic) {
        sleep(HOLDER_CHECK_INTERVAL).await;
    }
}

/// Tells whether the holder of this instance's zone may still tell what it knows of a topic.
fn may_receive_from_holder(shared: &Shared, topic: Topic) -> bool {
    let topics = shared.topics.borrow();
    if topics.is_read(topic) || !shared.held_zones.borrow().is_empty() {
        return false;
    }
    if !topics.is_read(Topic::Holders) {
        return true;
    }
    let sessions = shared.sessions.borrow();
    match sessions.get(&shared.site.zone) {
        Some(session) => !session.has_holder_exited(),
        None => shared.site.is_first_start,
    }
}

/// Tells whether other instances take this one's records, or none could pass any on to it.
fn is_store_reader(shared: &Shared) -> bool {
    !shared.held_zones.borrow().is_empty() || forwarding_zone(shared).is_none()
}

/// Tells whether calls for the registry show when the store is back for this topic, too.
fn is_registry_failing(shared: &Shared, topic: Topic) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topic != Topic::Endpoints && topics.state(Topic::Endpoints).failing
}

/// Takes records that another instance passed on.
pub(crate) fn on_records(shared: &Rc<Shared>, frame: &RecordsFrame) {
    let topic = Topic::ALL.into_iter().find(|t| t.label() == &*frame.topic);
    let Some(topic) = topic else {
        return;
    };
    let next = shared.topics.borrow().next(topic);
    if frame.complete && next.is_none_or(|n| n < frame.next) {
        let missing_policy = shared.topics.borrow().outage.missing_policy(Shared::now());
        apply_snapshot(
            shared,
            topic,
            frame.next,
            frame.records.clone(),
            missing_policy,
        );
    } else if next.is_some_and(|n| frame.from <= n && n < frame.next) {
        let source = if frame.late {
            RecordSource::Snapshot
        } else {
            RecordSource::Log
        };
        apply_records(
            shared,
            topic,
            frame.from,
            frame.next,
            &frame.records,
            source,
        );
    } else if next.is_none_or(|n| n < frame.from) {
        // Records that don't join what is known are read from the store.
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        state.forwarding.reset();
        state.wake.notify_one();
    }
}

/// Takes a record that this instance has appended at `at`.
pub(crate) fn on_own_append(shared: &Rc<Shared>, topic: Topic, at: Offset, record: &Record) {
    let next = shared.topics.borrow().next(topic);
    if next == Some(at) && record.offset == at {
        let records = std::slice::from_ref(record);
        apply_records(shared, topic, at, at + 1, records, RecordSource::Log);
    }
    shared.topics.borrow().wake(topic);
}

/// How a step of following a topic ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// The store has answered.
    Read,
    /// Something else asked for a look first.
    Woken,
}

async fn read_once(
    shared: &Rc<Shared>,
    topic: Topic,
    wake: &Notify,
) -> Result<ReadOutcome, StoreError> {
    let next = shared.topics.borrow().next(topic);
    let Some(from) = next else {
        read_newest(shared, topic).await?;
        return Ok(ReadOutcome::Read);
    };
    let failing = shared.topics.borrow_mut().state(topic).failing;
    let wait = match topic {
        // After a failure the first answer tells at once that the store is back.
        _ if failing => Duration::ZERO,
        Topic::Endpoints => REGISTRY_LONG_POLL,
        Topic::Operators => OPERATORS_LONG_POLL,
        Topic::Holders => HOLDERS_LONG_POLL,
    };
    let read = tokio::select! {
        read = shared.store.read(topic, from, wait) => read,
        // What was asked for may be known by now.
        () = wake.notified(), if !wait.is_zero() => return Ok(ReadOutcome::Woken),
    };
    match read {
        Ok(log) => {
            record_read(shared, topic);
            apply_records(
                shared,
                topic,
                from,
                log.next,
                &log.records,
                RecordSource::Log,
            );
            Ok(ReadOutcome::Read)
        }
        Err(StoreError::Trimmed) => {
            read_newest(shared, topic).await?;
            Ok(ReadOutcome::Read)
        }
        Err(e) => Err(e),
    }
}

/// Notes a read; returns what missing entries are by that.
fn record_read(shared: &Shared, topic: Topic) -> MissingPolicy {
    let mut topics = shared.topics.borrow_mut();
    let now = Shared::now();
    match topic {
        Topic::Endpoints => topics.outage.on_read(now),
        Topic::Operators | Topic::Holders => topics.outage.missing_policy(now),
    }
}

async fn read_newest(shared: &Rc<Shared>, topic: Topic) -> Result<(), StoreError> {
    let newest = shared.store.newest(topic).await?;
    let known = shared.topics.borrow().next(topic);
    if known.is_some_and(|known| newest.next < known) {
        let why = "the newest records are older than those that are known";
        return Err(StoreError::Unanswered(why.into()));
    }
    let missing_policy = record_read(shared, topic);
    apply_snapshot(shared, topic, newest.next, newest.records, missing_policy);
    Ok(())
}

/// Takes the newest records of all keys of a topic, and passes them on to those who miss the
/// records before them, too.
fn apply_snapshot(
    shared: &Rc<Shared>,
    topic: Topic,
    next: Offset,
    mut records: Vec<Record>,
    missing_policy: MissingPolicy,
) {
    if topic == Topic::Endpoints {
        let present = |id: &str| records.iter().any(|r| &*r.key == id);
        let gone = shared
            .directory
            .borrow_mut()
            .retain(present, missing_policy);
        for id in gone {
            apply::on_endpoint_removed(shared, &id, "it has no entry");
        }
    }
    records.sort_by_key(|r| r.offset);
    for record in &records {
        apply::apply(
            shared,
            topic,
            record,
            missing_policy,
            RecordSource::Snapshot,
        );
    }
    {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        state.next = Some(next);
        state.cache.replace(&records, next);
    }
    let frame = RecordsFrame {
        topic: topic.label().into(),
        complete: true,
        from: 0,
        next,
        records,
        late: true,
    };
    forward(shared, topic, frame);
}

/// Applies the records from `from` on that are new here, and passes them on.
fn apply_records(
    shared: &Rc<Shared>,
    topic: Topic,
    from: Offset,
    next: Offset,
    records: &[Record],
    source: RecordSource,
) {
    let known = shared.topics.borrow().next(topic).unwrap_or(from);
    if next <= known {
        return;
    }
    {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        state.next = Some(next);
        for record in records {
            state.cache.insert(record);
        }
    }
    let missing_policy = shared.topics.borrow().outage.missing_policy(Shared::now());
    let mut forwarded = Vec::new();
    for record in records.iter().filter(|r| r.offset >= known) {
        if apply::apply(shared, topic, record, missing_policy, source) {
            forwarded.push(record.clone());
        }
    }
    let frame = RecordsFrame {
        topic: topic.label().into(),
        complete: false,
        from: known,
        next,
        records: forwarded,
        late: source == RecordSource::Snapshot,
    };
    forward(shared, topic, frame);
}

/// Tells whether the operators' topic was not read for so long that its records may be old.
pub(crate) fn is_configuration_stale(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topics.state(Topic::Operators).failing
}

/// Passes records on to the instances that hold a session with this one.
fn forward(shared: &Rc<Shared>, topic: Topic, frame: RecordsFrame) {
    let held_zones = shared.held_zones();
    if !held_zones.is_empty() {
        let frame = FromHolder::Records(frame.clone());
        for held in held_zones {
            held.forward_records(&frame);
        }
    }
    if topic == Topic::Operators {
        let frame = ToHolder::Records(frame);
        let sessions = shared.sessions.borrow();
        // A holder that reads the topic gets nothing from its many instances.
        for session in sessions.values().filter(|s| s.is_unread(topic)) {
            session.send(&frame);
        }
    }
}

/// Tells whether this instance reads the registry as usual.
pub(crate) fn is_registry_current(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    let missing_policy = topics.outage.missing_policy(Shared::now());
    let state = topics.state(Topic::Endpoints);
    !state.failing && state.next.is_some() && missing_policy == MissingPolicy::Remove
}

/// Tells an instance that takes this one's records what it has missed of them.
pub(crate) fn send_missed(shared: &Shared, frames: &Outgoing, known: &[(Arc<str>, Offset)]) {
    for (label, next) in readable_positions(shared) {
        let from = known.iter().find(|(l, _)| *l == label).map(|(_, n)| *n);
        let topic = Topic::ALL.into_iter().find(|t| t.label() == &*label);
        let Some(topic) = topic.filter(|_| from.is_none_or(|f| f < next)) else {
            continue;
        };
        let missed = shared
            .topics
            .borrow_mut()
            .state(topic)
            .cache
            .missed_since(from);
        let frame = FromHolder::Records(RecordsFrame {
            topic: label,
            complete: missed.complete,
            from: from.filter(|_| !missed.complete).unwrap_or_default(),
            next,
            records: missed.records,
            late: true,
        });
        // Who misses it sees it by the next sign of life, and reads the store.
        frames.try_send(Ok(frame::encode(&frame))).ok();
    }
}

/// Returns where this instance reads the topics on.
pub(crate) fn known_positions(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
    let topics = shared.topics.borrow();
    let read = topics.states.iter();
    read.filter_map(|(topic, state)| Some((topic.label().into(), state.next?)))
        .collect()
}

/// Returns where this instance reads the topics on that it can read; who takes its records reads the
/// others by itself.
pub(crate) fn readable_positions(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
    let topics = shared.topics.borrow();
    let read = topics.states.iter().filter(|(_, state)| !state.failing);
    read.filter_map(|(topic, state)| Some((topic.label().into(), state.next?)))
        .collect()
}

/// Notes what the source's holder says of its reading. While it reads as usual and this instance
/// has what it has, this instance leaves the store alone.
///
/// A holder of another zone passes nothing on to instances that hold none. What it says while the
/// own zone has no holder counts only where this instance has all.
pub(crate) fn on_holder_heartbeat(
    shared: &Shared,
    zone: &ZoneId,
    asked: Option<std::time::Instant>,
    served: bool,
    next: &[(Arc<str>, Offset)],
) {
    let forwards = *zone == shared.site.zone || !shared.held_zones.borrow().is_empty();
    let mut topics = shared.topics.borrow_mut();
    for topic in Topic::ALL {
        let holder = next.iter().find(|(label, _)| **label == *topic.label());
        let state = topics.state(topic);
        let has_all = holder.is_some_and(|(_, n)| state.next.is_some_and(|own| own >= *n));
        let has_all = served && has_all;
        if (has_all || forwards) && state.forwarding.on_heartbeat(asked, has_all) {
            state.wake.notify_one();
        }
    }
}

/// Returns the zone whose holder passes the store's records on to this instance; `None` where this
/// instance reads them itself.
///
/// An instance that holds no zone takes them from its own zone's holder. Of the holders the first
/// zone's reads the store, and the others take them from it.
pub(crate) fn forwarding_zone(shared: &Shared) -> Option<ZoneId> {
    let own = &shared.site.zone;
    let holds = !shared.held_zones.borrow().is_empty();
    if !holds && shared.session(own).is_some() {
        return Some(own.clone());
    }
    for zone in &shared.site.zones {
        if shared.held_zone(zone).is_some() {
            return None;
        }
        if shared.session(zone).is_some() {
            return Some(zone.clone());
        }
    }
    None
}

/// Tells whether a holder passes a topic's records on.
///
/// Every holder reads the operators' topic itself and tells the others, so that a new configuration
/// is in force in time although the store's answer to one of them is lost.
fn is_forwarded(shared: &Shared, topic: Topic) -> bool {
    let holds = !shared.held_zones.borrow().is_empty();
    let reads = topic == Topic::Operators && holds;
    if reads || forwarding_zone(shared).is_none() {
        return false;
    }
    // Who follows the lost holder of the own zone is learnt from the store.
    if topic == Topic::Holders && !holds && shared.session(&shared.site.zone).is_none() {
        return false;
    }
    let mut topics = shared.topics.borrow_mut();
    topics.state(topic).forwarding.is_active(Shared::now())
}

/// Notes that another instance reads the registry as usual.
pub(crate) fn on_peer_registry_read(shared: &Shared) {
    let mut topics = shared.topics.borrow_mut();
    topics.outage.on_peer_read(Shared::now());
}

fn on_read_success(shared: &Rc<Shared>, topic: Topic) {
    let now = Instant::now();
    let mut topics = shared.topics.borrow_mut();
    let state = topics.state(topic);
    let since_last_read = state.last_read.map(|r| now.duration_since(r));
    state.last_read = Some(now);
    if !std::mem::take(&mut state.failing) {
        return;
    }
    // The others may still wait on connections that carry nothing any more.
    for other in Topic::ALL.into_iter().filter(|t| *t != topic) {
        topics.wake(other);
    }
    drop(topics);
    emit!(shared, info, StoreRegained; "topic" => topic.label(),
        "away_ms" => since_last_read.map_or(0, millis));
}

fn on_read_failure(shared: &Rc<Shared>, topic: Topic, error: &StoreError) {
    let first = {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        !std::mem::replace(&mut state.failing, true)
    };
    if first {
        // Who takes this instance's records reads the store itself from now on.
        for held in shared.held_zones() {
            held.broadcast_pong(shared);
        }
        emit!(shared, warn, StoreLost; "topic" => topic.label(), "error" => %error);
    }
}
