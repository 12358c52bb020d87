//! [`HeldZone`]: a zone that this instance holds, with its placer and the instances that are
//! connected to it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_accounts::{AccountDirectory, Draw, DrawReply};
use caraway_placement::{
    ConnectedShare, GrantMeter, Output, PlacementId, PlacementRequest, Placer, PlacerStats,
    RequestOutcome, SourceId, ZoneLoad,
};
use caraway_reach::Reach;
use caraway_types::{EndpointId, FencingToken, Millis, Ticket, ZoneId};
use rand::seq::SliceRandom;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    call_results, claim, endpoint_limits,
    event::emit,
    executor,
    frame::{self, FromHolder},
    placement::Decision,
    session::Outgoing,
    session_server::BUILD,
    shared::{Holder, Shared},
    succession::should_hand_over,
    topics,
    zone_quotas::ZoneQuotas,
};

/// Source of this instance's own requests, which use no session.
const LOCAL_SOURCE: SourceId = 0;

/// Number of instances that are named to one that reaches no endpoint.
const MAX_HELPERS: usize = 8;
/// Time after which to ask the next holder for a permit when the zone was given up.
const NEXT_HOLDER_DELAY: Duration = Duration::from_millis(100);

/// Returns the identifier of a request of this instance at its own placer.
fn local_id(ticket: Ticket) -> PlacementId {
    PlacementId {
        source: LOCAL_SOURCE,
        ticket,
    }
}

/// A zone that this instance holds: its placer and the instances that are connected to it.
#[derive(Debug)]
pub(crate) struct HeldZone {
    pub(crate) zone: ZoneId,
    token: Cell<FencingToken>,
    /// Whether the store has a record that this instance holds the zone. It has none at first where
    /// the previous holder handed the zone over.
    is_recorded: Cell<bool>,
    placer: RefCell<Placer>,
    /// Requests of this instance that the placer has not decided on.
    local_requests: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// The instances that are connected, by the source of their requests.
    peers: RefCell<HashMap<SourceId, Peer>>,
    last_source: Cell<SourceId>,
    /// Measures how long requests wait at the placer.
    grants: Cell<GrantMeter>,
    /// The part of all instances that is connected.
    connected: RefCell<ConnectedShare>,
    /// The share that the placer was told last.
    limit_share: Cell<f64>,
    quotas: RefCell<ZoneQuotas>,
    /// When the last order was sent.
    last_order: Cell<Option<Instant>>,
    /// Notified when the next timer of the placer may have changed.
    wake: Notify,
    /// Whether the zone was given up.
    closed: Cell<bool>,
}

/// An instance that has a session with this one as the zone's holder.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The instance's own zone.
    zone: ZoneId,
    /// The instance's record if it became this zone's holder.
    holder: Holder,
    /// Part of the link speed or processor time that it lacks as a holder, 0 to 1; see
    /// [`weakness`](crate::weakness).
    weakness: f64,
    /// The instance's build, if it states it.
    build: Option<Arc<str>>,
    connected_at: Instant,
    state: PeerState,
    /// Frames to be sent to the instance.
    frames: Outgoing,
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerState {
    /// Whether it holds a zone itself.
    pub(crate) holds: bool,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Whether it reaches no endpoint; `None` before it says so, and if its build does not know.
    pub(crate) cut: Option<bool>,
    /// Whether its copy of the registry is not current.
    pub(crate) has_old_registry: bool,
    /// When the store last answered a read of the registry by this instance, if it does so now.
    pub(crate) read_at: Option<Instant>,
}

/// Which connected instances may become the next holder of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SuccessorRule {
    /// Only instances of the zone itself.
    pub(crate) own_zone_only: bool,
    /// Only instances that the store has answered since then.
    pub(crate) read_since: Option<Instant>,
}

impl SuccessorRule {
    fn admits(&self, zone: &ZoneId, peer: &Peer) -> bool {
        let has_read = |since| peer.state.read_at.is_some_and(|at| at >= since);
        !peer.state.leaving
            && (peer.zone == *zone || !self.own_zone_only)
            && self.read_since.is_none_or(has_read)
    }
}

impl PeerState {
    pub(crate) fn is_cut(self) -> bool {
        self.cut == Some(true)
    }

    /// Returns whether it serves requests for others. Builds that do not know whether they are cut off
    /// take none over.
    fn takes_requests(self) -> bool {
        self.cut == Some(false) && !self.leaving
    }
}

impl Peer {
    /// Creates a peer that is connected from now on.
    pub(crate) fn new(
        zone: ZoneId,
        holder: Holder,
        weakness: f64,
        build: Option<Arc<str>>,
        frames: Outgoing,
    ) -> Self {
        Self {
            zone,
            holder,
            weakness,
            build,
            connected_at: Shared::now(),
            state: PeerState::default(),
            frames,
        }
    }
}

impl HeldZone {
    /// Creates the state of a zone whose placer may give its first order at `start`.
    pub(crate) fn new(
        shared: &Shared,
        zone: ZoneId,
        token: FencingToken,
        is_recorded: bool,
        start: Instant,
    ) -> Self {
        let connected = ConnectedShare::new(shared.fleet_size.get().stated());
        let limit_share = connected.share(Shared::now());
        let mut placer = Placer::new(shared.placer_settings.clone(), start);
        placer.set_limit_share(Shared::now(), limit_share);
        Self {
            quotas: RefCell::new(ZoneQuotas::new(shared, &zone)),
            zone,
            token: Cell::new(token),
            is_recorded: Cell::new(is_recorded),
            placer: RefCell::new(placer),
            local_requests: RefCell::default(),
            peers: RefCell::default(),
            last_source: Cell::new(LOCAL_SOURCE),
            grants: Cell::new(GrantMeter::new(Shared::now())),
            connected: RefCell::new(connected),
            limit_share: Cell::new(limit_share),
            last_order: Cell::new(None),
            wake: Notify::new(),
            closed: Cell::new(false),
        }
    }

    /// Returns the fencing token of the zone's orders.
    pub(crate) fn token(&self) -> FencingToken {
        self.token.get()
    }

    /// Returns whether the store has a record that this instance holds the zone.
    pub(crate) fn is_recorded(&self) -> bool {
        self.is_recorded.get()
    }

    /// Records that the store has a record of this instance as the holder, with this fencing token.
    pub(crate) fn set_recorded(&self, token: FencingToken) {
        self.token.set(token);
        self.is_recorded.set(true);
    }

    /// Records that the store may have lost the record of this instance as the holder.
    pub(crate) fn set_unrecorded(&self) {
        self.is_recorded.set(false);
    }

    /// Returns whether the placer gives no more orders, as the zone is being given up.
    pub(crate) fn is_stopping(&self) -> bool {
        self.placer.borrow().is_stopping()
    }

    /// Returns whether a connected instance of the zone is a better holder than this one, whose
    /// weakness is `own_weakness`.
    pub(crate) fn has_better_holder(&self, own_weakness: f64) -> bool {
        let now = Shared::now();
        let is_better = |p: &Peer| {
            let connected_for = now.saturating_duration_since(p.connected_at);
            let is_eligible = p.zone == self.zone && !p.state.leaving && !p.state.is_cut();
            is_eligible && should_hand_over(own_weakness, p.weakness, connected_for)
        };
        self.peers.borrow().values().any(is_better)
    }

    /// Returns whether the store has answered a connected instance of the zone that reaches endpoints
    /// since `since`.
    pub(crate) fn has_reading_peer(&self, since: Instant) -> bool {
        let rule = SuccessorRule {
            own_zone_only: true,
            read_since: Some(since),
        };
        let peers = self.peers.borrow();
        peers
            .values()
            .any(|p| rule.admits(&self.zone, p) && !p.state.is_cut())
    }

    /// Hands the zone over to a connected instance that `rule` admits and sends the name of the new
    /// holder to all connected instances; returns the new holder, or `None` if there is no candidate.
    ///
    /// Instances that reach endpoints come first, then those with a current copy of the registry, as a
    /// holder grants what its copy lists, then those of the zone itself, then those with the
    /// least weakness, then those of another build, as in a roll they have been replaced already, then
    /// those that hold no zone.
    ///
    /// The new holder must not order for the time `wait`.
    pub(crate) fn hand_over(&self, rule: SuccessorRule, wait: Duration) -> Option<Holder> {
        let peers = self.peers.borrow();
        let candidates = peers.values().filter(|p| rule.admits(&self.zone, p));
        let is_other_zone = |p: &Peer| p.zone != self.zone;
        let is_own_build = |p: &Peer| p.build.as_deref() == Some(BUILD);
        let next = candidates.min_by(|a, b| {
            let by_reach = a.state.is_cut().cmp(&b.state.is_cut());
            let by_registry = a.state.has_old_registry.cmp(&b.state.has_old_registry);
            let by_zone = is_other_zone(a).cmp(&is_other_zone(b));
            let by_weakness = a.weakness.total_cmp(&b.weakness);
            let by_build = is_own_build(a).cmp(&is_own_build(b));
            let by_holding = a.state.holds.cmp(&b.state.holds);
            let by_name = a.holder.instance.cmp(&b.holder.instance);
            let by_place = by_reach.then(by_registry).then(by_zone);
            let by_host = by_weakness.then(by_build).then(by_holding);
            by_place.then(by_host).then(by_name)
        })?;
        let token = self.token() + 1;
        let holder = Holder {
            token,
            ..next.holder.clone()
        };
        let frame = frame::encode(&FromHolder::Successor {
            holder: holder.clone(),
            token,
            wait: wait.into(),
        });
        for peer in peers.values() {
            // A peer that misses the frame learns that this instance is not the holder, and reads
            // the new one from the store.
            peer.frames.try_send(Ok(frame.clone())).ok();
        }
        Some(holder)
    }

    /// Calls `update` on the placer and carries out the resulting outputs. Does nothing once the
    /// zone is given up.
    pub(crate) fn with_placer(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        update: impl FnOnce(&mut Placer, Instant),
    ) {
        if self.closed.get() {
            return;
        }
        let now = Shared::now();
        let outputs = {
            let mut placer = self.placer.borrow_mut();
            update(&mut placer, now);
            placer.take_outputs()
        };
        for output in outputs {
            self.handle_output(shared, output);
        }
        self.wake.notify_one();
    }

    /// Requests an endpoint for a request of this instance. The returned receiver yields the
    /// decision.
    pub(crate) fn request_local(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        ticket: Ticket,
        request: PlacementRequest,
    ) -> oneshot::Receiver<Decision> {
        let (decision_tx, decision_rx) = oneshot::channel();
        self.local_requests.borrow_mut().insert(ticket, decision_tx);
        self.with_placer(shared, |placer, now| {
            placer.on_request(now, local_id(ticket), request);
        });
        decision_rx
    }

    /// Records the end of a request of this instance.
    pub(crate) fn report_local_end(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        ticket: Ticket,
        outcome: RequestOutcome,
    ) {
        self.local_requests.borrow_mut().remove(&ticket);
        self.with_placer(shared, |placer, now| {
            placer.on_request_end(now, local_id(ticket), outcome);
        });
    }

    /// Records that an endpoint makes no progress with a request of this instance.
    pub(crate) fn report_local_stall(self: &Rc<Self>, shared: &Rc<Shared>, ticket: Ticket) {
        self.with_placer(shared, |placer, now| placer.on_stall(now, local_id(ticket)));
    }

    /// Adopts the running requests of this instance that an earlier holder granted.
    pub(crate) fn adopt_local_requests(self: &Rc<Self>, shared: &Rc<Shared>) {
        let requests = shared.running_requests.borrow().get(&self.zone).cloned();
        self.with_placer(shared, |placer, _| {
            for (ticket, request) in requests.into_iter().flatten() {
                placer.register_run(local_id(ticket), &request.endpoint, &request.model);
            }
        });
    }

    /// Adds a connected instance and returns the source of its requests.
    pub(crate) fn add_peer(self: &Rc<Self>, shared: &Rc<Shared>, peer: Peer) -> SourceId {
        let id = self.last_source.get() + 1;
        self.last_source.set(id);
        self.connected
            .borrow_mut()
            .on_connected(&peer.holder.instance);
        let in_zone = peer.zone == self.zone;
        self.quotas
            .borrow_mut()
            .on_connected(Shared::now(), &peer.holder.instance, in_zone);
        self.peers.borrow_mut().insert(id, peer);
        self.update_limit_share(shared);
        id
    }

    /// Records what a connected instance says of itself.
    pub(crate) fn set_peer_state(&self, source: SourceId, state: PeerState) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&source) {
            peer.state = state;
        }
    }

    /// Returns the addresses of connected instances that reach endpoints, a random choice of them if
    /// there are many.
    pub(crate) fn helpers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let helping = peers.values().filter(|p| p.state.takes_requests());
        let mut addrs: Vec<SocketAddr> = helping.map(|p| p.holder.addr).collect();
        addrs.sort_unstable();
        addrs.dedup();
        let (chosen, _) = addrs.partial_shuffle(&mut rand::rng(), MAX_HELPERS);
        chosen.to_vec()
    }

    /// Returns the same as [`Self::helpers`], with this instance if it reaches endpoints.
    pub(crate) fn helpers_with(&self, shared: &Shared) -> Vec<SocketAddr> {
        let mut addrs = self.helpers();
        if shared.reach.reach() == Reach::Open && !shared.is_draining() {
            addrs.push(shared.peer_addr());
        }
        addrs
    }

    /// Returns whether a connected instance reaches endpoints.
    pub(crate) fn has_reaching_peer(&self) -> bool {
        let peers = self.peers.borrow();
        peers
            .values()
            .any(|p| !p.state.is_cut() && !p.state.leaving)
    }

    /// Removes an instance whose session has ended.
    pub(crate) fn remove_peer(self: &Rc<Self>, shared: &Rc<Shared>, source: SourceId) {
        let lost = self.peers.borrow_mut().remove(&source);
        if let Some(lost) = lost {
            let name = &lost.holder.instance;
            let is_back = |p: &Peer| p.holder.instance == *name;
            let (mut connected, now) = (self.connected.borrow_mut(), Shared::now());
            let mut quotas = self.quotas.borrow_mut();
            if lost.state.leaving {
                connected.on_stopped(name);
                quotas.on_stopped(now, name);
            } else if !self.peers.borrow().values().any(is_back) {
                connected.on_lost(now, name);
                quotas.on_lost(now, name);
            }
        }
        self.with_placer(shared, |placer, now| placer.on_source_lost(now, source));
        self.update_limit_share(shared);
    }

    /// Returns the number of instances of all zones that run, as far as known.
    pub(crate) fn known_instances(&self) -> usize {
        self.connected.borrow().known_instances(Shared::now())
    }

    /// Passes the part of all instances that is connected to the placer, which gives away as much
    /// of each endpoint's request limit.
    pub(crate) fn update_limit_share(self: &Rc<Self>, shared: &Rc<Shared>) {
        self.quotas.borrow_mut().update_share(Shared::now());
        let share = self.connected.borrow().share(Shared::now());
        if self.limit_share.replace(share).to_bits() != share.to_bits() {
            self.with_placer(shared, |placer, now| placer.set_limit_share(now, share));
        }
    }

    /// Takes a permit for a request to an endpoint of the zone without an engine; see
    /// [`Placer::acquire_permit`].
    pub(crate) fn acquire_permit(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        endpoint: &EndpointId,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        // The placer decides nothing once the zone is given up.
        let mut permit = Err(NEXT_HOLDER_DELAY);
        self.with_placer(shared, |placer, now| {
            permit = placer.acquire_permit(now, endpoint, max_wait);
        });
        permit
    }

    /// Applies the accounts of a new configuration to the zone's quota pool.
    pub(crate) fn set_accounts(&self, accounts: &AccountDirectory) {
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_accounts(Shared::now(), accounts);
    }

    /// Draws from the zone's quota pool; returns no replies once the zone is given up.
    pub(crate) fn draw(&self, draws: &[Draw]) -> Vec<DrawReply> {
        if self.closed.get() {
            return Vec::new();
        }
        let mut quotas = self.quotas.borrow_mut();
        quotas.draw(Shared::now(), draws.iter())
    }

    /// Returns the number of connected instances of `zone`, plus one if `zone` is this held zone.
    pub(crate) fn instance_count(&self, zone: &str) -> usize {
        let peers = self.peers.borrow();
        let others = peers.values().filter(|p| &*p.zone == zone).count();
        others + usize::from(&*self.zone == zone)
    }

    /// Forwards records of the store to the instances of the zone and to the holders of other
    /// zones, which forward them there.
    pub(crate) fn forward_records(&self, frame: &FromHolder) {
        let peers = self.peers.borrow();
        let receivers = peers
            .values()
            .filter(|p| p.state.holds || p.zone == self.zone);
        let bytes = frame::encode(frame);
        for peer in receivers {
            // A peer that misses the frame detects it by the offsets in the next pong.
            peer.frames.try_send(Ok(bytes.clone())).ok();
        }
    }

    /// Sends a frame to one connected instance of the zone and to one of another zone, so that what it
    /// says is known after this instance, or its zone, has ended.
    pub(crate) fn send_to_backups(&self, frame: &FromHolder) {
        let peers = self.peers.borrow();
        let oldest = |in_zone: bool| {
            let staying = peers.iter().filter(|(_, p)| !p.state.leaving);
            let eligible = staying.filter(|(_, p)| (p.zone == self.zone) == in_zone);
            eligible.min_by_key(|(source, _)| **source).map(|(_, p)| p)
        };
        let bytes = frame::encode(frame);
        for peer in [oldest(true), oldest(false)].into_iter().flatten() {
            // A full queue is that of a peer which is about to be lost.
            peer.frames.try_send(Ok(bytes.clone())).ok();
        }
    }

    /// Creates a pong for an instance of `zone`, in answer to a ping. `asked` is the time at which
    /// the instance sent the ping, counted from the start of its session; `None` for an unsolicited
    /// pong.
    pub(crate) fn pong(&self, shared: &Shared, zone: &str, asked: Option<Millis>) -> FromHolder {
        FromHolder::Pong {
            asked,
            peers: self.instance_count(zone),
            pressure: self.pressure(),
            served: topics::is_registry_current(shared),
            next: topics::readable_offsets(shared),
            limits: endpoint_limits::frames(shared, &self.zone),
            instances: self.known_instances(),
            era: shared.store.era(),
            helpers: Vec::new(),
            results: call_results::summed(shared, Shared::now(), &self.zone),
            wait: Some(self.load().expected_wait.into()),
            free: Some(self.load().free_slots),
        }
    }

    /// Sends an unsolicited pong to every connected instance.
    pub(crate) fn broadcast_pong(&self, shared: &Shared) {
        let peers: Vec<(ZoneId, Outgoing)> = {
            let peers = self.peers.borrow();
            let all = peers.values();
            all.map(|p| (p.zone.clone(), p.frames.clone())).collect()
        };
        for (zone, frames) in peers {
            // A lost pong is made up for by the next one.
            frames
                .try_send(Ok(frame::encode(&self.pong(shared, &zone, None))))
                .ok();
        }
    }

    /// Returns the placer's statistics.
    pub(crate) fn stats(&self) -> PlacerStats {
        self.placer.borrow().stats(Shared::now())
    }

    /// Returns the number of requests that wait for an endpoint.
    pub(crate) fn waiting(&self) -> usize {
        self.placer.borrow().waiting()
    }

    /// Returns the number of running and waiting requests per usable endpoint.
    pub(crate) fn pressure(&self) -> f64 {
        self.placer.borrow().pressure(Shared::now())
    }

    /// Returns when the last order was sent, `None` if none was.
    pub(crate) fn last_order(&self) -> Option<Instant> {
        self.last_order.get()
    }

    /// Returns how busy the zone is.
    pub(crate) fn load(&self) -> ZoneLoad {
        let now = Shared::now();
        let placer = self.placer.borrow();
        ZoneLoad {
            expected_wait: self.grants.get().expected_wait(now, placer.waiting()),
            free_slots: placer.free_slots(now),
        }
    }

    /// Returns whether an order was sent whose outcome is not known yet.
    pub(crate) fn has_order_in_flight(&self) -> bool {
        self.placer.borrow().has_order_in_flight()
    }

    /// Returns whether the zone was given up, so that the placer does nothing more.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Gives the zone up: connected instances learn that this one is not the holder, and pending
    /// requests of this instance are decided as [`Decision::Lost`].
    pub(crate) fn close(&self) {
        self.closed.set(true);
        let bytes = frame::encode(&FromHolder::NotHolder);
        for (_, peer) in self.peers.borrow_mut().drain() {
            // If the queue is full, the peer notices the closed session instead.
            peer.frames.try_send(Ok(bytes.clone())).ok();
        }
        for (_, decision_tx) in self.local_requests.borrow_mut().drain() {
            // The requester may have left.
            decision_tx.send(Decision::Lost).ok();
        }
        self.wake.notify_one();
    }

    /// Calls the placer whenever one of its timers is due; returns when the zone is given up.
    pub(crate) async fn run_timers(self: Rc<Self>, shared: Rc<Shared>) {
        while !self.closed.get() {
            let wake = self.placer.borrow().next_wake(Shared::now());
            match wake {
                None => self.wake.notified().await,
                Some(at) => {
                    let due = tokio::time::sleep_until(at.into());
                    tokio::select! {
                        () = due => self.with_placer(&shared, Placer::on_tick),
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }

    fn handle_output(self: &Rc<Self>, shared: &Rc<Shared>, output: Output) {
        match output {
            Output::Grant {
                request,
                endpoint,
                has_waited,
            } => {
                let known = shared.directory.borrow().get(&endpoint).cloned();
                let Some(known) = known else {
                    // The endpoint was removed from the registry in the meantime.
                    self.deliver(request, Decision::Lost);
                    return;
                };
                let waited = has_waited;
                self.deliver(
                    request,
                    Decision::Granted {
                        endpoint,
                        addr: known.addr,
                        started_ms: known.started_ms,
                        waited,
                    },
                );
            }
            Output::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let refused = Decision::Refused {
                    reason,
                    retry_after,
                    waiting: self.waiting(),
                };
                self.deliver(request, refused);
            }
            Output::Order(order) => {
                self.last_order.set(Some(Shared::now()));
                let (held, shared) = (self.clone(), shared.clone());
                tokio::task::spawn_local(executor::send_order(shared, held, order));
            }
            Output::FetchReport(endpoint) => {
                let (held, shared) = (self.clone(), shared.clone());
                tokio::task::spawn_local(executor::fetch_report(shared, held, endpoint));
            }
            Output::Superseded(endpoint) => {
                emit!(shared, warn, HoldingEnded; "held_zone" => &*self.zone,
                    "token" => self.token(),
                    "why" => "the endpoint has received a later fencing token",
                    "endpoint" => &*endpoint);
                claim::on_superseded(shared, self);
            }
        }
    }

    /// Delivers a decision to the requester, on this instance or through its session.
    fn deliver(&self, request: PlacementId, decision: Decision) {
        if matches!(decision, Decision::Granted { .. }) {
            let mut grants = self.grants.get();
            grants.on_grant(Shared::now());
            self.grants.set(grants);
        }
        if request.source == LOCAL_SOURCE {
            if let Some(decision_tx) = self.local_requests.borrow_mut().remove(&request.ticket) {
                // The requester may have left, and then reports the end of the request.
                decision_tx.send(decision).ok();
            }
            return;
        }
        let peers = self.peers.borrow();
        if let Some(peer) = peers.get(&request.source) {
            let pressure = self.pressure();
            let bytes = frame::encode(&decision.into_frame(request.ticket, pressure, self.load()));
            // If the queue is full, the peer ends the session, and with it the grant.
            peer.frames.try_send(Ok(bytes)).ok();
        }
    }
}

/// Capacity of the frame queue of a connection; a holder in the largest deployments sends about 100
/// frames per second to one instance.
pub(crate) const FRAME_QUEUE_LEN: usize = 1024;

/// Creates a queue of outgoing frames and the stream that a body is made from.
pub(crate) fn frame_queue() -> (
    Outgoing,
    mpsc::Receiver<Result<bytes::Bytes, caraway_http::Aborted>>,
) {
    mpsc::channel(FRAME_QUEUE_LEN)
}
