//! Claims, hands over and releases availability zones, by records in the platform's store.
//!
//! The holder of a zone places requests and adapters on its endpoints. A claim is an append that
//! succeeds only if the topic ends at the offset that the claimer has read up to, so one of several
//! claimers succeeds, and the offset of the record yields a unique fencing token. A holder stays
//! until it stops or is unreachable. It renews nothing, so it continues during an outage of the
//! store. A holder that stops, or is less suitable than another instance of its zone, hands the
//! zone over to one instance. That one uses the next token and appends its record as soon as the
//! store is available.

use std::{rc::Rc, time::Duration};

use caraway_platform::{Record, StoreError, Topic, holder_key};
use caraway_reach::Reach;
use caraway_types::{FencingToken, Position, ZoneId};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    apply,
    event::emit,
    executor::millis,
    held_zone::{HeldZone, SuccessorRule},
    session::Session,
    shared::{Holder, Shared},
    succession::{HolderState, claim_rank},
    topics,
};

/// Number of fencing tokens per record. The first is for the instance in the record, the others are
/// for hand-overs that are not recorded yet; no outage of the store lasts for that many.
const TOKENS_PER_RECORD: FencingToken = 1 << 8;
/// Number of fencing tokens of an era of the store, enough for 16 million records. The store gives
/// offsets out again in each era, tokens have to rise.
const TOKENS_PER_ERA: FencingToken = 1 << 32;
/// Time for which the store has to reject a holder before it hands its zone over to an instance that the
/// store serves: two ping intervals, in which the instances notice, read the store and say so. Until
/// then, endpoints that leave are granted; half of the shortest time (2 s) that the deployments allow.
const HAND_OVER_UNREAD_AFTER: Duration = Duration::from_secs(1);
/// Delay between attempts to append the record of a zone that was handed over.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Hands zones over to better holders, keeps the sessions to other holders open, and claims zones
/// that have no holder. Called periodically.
pub(crate) fn check_zones(shared: &Rc<Shared>) {
    if shared.is_draining() || !shared.topics.borrow().is_read(Topic::Holders) {
        return;
    }
    hand_over_to_better_holders(shared);
    let zones = shared.site.zones.clone();
    for zone in zones {
        update_session(shared, &zone);
        let is_unrecorded = shared.held_zone(&zone).is_some_and(|h| !h.is_recorded());
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
        let topic_end = topics.next(Topic::Holders);
        if topic_end.is_none() {
            // The topic is being read anew, as the store has returned from an older copy.
            continue;
        }
        if topics
            .claims
            .try_begin(Shared::now(), &zone, wait, topic_end)
        {
            drop(topics);
            tokio::task::spawn_local(claim_zone(shared.clone(), zone));
        }
    }
}

/// Handles a record of a zone's holder from the store.
pub(crate) fn on_holder_record(shared: &Rc<Shared>, record: &Record) {
    let zones = &shared.site.zones;
    let Some(zone) = zones.iter().find(|z| *holder_key(z) == *record.key) else {
        return;
    };
    let value = record.value.as_deref().unwrap_or_default();
    let Ok(mut holder) = serde_json::from_slice::<Holder>(value) else {
        emit!(shared, warn, ConfigFinding; "key" => &*record.key, "offset" => record.offset,
            "finding" => "the holder record is malformed");
        return;
    };
    let is_own =
        holder.instance == shared.site.instance && holder.incarnation == shared.incarnation;
    if is_own && holder.era < shared.store.era() && shared.held_zone(zone).is_none() {
        // A claim that the store executed in a later era than this instance knew of: its token may
        // have been given out before. The next check claims the zone again.
        return;
    }
    holder.token = first_token(Position {
        era: holder.era,
        offset: record.offset,
    });
    set_holder(shared, zone, &holder, None);
}

/// Returns the first fencing token of the record at a position.
fn first_token(position: Position) -> FencingToken {
    position.era * TOKENS_PER_ERA + position.offset * TOKENS_PER_RECORD
}

/// Handles a hand-over of a zone to another holder, as announced by the current one, which states that
/// the next one must not order for the time `wait`.
pub(crate) fn on_successor(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder, wait: Duration) {
    let former = shared.holders.borrow().get(zone).cloned();
    if let Some(mut former) = former
        && former.token < holder.token
    {
        // The former holder gives no more orders, so the next one need not wait for it.
        former.released = true;
        shared.holders.borrow_mut().insert(zone.clone(), former);
    }
    set_holder(shared, zone, holder, Some(wait));
}

/// Sets the holder of a zone. `stated_wait` is for how long the former holder states that it must not
/// order; `None` if that one has not handed the zone over.
fn set_holder(shared: &Rc<Shared>, zone: &ZoneId, holder: &Holder, stated_wait: Option<Duration>) {
    let former = shared.holders.borrow().get(zone).cloned();
    if former.as_ref().is_some_and(|f| f.token >= holder.token) {
        return;
    }
    let bounds = &shared.site.bounds;
    let wait = holder_state(shared, zone).first_order_delay(bounds.lease, bounds.checks_fencing);
    let is_other = former
        .as_ref()
        .is_some_and(|f| f.instance != holder.instance);
    let turn_wait = if is_other {
        pass_turn(shared, zone, stated_wait)
    } else {
        Duration::ZERO
    };
    let start = Shared::now() + wait.max(turn_wait);
    emit!(shared, info, HolderChanged; "held_zone" => &**zone, "holder" => &*holder.instance,
        "incarnation" => holder.incarnation, "token" => holder.token,
        "released" => holder.released, "first_order_ms" => millis(wait.max(turn_wait)),
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
        // If endpoints had received a later token, the placer has ended, and this instance starts a
        // new one.
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

/// Records that a zone passes to another instance, and returns how long that one must not order.
fn pass_turn(shared: &Shared, zone: &ZoneId, stated_wait: Option<Duration>) -> Duration {
    let (now, lease) = (Shared::now(), shared.site.bounds.lease);
    let mut turns = shared.turns.borrow_mut();
    let turns = turns.entry(zone.clone()).or_default();
    match stated_wait {
        Some(stated) => turns.on_hand_over(now, lease, stated),
        None => turns.on_claim(now, lease),
    }
}

/// Returns how long the next holder of a held zone must not order.
fn next_wait(shared: &Shared, held: &HeldZone) -> Duration {
    let turns = shared.turns.borrow().get(&held.zone).copied();
    let lease = shared.site.bounds.lease;
    turns.map_or(Duration::ZERO, |t| {
        t.next_wait(Shared::now(), lease, held.last_order())
    })
}

/// Gives up a zone after one of its endpoints has received a later fencing token.
pub(crate) fn on_superseded(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    close_zone(shared, held);
}

fn close_zone(shared: &Shared, held: &Rc<HeldZone>) {
    held.close();
    let mut held_zones = shared.held_zones.borrow_mut();
    if held_zones
        .get(&held.zone)
        .is_some_and(|h| Rc::ptr_eq(h, held))
    {
        held_zones.remove(&held.zone);
    }
}

/// Gives up all held zones when the instance stops.
pub(crate) async fn release_all(shared: &Rc<Shared>) {
    for held in shared.held_zones() {
        stop_orders_and_wait(shared, &held).await;
        if held.is_closed() {
            continue;
        }
        let own_zone = SuccessorRule {
            own_zone_only: true,
            ..SuccessorRule::default()
        };
        let wait = next_wait(shared, &held);
        let mut successor = held.hand_over(own_zone, wait);
        if successor.is_none() && append_record(shared, &held.zone, true).await.is_err() {
            successor = held.hand_over(SuccessorRule::default(), wait);
        }
        let next = successor.map(|s| (s, wait));
        end_holding(shared, &held, next, "the instance stops");
    }
}

/// Hands held zones over to connected instances that are better holders.
fn hand_over_to_better_holders(shared: &Rc<Shared>) {
    let unread_since = topics::registry_unread_since(shared)
        .filter(|since| since.elapsed() >= HAND_OVER_UNREAD_AFTER)
        .map(tokio::time::Instant::into_std);
    for held in shared.held_zones() {
        if held.is_stopping() {
            continue;
        }
        if shared.reach.reach() != Reach::Open && held.has_reaching_peer() {
            let why = "this instance reaches no endpoint";
            let rule = SuccessorRule::default();
            tokio::task::spawn_local(hand_over(shared.clone(), held, rule, why));
        } else if unread_since.is_some_and(|since| held.has_reading_peer(since)) {
            let why = "the store rejects this instance and serves others";
            let rule = SuccessorRule {
                own_zone_only: true,
                read_since: unread_since,
            };
            tokio::task::spawn_local(hand_over(shared.clone(), held, rule, why));
        } else if held.is_recorded() && held.has_better_holder(shared.weakness()) {
            let why = "another instance is more suitable as the holder";
            let rule = SuccessorRule {
                own_zone_only: true,
                ..SuccessorRule::default()
            };
            tokio::task::spawn_local(hand_over(shared.clone(), held, rule, why));
        }
    }
}

/// Hands a zone over to a better holder that `rule` admits.
async fn hand_over(shared: Rc<Shared>, held: Rc<HeldZone>, rule: SuccessorRule, why: &'static str) {
    stop_orders_and_wait(&shared, &held).await;
    // If this instance is stopping by now, `release_all` gives the zone up. The zone may also have
    // another holder by now.
    if shared.is_draining() || held.is_closed() {
        return;
    }
    // If the better holder has left by now, there is no successor, and this instance claims the
    // zone again.
    let wait = next_wait(&shared, &held);
    let next = held.hand_over(rule, wait).map(|s| (s, wait));
    end_holding(&shared, &held, next, why);
}

/// Stops the placer's orders, and waits a limited time for the outcomes of those in flight.
async fn stop_orders_and_wait(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    held.with_placer(shared, |placer, _| placer.stop_orders());
    let mut checks_left = ORDER_CHECKS;
    while held.has_order_in_flight() && checks_left > 0 {
        checks_left -= 1;
        sleep(ORDER_CHECK_INTERVAL).await;
    }
}

/// Ends the holding of a zone; `next` is the next holder, if there is one, and how long it must not
/// order.
fn end_holding(
    shared: &Rc<Shared>,
    held: &Rc<HeldZone>,
    next: Option<(Holder, Duration)>,
    why: &str,
) {
    close_zone(shared, held);
    emit!(shared, info, HoldingEnded; "held_zone" => &*held.zone, "token" => held.token(),
        "why" => why, "successor" => next.as_ref().map_or("", |(s, _)| &*s.instance));
    if let Some((successor, wait)) = next {
        on_successor(shared, &held.zone, &successor, wait);
    }
}

/// Interval between checks for the end of the last orders.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks for the end of the last orders; together they outlast the timeout of an order.
const ORDER_CHECKS: u32 = 16;

/// Returns how long this instance waits before it claims a zone; `None` if it should not claim it.
fn wait_before_claim(shared: &Shared, zone: &ZoneId) -> Option<Duration> {
    let is_own_zone = *zone == shared.site.zone;
    let is_cut = shared.reach.reach() != Reach::Open;
    if is_cut
        || shared.held_zones.borrow().contains_key(zone)
        || !is_own_zone && !has_engines(shared, zone)
    {
        return None;
    }
    holder_state(shared, zone).claim_delay(is_own_zone, own_claim_rank(shared, zone))
}

/// Returns what this instance knows of a zone's holder.
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
    let topic_end = shared.topics.borrow().next(Topic::Holders);
    let result = append_record(&shared, &zone, false).await;
    let conflict_at = topic_end.filter(|_| matches!(result, Err(StoreError::OffsetMismatch(_))));
    shared.topics.borrow_mut().claims.finish(&zone, conflict_at);
}

/// Appends a record of this instance as a zone's holder, or as having released it.
async fn append_record(
    shared: &Rc<Shared>,
    zone: &ZoneId,
    released: bool,
) -> Result<(), StoreError> {
    let Some(topic_end) = shared.topics.borrow().next(Topic::Holders) else {
        return Err(StoreError::Unavailable(
            "the topic has not been read yet".into(),
        ));
    };
    let holder = Holder {
        released,
        era: topic_end.era,
        ..shared.own_record()
    };
    let value = serde_json::to_vec(&holder).expect("a holder has only strings and numbers");
    let key = holder_key(zone);
    let result = shared
        .store
        .append_at(Topic::Holders, topic_end, &key, &value)
        .await;
    let outcome = match &result {
        Ok(appended) => format!("offset {}", appended.offset),
        Err(e) => e.to_string(),
    };
    shared.metrics.record_store_call("claim", result.is_ok());
    emit!(shared, info, ClaimTried; "held_zone" => &**zone, "at" => topic_end.offset,
        "era" => topic_end.era,
        "released" => released, "outcome" => outcome);
    match &result {
        Ok(appended) => {
            let record = Record {
                offset: appended.offset,
                key,
                value: Some(value.into()),
            };
            topics::on_own_append(shared, Topic::Holders, topic_end, &record);
        }
        // Another record was appended, or the outcome is unknown: reading the topic shows which.
        Err(StoreError::OffsetMismatch(_) | StoreError::Unanswered(_) | StoreError::OtherEra) => {
            shared.topics.borrow().wake(Topic::Holders);
        }
        // The next periodic check retries.
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
        // Until the record is appended, starting instances find only the former holder.
        let now = Shared::now();
        shared.topics.borrow_mut().claims.schedule_now(now, zone);
    }
    apply::init_placer(shared, &held);
    held.adopt_local_requests(shared);
    shared.holder_reachable.notify_waiters();
    tokio::task::spawn_local(held.run_timers(shared.clone()));
}

/// Opens a session to the zone's holder if that is another instance, and closes one to any other.
fn update_session(shared: &Rc<Shared>, zone: &ZoneId) {
    let holder = shared.holders.borrow().get(zone).cloned();
    let target = holder.filter(|h| !h.released && h.instance != shared.site.instance);
    let mut sessions = shared.sessions.borrow_mut();
    let current = sessions.get(zone);
    let is_kept = match (current, &target) {
        (Some(session), Some(target)) => session.holder.is_same_incarnation(target),
        (None, None) => true,
        _ => false,
    };
    if is_kept {
        return;
    }
    if let Some(old) = sessions.remove(zone) {
        old.stop();
    }
    if let Some(holder) = target {
        let session = Rc::new(Session::new(zone.clone(), holder));
        sessions.insert(zone.clone(), session.clone());
        tokio::task::spawn_local(session.run(shared.clone()));
    }
}

fn has_engines(shared: &Shared, zone: &ZoneId) -> bool {
    let directory = shared.directory.borrow();
    directory.all().any(|e| e.zone == *zone && e.is_engine)
}

/// Returns this instance's rank among the claimers of a zone, from 0 for the first to 1.
pub(crate) fn own_claim_rank(shared: &Shared, zone: &ZoneId) -> f64 {
    let key = format!("{zone}/{}/{}", shared.site.instance, shared.incarnation);
    #[expect(
        clippy::cast_precision_loss,
        reason = "53 bits are precise enough for a delay"
    )]
    let tie_breaker = (xxh3_64(key.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    claim_rank(shared.weakness(), tie_breaker)
}
