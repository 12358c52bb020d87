//! Which instance holds an availability zone's endpoints, by records in the platform's store.
//!
//! A claim is an append that succeeds only where the topic ends as the claimer knows it, so of
//! several claimers one wins, and the record's offset makes a fencing token that no other has. A
//! holder stays until it stops or can't be reached; it renews nothing, so it goes on while the
//! store is away. One that stops, or that is weaker than another of its zone, hands its zone over to
//! one instance, which takes the next token and records itself, once the store is back where it is
//! away.

use std::{rc::Rc, time::Duration};

use caraway_platform::{Record, StoreError, Topic, holder_key};
use caraway_types::{FencingToken, ZoneId};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    apply,
    desk::Desk,
    event::emit,
    follow,
    session::Session,
    shared::{Holder, Shared},
    succession::{HolderState, claim_place},
};

/// Fencing tokens from one record to the next: those after the record's own are for holders that
/// follow each other without the store. No outage lasts for as many.
const TOKENS_PER_RECORD: FencingToken = 1 << 8;
/// Pause between tries to record a zone that was handed over.
const RECORD_PAUSE: Duration = Duration::from_millis(500);

/// Looks whether a zone needs a holder that this instance could be.
pub(crate) fn look(shared: &Rc<Shared>) {
    if shared.is_leaving() || !shared.topics.borrow().is_read(Topic::Holders) {
        return;
    }
    hand_over_to_stronger(shared);
    let zones = shared.site.zones.clone();
    for zone in zones {
        keep_session(shared, &zone);
        let is_unrecorded = shared.desk(&zone).is_some_and(|d| !d.is_recorded());
        let wait = if is_unrecorded {
            Some(RECORD_PAUSE)
        } else {
            wait_before_claim(shared, &zone)
        };
        let mut topics = shared.topics.borrow_mut();
        let Some(wait) = wait else {
            topics.claims.forget(&zone);
            continue;
        };
        let at = topics.next(Topic::Holders);
        if topics.claims.begin(Shared::now(), &zone, wait, at) {
            drop(topics);
            tokio::task::spawn_local(claim(shared.clone(), zone));
        }
    }
}

/// Takes a record about a zone's holder.
pub(crate) fn on_record(shared: &Rc<Shared>, record: &Record) {
    let zones = &shared.site.zones;
    let Some(zone) = zones.iter().find(|z| *holder_key(z) == *record.key) else {
        return;
    };
    let value = record.value.as_deref().unwrap_or_default();
    let Ok(mut holder) = serde_json::from_slice::<Holder>(value) else {
        emit!(shared, warn, ConfigFinding; "key" => &*record.key, "offset" => record.offset,
            "finding" => "the record of a holder can't be read");
        return;
    };
    holder.token = record.offset * TOKENS_PER_RECORD;
    take(shared, zone, &holder);
}

/// Takes the word of a holder that stops about who holds its zone from now on.
pub(crate) fn on_successor(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder) {
    let former = shared.holders.borrow().get(zone).cloned();
    if let Some(mut former) = former
        && former.token < holder.token
    {
        // It has given its last order.
        former.released = true;
        shared.holders.borrow_mut().insert(zone.clone(), former);
    }
    take(shared, zone, holder);
}

fn take(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder) {
    let former = shared.holders.borrow().get(zone).cloned();
    if former.as_ref().is_some_and(|f| f.token >= holder.token) {
        return;
    }
    let bounds = &shared.site.bounds;
    let wait = holder_state(shared, zone).order_after(bounds.lease, bounds.checks_fencing);
    let start = Shared::now() + wait;
    emit!(shared, info, HolderChanged; "held_zone" => &**zone, "holder" => &*holder.instance,
        "incarnation" => holder.incarnation, "token" => holder.token,
        "released" => holder.released,
        "former" => former.as_ref().map_or("", |f| &*f.instance));
    shared
        .holders
        .borrow_mut()
        .insert(zone.clone(), holder.clone());
    let is_own = holder.instance == shared.site.instance;
    if former.is_some_and(|f| f.is_same_run(holder)) {
        if let Some(desk) = shared.desk(zone) {
            desk.record(holder.token);
            return;
        }
        // One that was overtaken by a later token has no placer any more, and starts anew.
        if !is_own {
            return;
        }
    }
    let desk = shared.desks.borrow_mut().remove(zone);
    if let Some(desk) = desk {
        desk.end();
    }
    if is_own && holder.incarnation == shared.incarnation && !holder.released {
        open_desk(shared, zone, holder, start);
    }
    keep_session(shared, zone);
}

/// Gives up a zone whose endpoints have seen a later fencing token.
pub(crate) fn on_deposed(shared: &Rc<Shared>, desk: &Rc<Desk>) {
    close(shared, desk);
}

fn close(shared: &Shared, desk: &Rc<Desk>) {
    desk.end();
    let mut desks = shared.desks.borrow_mut();
    if desks.get(&desk.zone).is_some_and(|d| Rc::ptr_eq(d, desk)) {
        desks.remove(&desk.zone);
    }
}

/// Gives up every zone, as the instance stops.
pub(crate) async fn release_all(shared: &Rc<Shared>) {
    for desk in shared.own_desks() {
        end_orders(shared, &desk).await;
        if desk.is_ended() {
            continue;
        }
        let mut successor = desk.hand_over(true);
        if successor.is_none() && append(shared, &desk.zone, true).await.is_err() {
            successor = desk.hand_over(false);
        }
        leave(shared, &desk, successor, "the instance stops");
    }
}

/// Hands zones over to instances that are better holders.
fn hand_over_to_stronger(shared: &Rc<Shared>) {
    for desk in shared.own_desks() {
        if desk.is_recorded() && !desk.is_leaving() && desk.has_stronger(shared.weakness()) {
            tokio::task::spawn_local(hand_over(shared.clone(), desk));
        }
    }
}

async fn hand_over(shared: Rc<Shared>, desk: Rc<Desk>) {
    end_orders(&shared, &desk).await;
    // One that stops meanwhile gives its zones up itself, and the zone may have another holder.
    if shared.is_leaving() || desk.is_ended() {
        return;
    }
    // Without a successor, as it left meanwhile, this instance claims the zone anew.
    let successor = desk.hand_over(true);
    leave(&shared, &desk, successor, "another instance is stronger");
}

/// Lets the placer order nothing more, and waits for the ends of its orders.
async fn end_orders(shared: &Rc<Shared>, desk: &Rc<Desk>) {
    desk.with(shared, |placer, _| placer.stop_orders());
    let mut patience = RELEASE_CHECKS;
    while desk.is_ordering() && patience > 0 {
        patience -= 1;
        sleep(RELEASE_PAUSE).await;
    }
}

fn leave(shared: &Rc<Shared>, desk: &Rc<Desk>, successor: Option<Holder>, why: &str) {
    close(shared, desk);
    emit!(shared, info, HoldingEnded; "held_zone" => &*desk.zone, "token" => desk.token(),
        "why" => why, "successor" => successor.as_ref().map_or("", |s| &*s.instance));
    if let Some(successor) = successor {
        on_successor(shared, &desk.zone, &successor);
    }
}

/// Pause between looks whether the last orders have ended.
const RELEASE_PAUSE: Duration = Duration::from_millis(20);
/// Looks whether the last orders have ended, as long as an order's answer is awaited.
const RELEASE_CHECKS: u32 = 16;

/// Returns how long this instance waits before it claims a zone; `None` when the zone has a
/// holder.
fn wait_before_claim(shared: &Shared, zone: &ZoneId) -> Option<Duration> {
    let is_home = *zone == shared.site.zone;
    if shared.desks.borrow().contains_key(zone) || !is_home && !has_engines(shared, zone) {
        return None;
    }
    holder_state(shared, zone).claim_after(is_home, share(shared, zone))
}

/// Returns what is known of a zone's holder.
fn holder_state(shared: &Shared, zone: &ZoneId) -> HolderState {
    let holders = shared.holders.borrow();
    let Some(holder) = holders.get(zone) else {
        return HolderState::None;
    };
    if holder.released {
        return HolderState::Released;
    }
    if holder.instance == shared.site.instance {
        return HolderState::Own;
    }
    let sessions = shared.sessions.borrow();
    let session = sessions.get(zone).filter(|s| s.holder.is_same_run(holder));
    match session.and_then(|s| Some((s.down_since()?, s.is_gone()))) {
        None => HolderState::Reachable,
        Some((since, true)) => HolderState::Gone(since.elapsed()),
        Some((since, false)) => HolderState::Silent(since.elapsed()),
    }
}

async fn claim(shared: Rc<Shared>, zone: ZoneId) {
    let at = shared.topics.borrow().next(Topic::Holders);
    let result = append(&shared, &zone, false).await;
    let moved = at.filter(|_| matches!(result, Err(StoreError::OffsetMismatch(_))));
    shared.topics.borrow_mut().claims.end(&zone, moved);
}

/// Appends this instance's record of a zone.
async fn append(shared: &Rc<Shared>, zone: &ZoneId, released: bool) -> Result<(), StoreError> {
    let Some(at) = shared.topics.borrow().next(Topic::Holders) else {
        return Err(StoreError::Unavailable("the topic is not read yet".into()));
    };
    let holder = Holder {
        released,
        ..shared.as_holder()
    };
    let value = serde_json::to_vec(&holder).expect("a holder has only texts and numbers");
    let key = holder_key(zone);
    let result = shared
        .store
        .append_at(Topic::Holders, at, &key, &value)
        .await;
    let outcome = match &result {
        Ok(appended) => format!("offset {}", appended.offset),
        Err(e) => e.to_string(),
    };
    let label = if result.is_ok() { "ok" } else { "failed" };
    shared.metrics.record_store_call("claim", label);
    emit!(shared, info, ClaimTried; "held_zone" => &**zone, "at" => at, "released" => released,
        "outcome" => outcome);
    match &result {
        Ok(appended) => {
            let record = Record {
                offset: appended.offset,
                key,
                value: Some(value.into()),
            };
            follow::on_own_append(shared, Topic::Holders, at, &record);
        }
        // The topic has moved, or the record may lie there: reading on tells.
        Err(StoreError::OffsetMismatch(_) | StoreError::Unanswered(_)) => {
            shared.topics.borrow().wake(Topic::Holders);
        }
        // The next look tries again.
        Err(_) => {}
    }
    result.map(drop)
}

fn open_desk(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder, start: std::time::Instant) {
    let is_recorded = holder.token.is_multiple_of(TOKENS_PER_RECORD);
    let desk = Desk::new(shared, zone.clone(), holder.token, is_recorded, start);
    let desk = Rc::new(desk);
    shared.desks.borrow_mut().insert(zone.clone(), desk.clone());
    if !is_recorded {
        // Instances that start meanwhile know of the former holder only.
        let now = Shared::now();
        shared.topics.borrow_mut().claims.hasten(now, zone);
    }
    apply::fill_desk(shared, &desk);
    desk.adopt_own_runs(shared);
    shared.holder_found.notify_waiters();
    tokio::task::spawn_local(desk.run(shared.clone()));
}

/// Keeps a session to the zone's holder, where that is another instance.
fn keep_session(shared: &Rc<Shared>, zone: &ZoneId) {
    let holder = shared.holders.borrow().get(zone).cloned();
    let wanted = holder.filter(|h| !h.released && h.instance != shared.site.instance);
    let mut sessions = shared.sessions.borrow_mut();
    let current = sessions.get(zone);
    let is_kept = match (current, &wanted) {
        (Some(session), Some(wanted)) => session.holder.is_same_run(wanted),
        (None, None) => true,
        _ => false,
    };
    if is_kept {
        return;
    }
    if let Some(old) = sessions.remove(zone) {
        old.stop();
    }
    if let Some(holder) = wanted {
        let session = Rc::new(Session::new(zone.clone(), holder));
        sessions.insert(zone.clone(), session.clone());
        tokio::task::spawn_local(session.run(shared.clone()));
    }
}

fn has_engines(shared: &Shared, zone: &ZoneId) -> bool {
    let directory = shared.directory.borrow();
    directory.all().any(|e| e.zone == *zone && e.is_engine)
}

/// Returns this instance's place in the spread of claimers, 0 to 1.
pub(crate) fn share(shared: &Shared, zone: &ZoneId) -> f64 {
    let key = format!("{zone}/{}/{}", shared.site.instance, shared.incarnation);
    #[expect(
        clippy::cast_precision_loss,
        reason = "53 bits are enough to spread by"
    )]
    let draw = (xxh3_64(key.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    claim_place(shared.weakness(), draw)
}
