//! Following the platform's store: the configuration, the registry of endpoints, the holders.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use caraway_platform::{
    OperatorKey, Record, StoreError, Topic, announced, configuration, operator_key, registry_entry,
};
use caraway_routes::{Change, Endpoint, Lapse, ModelRef, Outage};
use caraway_types::{EndpointId, Offset, ZoneId};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{
    claim,
    desk::Desk,
    event::emit,
    frame::{FromHolder, RecordsFrame, ToHolder},
    shared::{Announcement, Shared},
};

/// Time for which the store is asked to wait for a new configuration. An answer that is lost delays
/// the next one by this and the answer's limit, within the shortest time (2 s) in which a
/// configuration has to be in force.
const OPERATORS_WAIT: Duration = Duration::from_secs(1);
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
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a holder's word that it passes records on holds: its next sign of life and one
/// that is lost.
const PASSED_ON_LIMIT: Duration = Duration::from_millis(1100);

/// How far this instance has read the topics.
#[derive(Debug, Default)]
pub(crate) struct Topics {
    states: HashMap<Topic, TopicState>,
    /// Whether the registry of endpoints was away.
    outage: Outage,
    /// When this instance claims a zone, unless its holder is back by then.
    pub(crate) claims: HashMap<ZoneId, Instant>,
    /// Whether a claim is on its way.
    pub(crate) is_claiming: bool,
}

#[derive(Debug, Default)]
struct TopicState {
    next: Option<Offset>,
    /// When the topic was read last.
    read: Option<Instant>,
    failing: bool,
    /// When the holder that passes the topic on last showed it.
    passed_on: Option<Instant>,
    wake: Rc<Notify>,
}

impl Topics {
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
        self.states.entry(topic).or_default()
    }
}

/// Follows one topic for as long as the daemon runs.
pub(crate) async fn follow(shared: Rc<Shared>, topic: Topic) {
    let wake = shared.topics.borrow_mut().state(topic).wake.clone();
    loop {
        if is_passed_on(&shared, topic) {
            tokio::select! {
                () = sleep(PASSED_ON_LIMIT) => {}
                () = wake.notified() => {}
            }
            continue;
        }
        let result = step(&shared, topic, &wake).await;
        let label = if result.is_ok() { "ok" } else { "failed" };
        shared.metrics.store_call(topic.label(), label);
        let pause = match result {
            Ok(Step::Woken) => continue,
            Ok(Step::Read) => {
                on_reached(&shared, topic);
                match topic {
                    Topic::Endpoints => REGISTRY_PAUSE,
                    Topic::Operators | Topic::Holders => Duration::ZERO,
                }
            }
            Err(e) => {
                on_failed(&shared, topic, &e);
                RETRY_PAUSE
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

/// Takes records that another instance passed on.
pub(crate) fn on_records(shared: &Rc<Shared>, frame: &RecordsFrame) {
    let topic = Topic::ALL.into_iter().find(|t| t.label() == &*frame.topic);
    let Some(topic) = topic else {
        return;
    };
    let next = shared.topics.borrow().next(topic);
    if next.is_some_and(|n| frame.from <= n && n < frame.next) {
        take(shared, topic, frame.from, frame.next, &frame.records);
    } else if next.is_none_or(|n| n < frame.from) {
        // Records that don't join what is known are read from the store.
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        state.passed_on = None;
        state.wake.notify_one();
    }
}

/// Takes a record that this instance has appended at `at`.
pub(crate) fn on_own_append(shared: &Rc<Shared>, topic: Topic, at: Offset, record: &Record) {
    let next = shared.topics.borrow().next(topic);
    if next == Some(at) && record.offset == at {
        take(shared, topic, at, at + 1, std::slice::from_ref(record));
    }
    shared.topics.borrow().wake(topic);
}

/// Tells a new placer what is known of its endpoints.
pub(crate) fn fill_desk(shared: &Rc<Shared>, desk: &Rc<Desk>) {
    let routing = shared.routing();
    let endpoints: Vec<Arc<Endpoint>> = {
        let directory = shared.directory.borrow();
        directory
            .all()
            .filter(|e| e.zone == desk.zone)
            .cloned()
            .collect()
    };
    let newest: Vec<(ModelRef, Announcement)> = {
        let newest = shared.newest.borrow();
        newest.iter().map(|(m, v)| (m.clone(), *v)).collect()
    };
    desk.with(shared, |placer, now| {
        for service in routing.iter().flat_map(|r| r.services()) {
            if let Some(engine) = &service.engine {
                placer.set_places(&service.name, engine.adapter_places());
            }
        }
        for (model, newest) in &newest {
            placer.on_version(now, model, newest.version, newest.heard);
        }
        for endpoint in endpoints.iter().filter(|e| !e.models.is_empty()) {
            placer.on_endpoint(now, endpoint, Change::New);
        }
    });
}

/// Drops the endpoints whose entries did not come back in time.
pub(crate) fn expire(shared: &Rc<Shared>) {
    let gone = shared.directory.borrow_mut().expire(Shared::now());
    for id in gone {
        on_gone(shared, &id, "its entry did not come back");
    }
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
            take(shared, topic, from, log.next, &log.records);
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
fn on_read(shared: &Shared, topic: Topic) -> Lapse {
    let mut topics = shared.topics.borrow_mut();
    let now = Shared::now();
    match topic {
        Topic::Endpoints => topics.outage.on_read(now),
        Topic::Operators | Topic::Holders => topics.outage.lapse(now),
    }
}

async fn read_newest(shared: &Rc<Shared>, topic: Topic) -> Result<(), StoreError> {
    let newest = shared.store.newest(topic).await?;
    let lapse = on_read(shared, topic);
    if topic == Topic::Endpoints {
        let present = |id: &str| newest.records.iter().any(|r| &*r.key == id);
        let gone = shared.directory.borrow_mut().retain(present, lapse);
        for id in gone {
            on_gone(shared, &id, "it has no entry");
        }
    }
    let mut records = newest.records;
    records.sort_by_key(|r| r.offset);
    for record in &records {
        apply(shared, topic, record, lapse, Source::Snapshot);
    }
    shared.topics.borrow_mut().state(topic).next = Some(newest.next);
    Ok(())
}

/// Applies the records from `from` on that are new here, and passes them on.
fn take(shared: &Rc<Shared>, topic: Topic, from: Offset, next: Offset, records: &[Record]) {
    let known = shared.topics.borrow().next(topic).unwrap_or(from);
    if next <= known {
        return;
    }
    shared.topics.borrow_mut().state(topic).next = Some(next);
    let lapse = shared.topics.borrow().outage.lapse(Shared::now());
    let fresh: Vec<Record> = records
        .iter()
        .filter(|r| r.offset >= known)
        .cloned()
        .collect();
    let mut news = Vec::new();
    for record in fresh {
        if apply(shared, topic, &record, lapse, Source::Log) {
            news.push(record);
        }
    }
    pass_on(shared, topic, known, next, news);
}

/// Where a record was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// In the log, soon after it was written.
    Log,
    /// Among the newest of all keys, some time after it was written.
    Snapshot,
}

/// Applies a record; returns whether other instances need it, too.
fn apply(shared: &Rc<Shared>, topic: Topic, record: &Record, lapse: Lapse, source: Source) -> bool {
    match topic {
        Topic::Operators => apply_operators(shared, record, source),
        Topic::Endpoints => return apply_endpoint(shared, record, lapse),
        Topic::Holders => claim::on_record(shared, record),
    }
    true
}

/// Of the entries that tell only which adapters an endpoint holds, one in so many is passed on:
/// they are most of the registry's records, and matter only to instances that no placer answers.
const RESIDENTS_PASSED_ON: u64 = 8;

fn apply_operators(shared: &Rc<Shared>, record: &Record, source: Source) {
    let Some(value) = record.value.as_deref() else {
        return;
    };
    match operator_key(&record.key) {
        OperatorKey::Configuration => match configuration(value) {
            Ok((routing, findings)) => {
                for finding in findings.list() {
                    emit!(shared, warn, ConfigFinding; "offset" => record.offset,
                        "place" => &*finding.place, "finding" => &*finding.problem);
                }
                apply_routing(shared, routing, record.offset);
            }
            Err(findings) => emit!(shared, error, ConfigFinding; "offset" => record.offset,
                "finding" => %findings),
        },
        OperatorKey::Version => match announced(value) {
            Ok(announced) => {
                let heard = (source == Source::Log && !is_behind(shared)).then(Shared::now);
                let version = announced.version;
                apply_version(shared, &announced.model, Announcement { version, heard });
            }
            Err(findings) => emit!(shared, warn, ConfigFinding; "key" => &*record.key,
                "offset" => record.offset, "finding" => %findings),
        },
        OperatorKey::Other => {}
    }
}

fn apply_routing(shared: &Rc<Shared>, routing: caraway_routes::Routing, offset: Offset) {
    let former = shared.routing().map_or(0, |r| r.version);
    if routing.version <= former {
        return;
    }
    emit!(shared, info, ConfigApplied; "version" => routing.version, "former" => former,
        "offset" => offset, "routes" => routing.routes().len());
    *shared.routing.borrow_mut() = Some(Arc::new(routing));
    let desks: Vec<Rc<Desk>> = shared.desks.borrow().values().cloned().collect();
    for desk in desks {
        fill_places(shared, &desk);
    }
}

fn fill_places(shared: &Rc<Shared>, desk: &Rc<Desk>) {
    let Some(routing) = shared.routing() else {
        return;
    };
    desk.with(shared, |placer, _| {
        for service in routing.services() {
            if let Some(engine) = &service.engine {
                placer.set_places(&service.name, engine.adapter_places());
            }
        }
    });
}

/// Tells whether the operators' topic was not read for so long that its records may be old.
fn is_behind(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    topics.state(Topic::Operators).failing
}

fn apply_version(shared: &Rc<Shared>, model: &ModelRef, newest: Announcement) {
    let former = shared.newest.borrow().get(model).map_or(0, |n| n.version);
    if newest.version <= former {
        return;
    }
    emit!(shared, info, VersionAnnounced; "adapter" => %model, "version" => newest.version,
        "former" => former, "fresh" => newest.heard.is_some());
    shared.newest.borrow_mut().insert(model.clone(), newest);
    let desks: Vec<Rc<Desk>> = shared.desks.borrow().values().cloned().collect();
    for desk in desks {
        desk.with(shared, |placer, now| {
            placer.on_version(now, model, newest.version, newest.heard);
        });
    }
}

/// Takes an entry; returns whether it says more than which adapters an endpoint holds.
fn apply_endpoint(shared: &Rc<Shared>, record: &Record, lapse: Lapse) -> bool {
    let id: EndpointId = record.key.clone();
    let Some(value) = &record.value else {
        if shared.directory.borrow_mut().remove(&id, lapse) {
            on_gone(shared, &id, "its entry was removed");
        }
        return true;
    };
    let endpoint = match registry_entry(&id, value) {
        Ok(endpoint) => endpoint,
        Err(findings) => {
            emit!(shared, warn, EntryUnusable; "endpoint" => &*id, "offset" => record.offset,
                "finding" => %findings);
            return false;
        }
    };
    let was_ready = shared.directory.borrow().get(&id).map(|e| e.is_ready());
    let change = shared.directory.borrow_mut().put(Shared::now(), endpoint);
    if change == Change::Same {
        return false;
    }
    let endpoint = shared.directory.borrow().get(&id).cloned();
    let Some(endpoint) = endpoint else {
        return false;
    };
    if matches!(change, Change::New | Change::Reborn) {
        shared.pool.forget(&id);
        shared.chooser.borrow_mut().forget(&id);
        emit!(shared, info, EndpointChanged; "endpoint" => &*id,
            "change" => format!("{change:?}"), "service" => &*endpoint.service,
            "endpoint_zone" => &*endpoint.zone, "addr" => %endpoint.addr,
            "state" => format!("{:?}", endpoint.state), "offset" => record.offset);
    } else if !endpoint.is_ready() {
        emit!(shared, info, EndpointChanged; "endpoint" => &*id, "change" => "Draining",
            "endpoint_zone" => &*endpoint.zone, "offset" => record.offset);
    }
    let desk = shared.desk(&endpoint.zone);
    if let Some(desk) = desk.filter(|_| !endpoint.models.is_empty()) {
        desk.with(shared, |placer, now| {
            placer.on_endpoint(now, &endpoint, change);
        });
    }
    let is_sample = record.offset.is_multiple_of(RESIDENTS_PASSED_ON);
    change != Change::Updated || was_ready != Some(endpoint.is_ready()) || is_sample
}

fn on_gone(shared: &Rc<Shared>, id: &EndpointId, why: &str) {
    emit!(shared, info, EndpointChanged; "endpoint" => &**id, "change" => "Gone", "why" => why);
    shared.pool.forget(id);
    shared.chooser.borrow_mut().forget(id);
    let desks: Vec<Rc<Desk>> = shared.desks.borrow().values().cloned().collect();
    for desk in desks {
        desk.with(shared, |placer, now| placer.on_gone(now, id));
    }
}

/// Passes records on to the instances that hold a session with this one.
fn pass_on(shared: &Rc<Shared>, topic: Topic, from: Offset, next: Offset, records: Vec<Record>) {
    let frame = RecordsFrame {
        topic: topic.label().into(),
        from,
        next,
        records,
    };
    let desks: Vec<Rc<Desk>> = shared.desks.borrow().values().cloned().collect();
    if !desks.is_empty() {
        let frame = FromHolder::Records(frame.clone());
        for desk in desks {
            desk.pass_on(&frame);
        }
    }
    if topic == Topic::Operators {
        let frame = ToHolder::Records(frame);
        for session in shared.sessions.borrow().values() {
            session.send(&frame);
        }
    }
}

/// Tells whether this instance reads the registry as usual.
pub(crate) fn is_served(shared: &Shared) -> bool {
    let mut topics = shared.topics.borrow_mut();
    let lapse = topics.outage.lapse(Shared::now());
    let state = topics.state(Topic::Endpoints);
    !state.failing && state.next.is_some() && lapse == Lapse::Gone
}

/// Returns where this instance reads the topics on.
pub(crate) fn positions(shared: &Shared) -> Vec<(Arc<str>, Offset)> {
    let topics = shared.topics.borrow();
    let next = Topic::ALL
        .into_iter()
        .filter_map(|t| Some((t.label().into(), topics.next(t)?)));
    next.collect()
}

/// Notes what the source's holder says of its reading. While it reads as usual and this instance
/// has what it has, this instance leaves the store alone.
pub(crate) fn on_holder(shared: &Shared, served: bool, next: &[(Arc<str>, Offset)]) {
    let mut topics = shared.topics.borrow_mut();
    let now = Instant::now();
    for topic in Topic::ALL {
        let holder = next.iter().find(|(label, _)| **label == *topic.label());
        let state = topics.state(topic);
        let has_all = holder.is_some_and(|(_, n)| state.next.is_some_and(|own| own >= *n));
        if served && has_all {
            state.passed_on = Some(now);
        } else if state.passed_on.take().is_some() {
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
fn is_passed_on(shared: &Shared, topic: Topic) -> bool {
    if source_zone(shared).is_none() {
        return false;
    }
    let mut topics = shared.topics.borrow_mut();
    let passed_on = topics.state(topic).passed_on;
    passed_on.is_some_and(|at| at.elapsed() < PASSED_ON_LIMIT)
}

/// Notes that another instance reads the registry as usual.
pub(crate) fn on_peer_served(shared: &Shared) {
    let mut topics = shared.topics.borrow_mut();
    topics.outage.on_peer(Shared::now());
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
        "away_ms" => away.map_or(0, crate::executor::millis));
}

fn on_failed(shared: &Rc<Shared>, topic: Topic, error: &StoreError) {
    let first = {
        let mut topics = shared.topics.borrow_mut();
        let state = topics.state(topic);
        !std::mem::replace(&mut state.failing, true)
    };
    if first {
        // Who takes this instance's records reads the store itself from now on.
        let desks: Vec<Rc<Desk>> = shared.desks.borrow().values().cloned().collect();
        for desk in desks {
            desk.tell_levels(shared);
        }
        emit!(shared, warn, StoreLost; "topic" => topic.label(), "error" => %error);
    }
}
