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
    event::emit,
    held_zone::HeldZone,
    session::Session,
    shared::{Holder, Shared},
    succession::{HolderState, claim_rank},
    topics,
};

/// Fencing tokens from one record to the next: those after the record's own are for holders that
/// follow each other without the store. No outage lasts for as many.
const TOKENS_PER_RECORD: FencingToken = 1 << 8;
/// Pause between tries to record a zone that was handed over.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Looks whether a zone needs a holder that this instance could be.
pub(crate) fn check_zones(shared: &Rc<Shared>) {
    if shared.is_draining() || !shared.topics.borrow().is_read(Topic::Holders) {
        return;
    }
    hand_over_to_better_holders(shared);
    let zones = shared.site.zones.clone();
    for zone in zones {
        update_session(shared, &zone);
        let is_unrecorded = shared.held_zone(&zone).is_some_and(|d| !d.is_recorded());
        let wait = if is_unrecorded {
            Some(RECORD_RETRY_DELAY)
        } else {
            wait_before_claim(shared, &zone)
        };
        let mut topics = shared.topics.borrow_mut();
        let Some(wait) = wait else {
            topics.claims.remove(&zone);
            continue;
        };
        let at = topics.next(Topic::Holders);
        if topics.claims.try_begin(Shared::now(), &zone, wait, at) {
            drop(topics);
            tokio::task::spawn_local(claim_zone(shared.clone(), zone));
        }
    }
}

/// Takes a record about a zone's holder.
pub(crate) fn on_holder_record(shared: &Rc<Shared>, record: &Record) {
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
    set_holder(shared, zone, &holder);
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
    set_holder(shared, zone, holder);
}

fn set_holder(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder) {
    let former = shared.holders.borrow().get(zone).cloned();
    if former.as_ref().is_some_and(|f| f.token >= holder.token) {
        return;
    }
    let bounds = &shared.site.bounds;
    let wait = holder_state(shared, zone).first_order_delay(bounds.lease, bounds.checks_fencing);
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
    if former.is_some_and(|f| f.is_same_incarnation(holder)) {
        if let Some(held) = shared.held_zone(zone) {
            held.set_recorded(holder.token);
            return;
        }
        // One that was overtaken by a later token has no placer any more, and starts anew.
        if !is_own {
            return;
        }
    }
    let held = shared.held_zones.borrow_mut().remove(zone);
    if let Some(held) = held {
        held.close();
    }
    if is_own && holder.incarnation == shared.incarnation && !holder.released {
        start_holding(shared, zone, holder, start);
    }
    update_session(shared, zone);
}

/// Gives up a zone whose endpoints have seen a later fencing token.
pub(crate) fn on_superseded(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    close_zone(shared, held);
}

fn close_zone(shared: &Shared, held: &Rc<HeldZone>) {
    held.close();
    let mut held_zones = shared.held_zones.borrow_mut();
    if held_zones
        .get(&held.zone)
        .is_some_and(|d| Rc::ptr_eq(d, held))
    {
        held_zones.remove(&held.zone);
    }
}

/// Gives up every zone, as the instance stops.
pub(crate) async fn release_all(shared: &Rc<Shared>) {
    for held in shared.held_zones() {
        stop_orders_and_wait(shared, &held).await;
        if held.is_closed() {
            continue;
        }
        let mut successor = held.hand_over(true);
        if successor.is_none() && append_record(shared, &held.zone, true).await.is_err() {
            successor = held.hand_over(false);
        }
        end_holding(shared, &held, successor, "the instance stops");
    }
}

/// Hands zones over to instances that are better holders.
fn hand_over_to_better_holders(shared: &Rc<Shared>) {
    for held in shared.held_zones() {
        if held.is_recorded() && !held.is_stopping() && held.has_better_holder(shared.weakness()) {
            tokio::task::spawn_local(hand_over(shared.clone(), held));
        }
    }
}

async fn hand_over(shared: Rc<Shared>, held: Rc<HeldZone>) {
    stop_orders_and_wait(&shared, &held).await;
    // One that stops meanwhile gives its zones up itself, and the zone may have another holder.
    if shared.is_draining() || held.is_closed() {
        return;
    }
    // Without a successor, as it left meanwhile, this instance claims the zone anew.
    let successor = held.hand_over(true);
    end_holding(&shared, &held, successor, "another instance is stronger");
}

/// Lets the placer order nothing more, and waits for the ends of its orders.
async fn stop_orders_and_wait(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    held.with_placer(shared, |placer, _| placer.stop_orders());
    let mut checks_left = ORDER_CHECKS;
    while held.has_order_in_flight() && checks_left > 0 {
        checks_left -= 1;
        sleep(ORDER_CHECK_INTERVAL).await;
    }
}

fn end_holding(shared: &Rc<Shared>, held: &Rc<HeldZone>, successor: Option<Holder>, why: &str) {
    close_zone(shared, held);
    emit!(shared, info, HolderEnded; "held_zone" => &*held.zone, "token" => held.token(),
        "why" => why, "successor" => successor.as_ref().map_or("", |s| &*s.instance));
    if let Some(successor) = successor {
        on_successor(shared, &held.zone, &successor);
    }
}

/// Pause between looks whether the last orders have ended.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Looks whether the last orders have ended, as long as an order's answer is awaited.
const ORDER_CHECKS: u32 = 16;

/// Returns how long this instance waits before it claims a zone; `None` when the zone has a
/// holder.
fn wait_before_claim(shared: &Shared, zone: &ZoneId) -> Option<Duration> {
    let is_own_zone = *zone == shared.site.zone;
    if shared.held_zones.borrow().contains_key(zone) || !is_own_zone && !has_engines(shared, zone) {
        return None;
    }
    holder_state(shared, zone).claim_delay(is_own_zone, own_claim_rank(shared, zone))
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
    let session = sessions
        .get(zone)
        .filter(|s| s.holder.is_same_incarnation(holder));
    match session.and_then(|s| Some((s.down_since()?, s.has_holder_exited()))) {
        None => HolderState::Reachable,
        Some((since, true)) => HolderState::Exited(since.elapsed()),
        Some((since, false)) => HolderState::Unreachable(since.elapsed()),
    }
}

async fn claim_zone(shared: Rc<Shared>, zone: ZoneId) {
    let at = shared.topics.borrow().next(Topic::Holders);
    let result = append_record(&shared, &zone, false).await;
    let conflict_at = at.filter(|_| matches!(result, Err(StoreError::Moved(_))));
    shared.topics.borrow_mut().claims.finish(&zone, conflict_at);
}

/// Appends this instance's record of a zone.
async fn append_record(
    shared: &Rc<Shared>,
    zone: &ZoneId,
    released: bool,
) -> Result<(), StoreError> {
    let Some(at) = shared.topics.borrow().next(Topic::Holders) else {
        return Err(StoreError::Unavailable("the topic is not read yet".into()));
    };
    let holder = Holder {
        released,
        ..shared.own_record()
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
    shared.metrics.store_call("claim", label);
    emit!(shared, info, ClaimTried; "held_zone" => &**zone, "at" => at, "released" => released,
        "outcome" => outcome);
    match &result {
        Ok(appended) => {
            let record = Record {
                offset: appended.offset,
                key,
                value: Some(value.into()),
            };
            topics::on_own_append(shared, Topic::Holders, at, &record);
        }
        // The topic has moved, or the record may lie there: reading on tells.
        Err(StoreError::Moved(_) | StoreError::Unanswered(_)) => {
            shared.topics.borrow().wake(Topic::Holders);
        }
        // The next look tries again.
        Err(_) => {}
    }
    result.map(drop)
}

fn start_holding(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder, start: std::time::Instant) {
    let is_recorded = holder.token.is_multiple_of(TOKENS_PER_RECORD);
    let held = HeldZone::new(shared, zone.clone(), holder.token, is_recorded, start);
    let held = Rc::new(held);
    shared
        .held_zones
        .borrow_mut()
        .insert(zone.clone(), held.clone());
    if !is_recorded {
        // Instances that start meanwhile know of the former holder only.
        let now = Shared::now();
        shared.topics.borrow_mut().claims.schedule_now(now, zone);
    }
    apply::init_placer(shared, &held);
    held.adopt_local_requests(shared);
    shared.holder_reachable.notify_waiters();
    tokio::task::spawn_local(held.run_timers(shared.clone()));
}

/// Keeps a session to the zone's holder, where that is another instance.
fn update_session(shared: &Rc<Shared>, zone: &ZoneId) {
    let holder = shared.holders.borrow().get(zone).cloned();
    let wanted = holder.filter(|h| !h.released && h.instance != shared.site.instance);
    let mut sessions = shared.sessions.borrow_mut();
    let current = sessions.get(zone);
    let is_kept = match (current, &wanted) {
        (Some(session), Some(wanted)) => session.holder.is_same_incarnation(wanted),
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
pub(crate) fn own_claim_rank(shared: &Shared, zone: &ZoneId) -> f64 {
    let key = format!("{zone}/{}/{}", shared.site.instance, shared.incarnation);
    #[expect(
        clippy::cast_precision_loss,
        reason = "53 bits are enough to spread by"
    )]
    let tie_breaker = (xxh3_64(key.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    claim_rank(shared.weakness(), tie_breaker)
}
