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
    apply::{self, Source},
    claim,
    claims::Claims,
    event::emit,
    executor::millis,
    frame::{self, FromHolder, RecordsFrame, ToHolder},
    kept::Kept,
    passed_on::PassedOn,
    session::Outgoing,
    shared::Shared,
    store_backoff::StoreBackoff,
};

/// Time for which the store is asked to wait for a new configuration. An answer that is lost delays
/// the next one by this, the answer's limit and the pause after a failure, together well within the
/// shortest time (2 s) in which a configuration has to be in force.
const OPERATORS_WAIT: Duration = Duration::from_millis(700);
/// Time for which the store is asked to wait for a change of a zone's holder, which is rare.
const HOLDERS_WAIT: Duration = Duration::from_secs(15);
/// Time for which the store is asked to wait for the registry's next change. It also bounds how
/// late a store that answers nothing is noticed, on which the other topics and the instances that
/// take this one's records rely: with the answer's limit well within the shortest time (2 s) in which
/// a configuration has to be in force.
const REGISTRY_WAIT: Duration = Duration::from_millis(600);
/// Pause after a change of the registry, in which further ones gather: a leaving endpoint is known
/// within a quarter of the shortest time (2 s) that the deployments allow, and reads are priced.
const REGISTRY_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a change of a zone's holder of an instance that holds none: the zones are claimed
/// one after the other, as at a start, and each record would be read by every instance.
const HOLDERS_PAUSE: Duration = Duration::from_millis(200);
/// Pause between looks whether a holder still passes a topic on.
const PASSED_ON_PAUSE: Duration = Duration::from_millis(200);

/// Time in which a starting instance has its zone's holder tell it what it knows; a session is
/// open within a few ms of the record of the holder.
const HOLDER_WAIT: Duration = Duration::from_millis(400);
/// The same where the whole deployment starts, and callers come some 10 s later: all claims of
/// zones, which take a second and more where many start at once.
const FIRST_HOLDER_WAIT: Duration = Duration::from_millis(2500);
/// Time over which the instances of a deployment that starts as a whole begin to read, those first
/// that are to claim the zones.
const FIRST_SPREAD: Duration = Duration::from_secs(1);
/// Pause between looks whether the holder has told what it knows.
const HOLDER_LOOK: Duration = Duration::from_millis(20);

/// How far this instance has read the topics.
#[derive(Debug, Default)]
pub(crate) struct Topics {
    states: HashMap<Topic, TopicState>,
    /// Time in which records have to be in force.
    bound: Duration,
    /// Whether the registry of endpoints was away.
    outage: OutageDetector,
    pub(crate) claims: Claims,
}

#[derive(Debug, Default)]
struct TopicState {
    next: Option<Offset>,
    /// When the topic was read last.
    read: Option<Instant>,
    failing: bool,
    passed_on: PassedOn,
    kept: Kept,
    wake: Rc<Notify>,
}

impl Topics {
    /// Has read nothing; records have to be in force within `bound` after they were written.
    pub(crate) fn new(bound: Duration) -> Self {
        Self {
            bound,
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
        let bound = self.bound;
        self.states.entry(topic).or_insert_with(|| TopicState {
            passed_on: PassedOn::new(bound),
            ..TopicState::default()
        })
    }
}

/// Follows one topic for as long as the daemon runs.
pub(crate) async fn follow(shared: Rc<Shared>, topic: Topic) {
    let wake = shared.topics.borrow_mut().state(topic).wake.clone();
    let mut retry = StoreBackoff::default();
    if topic == Topic::Holders {
        if shared.site.is_first_start {
            sleep(FIRST_SPREAD.mul_f64(claim::share(&shared, &shared.site.zone))).await;
        }
    } else {
        await_holder(&shared, topic).await;
    }
    loop {
        if is_passed_on(&shared, topic) {
            tokio::select! {
                () = sleep(PASSED_ON_PAUSE) => {}
                () = wake.notified() => {}
            }
            continue;
        }
        let result = step(&shared, topic, &wake).await;
        let label = if result.is_ok() { "ok" } else { "failed" };
        shared.metrics.record_store_call(topic.label(), label);
        let pause = match result {
            Ok(Step::Woken) => continue,
            Ok(Step::Read) => {
                on_reached(&shared, topic);
                retry.record_success();
                match topic {
                    Topic::Endpoints => REGISTRY_PAUSE,
                    Topic::Holders if !is_relied_on(&shared) => HOLDERS_PAUSE,
                    Topic::Operators | Topic::Holders => Duration::ZERO,
                }
            }
            Err(e) => {
                on_failed(&shared, topic, &e);
                let relied_on = is_relied_on(&shared);
                let pause = retry.record_failure(relied_on, shared.zone_peers());
                if relied_on || !is_probed(&shared, topic) {
                    pause
                } else {
                    retry.probed_pause()
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
async fn await_holder(shared: &Shared, topic: Topic) {
    let limit = if shared.site.is_first_start {
        FIRST_HOLDER_WAIT
    } else {
        HOLDER_WAIT
    };
    let end = Instant::now() + limit;
    while Instant::now() < end && may_be_told(shared, topic) {
        sleep(HOLDER_LOOK).await;
    }
}

/// Tells whether the holder of this instance's zone may still tell what it knows of a topic.
fn may_be_told(shared: &Shared, topic: Topic) -> bool {
    let topics = shared.topics.borrow();
    if topics.is_read(topic) || !shared.desks.borrow().is_empty() {
        return false;
    }
    if !topics.is_read(Topic::Holders) {
        return true;
    }
    let sessions = shared.sessions.borrow();
    match sessions.get(&shared.site.zone) {
        Some(session) => !session.is_gone(),
        None => shared.site.is_first_start,
    }
}

/// Tells whether other instances take this one's records, or none could pass any on to it.
fn is_relied_on(shared: &Shared) -> bool {
    !shared.desks.borrow().is_empty() || source_zone(shared).is_none()
}

/// Tells whether calls for the registry show when the store is back for this topic, too.
fn is_probed(shared: &Shared, topic: Topic) -> bool {
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
        let lapse = shared.topics.borrow().outage.missing_policy(Shared::now());
        take_newest(shared, topic, frame.next, frame.records.clone(), lapse);
    } else if next.is_some_and(|n| frame.from <= n && n < frame.next) {
        let source = if frame.late {
            Source::Snapshot
        } else {
            Source::Log
        };
        take(
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
        state.passed_on.clear();
        state.wake.notify_one();
    }
}

/// Takes a record that this instance has appended at `at`.
pub(crate) fn on_own_append(shared: &Rc<Shared>, topic: Topic, at: Offset, record: &Record) {
    let next = shared.topics.borrow().next(topic);
    if next == Some(at) && record.offset == at {
        let records = std::slice::from_ref(record);
        take(shared, topic, at, at + 1, records, Source::Log);
    }
    shared.topics.borrow().wake(topic);
}

/// How a step of following a topic ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The store has answered.
    Read,
    /// Something else asked for a look first.
    Woken,
}

async fn step(shared: &Rc<Shared>, topic: Topic, wake: &Notify) -> Result<Step, StoreError> {
    let next = shared.topics.borrow().next(topic);
    let Some(from) = next else {
        read_newest(shared, topic).await?;
        return Ok(Step::Read);
    };
    let failing = shared.topics.borrow_mut().state(topic).failing;
    let wait = match topic {
        // After a failure the first answer tells at once that the store is back.
        _ if failing => Duration::ZERO,
        Topic::Endpoints => REGISTRY_WAIT,
        Topic::Operators => OPERATORS_WAIT,
        Topic::Holders => HOLDERS_WAIT,
    };
    let read = tokio::select! {
        read = shared.store.read(topic, from, wait) => read,
        // What was asked for may be known by now.
        () = wake.notified(), if !wait.is_zero() => return Ok(Step::Woken),
    };
    match read {
        Ok(log) => {
            on_read(shared, topic);
            take(shared, topic, from, log.next, &log.records, Source::Log);
            Ok(Step::Read)
        }
        Err(StoreError::Trimmed) => {
            read_newest(shared, topic).await?;
            Ok(Step::Read)
        }
        Err(e) => Err(e),
    }
}

/// Notes a read; returns what missing entries are by that.
fn on_read(shared: &Shared, topic: Topic) -> MissingPolicy {
    let mut topics = shared.topics.borrow_mut();
    let now = Shared::now();
    match topic {
        Topic::Endpoints => topics.outage.on_read(now),
        Topic::Operators | Topic::Holders => topics.outage.missing_policy(now),
    }
}

async fn read_newest(shared: &Rc<Shared>, topic: Topic) -> Result<(), StoreError> {
    let newest = shared.store.read_newest(topic).await?;
    let known = shared.topics.borrow().next(topic);
    if known.is_some_and(|known| newest.next < known) {
        let why = "the newest records are older than those that are known";
        return Err(StoreError::Unanswered(why.into()));
    }
    let lapse = on_read(shared, topic);
    take_newest(shared, topic, newest.next, newest.records, lapse);
    Ok(())
}

/// Takes the newest records of all keys of a topic, and passes them on to those who miss the
/// records before them, too.
fn take_newest(
    shared: &Rc<Shared>,
    topic: Topic,
    next: Offset,
    mut records: Vec<Record>,
    lapse: MissingPolicy,
) {
    if topic == Topic::Endpoints {
        let present = |id: &str| records.iter().any(|r| &*r.key == id);
        let gone = shared.directory.borrow_mut().retain(present, lapse);
        for id in gone {
            apply::on_gone(shared, &id, "it has no entry");
        }
    }
    records.sort_by_key(|r| r.offset);
    for record in &records {
        apply::apply(shared, topic, record, lapse, Source::Snapshot);
    }
    {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        state.next = Some(next);
        state.kept.replace(&records, next);
    }
    let frame = RecordsFrame {
        topic: topic.label().into(),
        complete: true,
        from: 0,
        next,
        records,
        late: true,
    };
    pass_on(shared, topic, frame);
}

/// Applies the records from `from` on that are new here, and passes them on.
fn take(
    shared: &Rc<Shared>,
    topic: Topic,
    from: Offset,
    next: Offset,
    records: &[Record],
    source: Source,
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
            state.kept.put(record);
        }
    }
    let lapse = shared.topics.borrow().outage.missing_policy(Shared::now());
    let mut news = Vec::new();
    for record in records.iter().filter(|r| r.offset >= known) {
        if apply::apply(shared, topic, record, lapse, source) {
            news.push(record.clone());
        }
    }
    let frame = RecordsFrame {
        topic: topic.label().into(),
        complete: false,
        from: known,
        next,
        records: news,
        late: source == Source::Snapshot,
    };
    pass_on(shared, topic, frame);
}

/// Tells whether the operators' topic was not read for so long that its records may be old.
pub(crate) fn is_behind(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topics.state(Topic::Operators).failing
}

/// Passes records on to the instances that hold a session with this one.
fn pass_on(shared: &Rc<Shared>, topic: Topic, frame: RecordsFrame) {
    let desks = shared.own_desks();
    if !desks.is_empty() {
        let frame = FromHolder::Records(frame.clone());
        for desk in desks {
            desk.pass_on(&frame);
        }
    }
    if topic == Topic::Operators {
        let frame = ToHolder::Records(frame);
        let sessions = shared.sessions.borrow();
        // A holder that reads the topic gets nothing from its many instances.
        for session in sessions.values().filter(|s| s.lacks(topic)) {
            session.send(&frame);
        }
    }
}

/// Tells whether this instance reads the registry as usual.
pub(crate) fn is_served(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    let lapse = topics.outage.missing_policy(Shared::now());
    let state = topics.state(Topic::Endpoints);
    !state.failing && state.next.is_some() && lapse == MissingPolicy::Remove
}

/// Tells an instance that takes this one's records what it has missed of them.
pub(crate) fn catch_up(shared: &Shared, frames: &Outgoing, known: &[(Arc<str>, Offset)]) {
    for (label, next) in positions(shared) {
        let from = known.iter().find(|(l, _)| *l == label).map(|(_, n)| *n);
        let topic = Topic::ALL.into_iter().find(|t| t.label() == &*label);
        let Some(topic) = topic.filter(|_| from.is_none_or(|f| f < next)) else {
            continue;
        };
        let missed = shared.topics.borrow_mut().state(topic).kept.missed(from);
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
pub(crate) fn known(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
    let topics = shared.topics.borrow();
    let read = topics.states.iter();
    read.filter_map(|(topic, state)| Some((topic.label().into(), state.next?)))
        .collect()
}

/// Returns where this instance reads the topics on that it can read; who takes its records reads the
/// others by itself.
pub(crate) fn positions(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
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
pub(crate) fn on_holder(
    shared: &Shared,
    zone: &ZoneId,
    asked: Option<std::time::Instant>,
    served: bool,
    next: &[(Arc<str>, Offset)],
) {
    let passes_on = *zone == shared.site.zone || !shared.desks.borrow().is_empty();
    let mut topics = shared.topics.borrow_mut();
    for topic in Topic::ALL {
        let holder = next.iter().find(|(label, _)| **label == *topic.label());
        let state = topics.state(topic);
        let has_all = holder.is_some_and(|(_, n)| state.next.is_some_and(|own| own >= *n));
        let has_all = served && has_all;
        if (has_all || passes_on) && state.passed_on.on_sign(asked, has_all) {
            state.wake.notify_one();
        }
    }
}

/// Returns the zone whose holder passes the store's records on to this instance; `None` where this
/// instance reads them itself.
///
/// An instance that holds no zone takes them from its own zone's holder. Of the holders the first
/// zone's reads the store, and the others take them from it.
pub(crate) fn source_zone(shared: &Shared) -> Option<ZoneId> {
    let own = &shared.site.zone;
    let holds = !shared.desks.borrow().is_empty();
    if !holds && shared.session(own).is_some() {
        return Some(own.clone());
    }
    for zone in &shared.site.zones {
        if shared.desk(zone).is_some() {
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
fn is_passed_on(shared: &Shared, topic: Topic) -> bool {
    let holds = !shared.desks.borrow().is_empty();
    let reads = topic == Topic::Operators && holds;
    if reads || source_zone(shared).is_none() {
        return false;
    }
    // Who follows the lost holder of the own zone is learnt from the store.
    if topic == Topic::Holders && !holds && shared.session(&shared.site.zone).is_none() {
        return false;
    }
    let mut topics = shared.topics.borrow_mut();
    topics.state(topic).passed_on.holds(Shared::now())
}

/// Notes that another instance reads the registry as usual.
pub(crate) fn on_peer_served(shared: &Shared) {
    let mut topics = shared.topics.borrow_mut();
    topics.outage.on_peer_read(Shared::now());
}

fn on_reached(shared: &Rc<Shared>, topic: Topic) {
    let now = Instant::now();
    let mut topics = shared.topics.borrow_mut();
    let state = topics.state(topic);
    let away = state.read.map(|r| now.duration_since(r));
    state.read = Some(now);
    if !std::mem::take(&mut state.failing) {
        return;
    }
    // The others may still wait on connections that carry nothing any more.
    for other in Topic::ALL.into_iter().filter(|t| *t != topic) {
        topics.wake(other);
    }
    drop(topics);
    emit!(shared, info, StoreRegained; "topic" => topic.label(),
        "away_ms" => away.map_or(0, millis));
}

fn on_failed(shared: &Rc<Shared>, topic: Topic, error: &StoreError) {
    let first = {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        !std::mem::replace(&mut state.failing, true)
    };
    if first {
        // Who takes this instance's records reads the store itself from now on.
        for desk in shared.own_desks() {
            desk.tell_levels(shared);
        }
        emit!(shared, warn, StoreLost; "topic" => topic.label(), "error" => %error);
    }
}
