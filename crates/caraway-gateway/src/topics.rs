//! Reads the topics of the platform's store (configuration, registry of endpoints, holders of
//! zones) and forwards their records between instances, so that few of them read the store.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use caraway_platform::{Record, StoreError, Topic};
use caraway_routes::{MissingPolicy, OutageDetector};
use caraway_types::{Offset, Position, StoreEra, ZoneId};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{
    apply::{self, RecordSource},
    claim,
    claim_schedule::ClaimSchedule,
    crash_records::{self, PEER_EVIDENCE_LABEL},
    event::emit,
    executor::millis,
    forwarding::ForwardingStatus,
    frame::{self, FromHolder, RecordsFrame, ToHolder},
    record_cache::RecordCache,
    session::Outgoing,
    shared::Shared,
    store_backoff::StoreBackoff,
    stream_origins::{self, ORIGIN_COPIES_LABEL, ORIGINS_LABEL, UNSTORED_LABEL},
    version_histories,
};

/// Time for which a read of the operators' topic waits at the store for a new record. A lost answer
/// delays the next one by this time, the timeout of the answer and the pause after a failure,
/// together well within the shortest time (2 s) in which a configuration has to be in force.
const OPERATORS_LONG_POLL: Duration = Duration::from_millis(700);
/// Time for which a read of the holders' topic waits at the store; changes of a holder are rare.
const HOLDERS_LONG_POLL: Duration = Duration::from_secs(15);
/// Time for which a read of the topic of deadly prompts waits at the store; it has few records.
const SHARED_LONG_POLL: Duration = Duration::from_secs(15);
/// Time for which a read of the registry waits at the store. It also bounds how late an outage of
/// the store is detected, on which the other topics and the instances that receive forwarded
/// records rely: with the timeout of the answer it is well within the shortest time (2 s) in which
/// a configuration has to be in force.
const REGISTRY_LONG_POLL: Duration = Duration::from_millis(600);
/// Pause after a read of the registry, so that the next one returns several changes, as the
/// platform charges for reads. With this pause, instances still learn that an endpoint is
/// draining within a quarter of the shortest time (2 s) that the deployments allow.
const REGISTRY_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a read of the holders' topic by an instance that does not supply others: when zones
/// are claimed one after the other, as at a start, every instance would read each record
/// separately.
const HOLDERS_PAUSE: Duration = Duration::from_millis(200);
/// Interval between checks whether a holder still forwards a topic.
const FORWARDING_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a starting instance waits for records from its zone's holder before it reads the
/// store; a session is open within a few ms of reading the record of the holder.
const HOLDER_RECORDS_TIMEOUT: Duration = Duration::from_millis(400);
/// Value of [`HOLDER_RECORDS_TIMEOUT`] when the whole deployment starts; callers arrive about 10 s
/// later. It covers the claims of all zones, which take a second or more when many instances start
/// at once.
const FIRST_START_RECORDS_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time over which the instances of a deployment that starts as a whole begin to read the store,
/// those with the lowest claim rank first.
const FIRST_START_SPREAD: Duration = Duration::from_secs(1);
/// Interval between checks whether the holder has sent its records.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How far this instance has read each topic, and what it keeps of them.
#[derive(Debug, Default)]
pub(crate) struct Topics {
    states: HashMap<Topic, TopicState>,
    /// Time within which records have to be in force after they were written.
    max_delay: Duration,
    /// The newest era of the store of which the instance has taken notice.
    era: StoreEra,
    /// Detects outages of the registry of endpoints.
    outage: OutageDetector,
    /// The claims of zones, which are records in the holders' topic.
    pub(crate) claims: ClaimSchedule,
}

#[derive(Debug, Default)]
struct TopicState {
    /// Position of the next record; `None` until the topic was read to its end once. One of an earlier
    /// era means that the topic has to be read anew.
    next: Option<Position>,
    /// Where the topic ended when it was first read in the present era, if it was known before: records
    /// before that may be of an older copy.
    restored_end: Option<Offset>,
    /// When the store last answered a read of the topic.
    last_read: Option<Instant>,
    /// Whether the last read from the store failed, and no holder has had all records since.
    failing: bool,
    /// When the first of the failing reads failed; of no meaning unless reads fail.
    failing_since: Option<Instant>,
    forwarding: ForwardingStatus,
    cache: RecordCache,
    /// Interrupts a wait, so that the topic is read at once.
    wake: Rc<Notify>,
}

impl Topics {
    /// Creates the state before any read. Records have to be in force within `max_delay` after they
    /// were written.
    pub(crate) fn new(max_delay: Duration) -> Self {
        Self {
            max_delay,
            ..Self::default()
        }
    }

    /// Returns whether a topic was read to its end once.
    pub(crate) fn is_read(&self, topic: Topic) -> bool {
        self.states.get(&topic).is_some_and(|s| s.next.is_some())
    }

    /// Returns the position of a topic's next record; `None` until it was read once in the store's
    /// present era.
    pub(crate) fn next(&self, topic: Topic) -> Option<Position> {
        let next = self.states.get(&topic)?.next;
        next.filter(|n| n.era == self.era)
    }

    /// Returns whether a topic was read to its end once, or can't be read now.
    pub(crate) fn is_read_or_failing(&self, topic: Topic) -> bool {
        let state = self.states.get(&topic);
        state.is_some_and(|s| s.next.is_some() || s.failing)
    }

    /// Makes the reader of a topic read at once.
    pub(crate) fn wake(&self, topic: Topic) {
        if let Some(state) = self.states.get(&topic) {
            state.wake.notify_one();
        }
    }

    fn state(&mut self, topic: Topic) -> &mut TopicState {
        let max_delay = self.max_delay;
        self.states.entry(topic).or_insert_with(|| TopicState {
            forwarding: ForwardingStatus::new(max_delay),
            ..TopicState::default()
        })
    }
}

/// Keeps one topic up to date for as long as the daemon runs: reads it from the store unless a
/// holder forwards it.
pub(crate) async fn follow_topic(shared: Rc<Shared>, topic: Topic) {
    let wake = shared.topics.borrow_mut().state(topic).wake.clone();
    let mut retry = StoreBackoff::default();
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
        check_era(&shared);
        shared
            .metrics
            .record_store_call(topic.label(), result.is_ok());
        let pause = match result {
            Ok(ReadOutcome::Woken) => continue,
            Ok(ReadOutcome::Read) => {
                on_read_success(&shared, topic);
                retry.record_success();
                match topic {
                    Topic::Endpoints => REGISTRY_PAUSE,
                    Topic::Holders if !needs_prompt_reads(&shared) => HOLDERS_PAUSE,
                    Topic::Operators | Topic::Holders | Topic::Shared | Topic::Streams => {
                        Duration::ZERO
                    }
                }
            }
            Err(e) => {
                on_read_failure(&shared, topic, &e);
                let is_prompt = needs_prompt_reads(&shared);
                let pause = retry.record_failure(is_prompt, shared.zone_instances());
                if is_prompt || !is_registry_failing(&shared, topic) {
                    pause
                } else {
                    retry.pause_without_probe()
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

/// Waits for the records of a topic from the holder of this instance's zone, so that a starting
/// instance need not read the store. The wait ends when they can't be expected, or after a timeout.
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

/// Returns whether a starting instance may still receive a topic from its zone's holder.
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

/// Returns whether this instance must not delay its reads of the store: other instances receive its
/// records, or no holder can forward any to it.
fn needs_prompt_reads(shared: &Shared) -> bool {
    !shared.held_zones.borrow().is_empty() || forwarding_zone(shared).is_none()
}

/// Returns whether reads of the registry fail as well, so that they also show when the store is
/// available again for this topic. False for the registry itself.
fn is_registry_failing(shared: &Shared, topic: Topic) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topic != Topic::Endpoints && topics.state(Topic::Endpoints).failing
}

/// Handles records that another instance forwarded.
pub(crate) fn on_records(shared: &Rc<Shared>, frame: &RecordsFrame) {
    match &*frame.topic {
        PEER_EVIDENCE_LABEL => return crash_records::on_peer_evidence(shared, frame),
        ORIGINS_LABEL => return stream_origins::on_peer_origins(shared, frame),
        ORIGIN_COPIES_LABEL => return stream_origins::on_origin_copies(shared, frame),
        UNSTORED_LABEL => return stream_origins::on_peer_unstored(shared, frame),
        _ => {}
    }
    let topic = Topic::FOLLOWED
        .into_iter()
        .find(|t| t.label() == &*frame.topic);
    let Some(topic) = topic else {
        return;
    };
    shared.store.learn_era(frame.era);
    check_era(shared);
    if frame.era < shared.store.era() {
        return;
    }
    let next = shared.topics.borrow().next(topic).map(|n| n.offset);
    let end = Position {
        era: frame.era,
        offset: frame.next,
    };
    if frame.complete && next.is_none_or(|n| n < frame.next) {
        let missing_policy = shared.topics.borrow().outage.missing_policy(Shared::now());
        apply_snapshot(shared, topic, end, frame.records.clone(), missing_policy);
    } else if next.is_some_and(|n| frame.from <= n && n < frame.next) {
        let source = if frame.late {
            RecordSource::Snapshot
        } else {
            RecordSource::Log
        };
        apply_records(shared, topic, frame.from, end, &frame.records, source);
    } else if next.is_none_or(|n| n < frame.from) {
        // There is a gap between the known records and these, so this instance reads the store.
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        state.forwarding.reset();
        state.wake.notify_one();
    }
}

/// Handles a record that this instance has appended where it knew the topic to end, at `at`.
pub(crate) fn on_own_append(shared: &Rc<Shared>, topic: Topic, at: Position, record: &Record) {
    let next = shared.topics.borrow().next(topic);
    if next == Some(at) && record.offset == at.offset {
        let records = std::slice::from_ref(record);
        let end = at.at(at.offset + 1);
        apply_records(shared, topic, at.offset, end, records, RecordSource::Log);
    }
    shared.topics.borrow().wake(topic);
}

/// How a read of a topic ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// The store answered.
    Read,
    /// The reader was woken before the store answered.
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
        // After a failure the read does not wait, so that it shows at once when the store is
        // available again.
        _ if failing => Duration::ZERO,
        Topic::Endpoints => REGISTRY_LONG_POLL,
        Topic::Operators => OPERATORS_LONG_POLL,
        Topic::Holders => HOLDERS_LONG_POLL,
        Topic::Shared => SHARED_LONG_POLL,
        Topic::Streams => Duration::ZERO,
    };
    let read = tokio::select! {
        read = shared.store.read(topic, from, wait) => read,
        // The records may have arrived from another instance.
        () = wake.notified(), if !wait.is_zero() => return Ok(ReadOutcome::Woken),
    };
    match read {
        Ok(log) => {
            record_read(shared, topic);
            apply_records(
                shared,
                topic,
                from.offset,
                log.next,
                &log.records,
                RecordSource::Log,
            );
            Ok(ReadOutcome::Read)
        }
        Err(StoreError::Trimmed(_) | StoreError::OtherEra) => {
            check_era(shared);
            read_newest(shared, topic).await?;
            Ok(ReadOutcome::Read)
        }
        Err(e) => Err(e),
    }
}

/// Records a successful read; returns how endpoints without an entry in it are treated.
fn record_read(shared: &Shared, topic: Topic) -> MissingPolicy {
    let mut topics = shared.topics.borrow_mut();
    let now = Shared::now();
    match topic {
        Topic::Endpoints => topics.outage.on_read(now),
        Topic::Operators | Topic::Holders | Topic::Shared | Topic::Streams => {
            topics.outage.missing_policy(now)
        }
    }
}

/// Reads a topic to its end as of now, at once.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub(crate) async fn read_to_end(shared: &Rc<Shared>, topic: Topic) -> Result<(), StoreError> {
    loop {
        let next = shared.topics.borrow().next(topic);
        let Some(from) = next else {
            return read_newest(shared, topic).await;
        };
        let read = shared.store.read(topic, from, Duration::ZERO).await;
        shared
            .metrics
            .record_store_call(topic.label(), read.is_ok());
        check_era(shared);
        match read {
            Ok(log) if log.next == from => return Ok(()),
            Ok(log) => {
                record_read(shared, topic);
                let offset = from.offset;
                let source = RecordSource::Log;
                apply_records(shared, topic, offset, log.next, &log.records, source);
            }
            Err(StoreError::Trimmed(_) | StoreError::OtherEra) => {
                return read_newest(shared, topic).await;
            }
            Err(e) => return Err(e),
        }
    }
}

async fn read_newest(shared: &Rc<Shared>, topic: Topic) -> Result<(), StoreError> {
    let newest = shared.store.read_newest(topic).await?;
    check_era(shared);
    let known = shared.topics.borrow().next(topic);
    if known.is_some_and(|known| newest.next < known) {
        let why = "the store's newest records are older than the known ones";
        return Err(StoreError::Unanswered(why.into()));
    }
    let missing_policy = record_read(shared, topic);
    apply_snapshot(shared, topic, newest.next, newest.records, missing_policy);
    Ok(())
}

/// Applies the newest records of all keys of a topic, and forwards them, marked as possibly old, to
/// instances that have missed earlier records too.
fn apply_snapshot(
    shared: &Rc<Shared>,
    topic: Topic,
    next: Position,
    mut records: Vec<Record>,
    missing_policy: MissingPolicy,
) {
    let restored_end = {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        if state.next.is_some_and(|known| known.era < next.era) {
            state.restored_end = Some(next.offset);
        }
        state.restored_end
    };
    if let Some(end) = restored_end {
        records.retain(|r| r.offset >= end || !apply::is_outdated(shared, topic, r));
    }
    if topic == Topic::Endpoints {
        let present = |id: &str| records.iter().any(|r| &*r.key == id);
        let removed = shared
            .directory
            .borrow_mut()
            .retain(Shared::now(), present, missing_policy);
        for id in removed {
            apply::on_endpoint_removed(shared, &id, "its entry is missing");
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
        if restored_end.is_some() && topic == Topic::Operators {
            state.cache.update(&records, next.offset);
        } else {
            state.cache.replace(&records, next.offset);
        }
    }
    let frame = RecordsFrame {
        topic: topic.label().into(),
        complete: true,
        from: 0,
        next: next.offset,
        records,
        late: true,
        era: next.era,
    };
    forward(shared, topic, frame);
}

/// Applies those of the records from `from` on that are new to this instance, and forwards them.
fn apply_records(
    shared: &Rc<Shared>,
    topic: Topic,
    from: Offset,
    next: Position,
    records: &[Record],
    source: RecordSource,
) {
    let known = shared.topics.borrow().next(topic);
    let known = known.map_or(from, |k| k.offset);
    if next.offset <= known {
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
        next: next.offset,
        records: forwarded,
        late: source == RecordSource::Snapshot,
        era: next.era,
    };
    forward(shared, topic, frame);
}

/// Returns whether the last read of the operators' topic failed, so that its next records may be
/// old.
pub(crate) fn is_configuration_stale(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topics.state(Topic::Operators).failing
}

/// Returns whether the last read of one of these topics failed.
pub(crate) fn is_any_failing(shared: &Shared, topics: &[Topic]) -> bool {
    let known = shared.topics.borrow();
    let mut states = topics.iter().filter_map(|t| known.states.get(t));
    states.any(|s| s.failing)
}

/// Returns whether this instance may have missed records of the topic of deadly prompts, so that the
/// next ones may be old.
pub(crate) fn may_miss_shared(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topics.state(Topic::Shared).failing
}

/// Forwards records to the instances that are connected to this one, and those of the operators'
/// topic also to holders that can't read it.
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
        // A holder that reads the topic needs no copy from each of its instances.
        for session in sessions.values().filter(|s| s.is_unread_by_holder(topic)) {
            session.send(&frame);
        }
    }
}

/// Sends a record that is not in the store to the holders of all zones and to the instances that are
/// connected to this one.
pub(crate) fn send_to_peers(shared: &Shared, label: &str, record: Record) {
    let frame = RecordsFrame::unstored(label, vec![record]);
    let from_holder = FromHolder::Records(frame.clone());
    for held in shared.held_zones() {
        held.forward_records(&from_holder);
    }
    let to_holder = ToHolder::Records(frame);
    for session in shared.sessions.borrow().values() {
        session.send(&to_holder);
    }
}

/// Returns whether this instance's copy of the registry is current: it is read without failures and
/// not just after an outage.
pub(crate) fn is_registry_current(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    let missing_policy = topics.outage.missing_policy(Shared::now());
    let state = topics.state(Topic::Endpoints);
    !state.failing && state.next.is_some() && missing_policy == MissingPolicy::Remove
}

/// Returns since when the store has not answered this instance's reads of the registry; `None` if the
/// last one was answered or the registry is forwarded to this instance.
pub(crate) fn registry_unread_since(shared: &Shared) -> Option<Instant> {
    let mut topics = shared.topics.borrow_mut();
    let state = topics.state(Topic::Endpoints);
    state.failing_since.filter(|_| state.failing)
}

/// Returns the time since the store last answered a read of the registry by this instance; `None` if it
/// does not answer now or was not asked yet.
pub(crate) fn registry_read_age(shared: &Shared) -> Option<Duration> {
    let mut topics = shared.topics.borrow_mut();
    let state = topics.state(Topic::Endpoints);
    let last_read = state.last_read.filter(|_| !state.failing)?;
    Some(last_read.elapsed())
}

/// Sends the records that an instance has missed, which has read the topics up to the offsets in
/// `known`, of the store's era `era`.
///
/// Topics that this instance can't read itself are included: it may have records of another zone's
/// holder, and the store may reject the other instance too. One that starts, and so knows nothing, reads
/// the store rather than take a copy that may be old.
pub(crate) fn send_missed(
    shared: &Rc<Shared>,
    outgoing: &Outgoing,
    known: &[(Arc<str>, Offset)],
    era: StoreEra,
) {
    shared.store.learn_era(era);
    check_era(shared);
    let own_era = shared.store.era();
    let known = if era == own_era { known } else { &[] };
    let readable = readable_offsets(shared);
    for (label, next) in known_offsets(shared) {
        let is_readable = || readable.iter().any(|(l, _)| *l == label);
        let from = known.iter().find(|(l, _)| *l == label).map(|(_, n)| *n);
        let topic = Topic::FOLLOWED.into_iter().find(|t| t.label() == &*label);
        let Some(topic) = topic.filter(|_| from.map_or_else(is_readable, |f| f < next)) else {
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
            era: own_era,
        });
        // A peer that misses the frame detects it by the next pong, and reads the store.
        outgoing.try_send(Ok(frame::encode(&frame))).ok();
    }
}

/// Returns the next offset of each topic that this instance has read in the store's present era, by the
/// topic's label.
pub(crate) fn known_offsets(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
    let topics = shared.topics.borrow();
    let all = topics.states.keys();
    all.filter_map(|topic| Some((topic.label().into(), topics.next(*topic)?.offset)))
        .collect()
}

/// Returns the same as [`known_offsets`] without the topics whose last read failed; instances that
/// receive forwarded records read those from the store themselves.
pub(crate) fn readable_offsets(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
    let topics = shared.topics.borrow();
    let readable = topics.states.iter().filter(|(_, state)| !state.failing);
    readable
        .filter_map(|(topic, _)| Some((topic.label().into(), topics.next(*topic)?.offset)))
        .collect()
}

/// Handles a pong of the holder that forwards records to this instance. While the holder's copy is
/// current and this instance has all of it, this instance does not read the store.
///
/// A holder of another zone forwards nothing to instances that hold no zone. While the zone of this
/// instance has no holder, a pong of another zone's holder therefore counts only if this instance
/// has all records.
pub(crate) fn on_holder_heartbeat(
    shared: &Shared,
    zone: &ZoneId,
    requested_at: Option<std::time::Instant>,
    is_current: bool,
    era: StoreEra,
    next: &[(Arc<str>, Offset)],
) {
    let forwards = *zone == shared.site.zone || !shared.held_zones.borrow().is_empty();
    let is_current = is_current && era == shared.store.era();
    let mut topics = shared.topics.borrow_mut();
    for topic in Topic::FOLLOWED {
        let holder_next = next.iter().find(|(label, _)| **label == *topic.label());
        let own = topics.next(topic);
        let has_all = holder_next.is_some_and(|(_, n)| own.is_some_and(|own| own.offset >= *n));
        let state = topics.state(topic);
        let is_up_to_date = is_current && has_all;
        if is_up_to_date {
            // This instance stops reading, so that no read would show that the store is back.
            state.failing = false;
        }
        if (is_up_to_date || forwards) && state.forwarding.on_heartbeat(requested_at, is_up_to_date)
        {
            state.wake.notify_one();
        }
    }
}

/// Returns the zone whose holder forwards the store's records to this instance; `None` if this
/// instance reads them itself.
///
/// An instance that holds no zone receives them from its own zone's holder. Of the holders, that of
/// the first reachable zone reads the store and forwards them to the others.
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

/// Returns whether a holder forwards a topic's records to this instance.
///
/// Every holder reads the operators' topic itself and forwards it to the others, so that a new
/// configuration is in force in time even if the store's answer to one of them is lost.
fn is_forwarded(shared: &Shared, topic: Topic) -> bool {
    let holds = !shared.held_zones.borrow().is_empty();
    let reads = topic == Topic::Operators && holds;
    if reads || forwarding_zone(shared).is_none() {
        return false;
    }
    // The next holder of the own zone is found in the store.
    if topic == Topic::Holders && !holds && shared.session(&shared.site.zone).is_none() {
        return false;
    }
    let mut topics = shared.topics.borrow_mut();
    topics.state(topic).forwarding.is_active(Shared::now())
}

/// Takes notice of a later era of the store, which any of its answers or another instance may have
/// stated: the store has returned from an older copy and may have lost what it had acknowledged.
///
/// All topics are read anew, by holders at once and by other instances unless their holder sends its
/// records. What this instance has written is written again.
pub(crate) fn check_era(shared: &Rc<Shared>) {
    if let Some(text) = shared.store.take_invalid_era() {
        emit!(shared, warn, StoreWentBack; "unreadable" => &*text);
    }
    let era = shared.store.era();
    let former = {
        let mut topics = shared.topics.borrow_mut();
        if topics.era == era {
            return;
        }
        let former = std::mem::replace(&mut topics.era, era);
        if topics.states.values().all(|s| s.next.is_none()) {
            return;
        }
        topics.outage.on_restored(Shared::now());
        for state in topics.states.values() {
            state.wake.notify_one();
        }
        former
    };
    emit!(shared, warn, StoreWentBack; "era" => era, "former" => former);
    for held in shared.held_zones() {
        held.set_unrecorded();
        let mut topics = shared.topics.borrow_mut();
        topics.claims.schedule_now(Shared::now(), &held.zone);
        drop(topics);
        held.broadcast_pong(shared);
    }
    version_histories::on_store_restored(shared);
    stream_origins::on_store_restored(shared);
    crash_records::share_quarantines(shared);
}

/// Records that another instance's copy of the registry is current.
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
    // The reads of the other topics may still wait on broken connections.
    for other in Topic::FOLLOWED.into_iter().filter(|t| *t != topic) {
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
        let first = !std::mem::replace(&mut state.failing, true);
        if first {
            state.failing_since = Some(Instant::now());
        }
        first
    };
    if first {
        // Instances that receive forwarded records have to read the store themselves from now on.
        for held in shared.held_zones() {
            held.broadcast_pong(shared);
        }
        emit!(shared, warn, StoreLost; "topic" => topic.label(), "error" => %error);
    }
}
