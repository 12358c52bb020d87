//! [`Desk`]: a zone's placer on the instance that holds the zone.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Instant,
};

use caraway_placement::{
    Output, PlacementId, PlacementRequest, Placer, PlacerStats, RequestOutcome, SourceId,
};
use caraway_types::{FencingToken, Millis, Ticket, ZoneId};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    claim,
    event::emit,
    executor, follow,
    frame::{self, FromHolder},
    place::Decision,
    session::Outgoing,
    shared::{Holder, Shared},
    succession::is_better_holder,
};

/// The source of this instance's own requests.
const OWN_SOURCE: SourceId = 0;

/// Names a request of this instance at its own placer.
fn own(ticket: Ticket) -> PlacementId {
    PlacementId {
        source: OWN_SOURCE,
        ticket,
    }
}

/// A zone's placer on the instance that holds the zone.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(crate) zone: ZoneId,
    token: Cell<FencingToken>,
    /// Whether a record in the store says that this instance holds the zone.
    recorded: Cell<bool>,
    placer: RefCell<Placer>,
    own: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    sources: RefCell<HashMap<SourceId, Source>>,
    last_source: Cell<SourceId>,
    wake: Notify,
    ended: Cell<bool>,
}

/// An instance that asks.
#[derive(Debug)]
pub(crate) struct Source {
    zone: ZoneId,
    /// What its record would say if it held this zone.
    holder: Holder,
    /// How weak it is as a holder, 0 to 1.
    weakness: f64,
    since: Instant,
    /// Whether it holds a zone itself.
    holds: bool,
    /// Whether it stops.
    leaving: bool,
    frames: Outgoing,
}

impl Source {
    /// Makes a source that asks from now on.
    pub(crate) fn new(zone: ZoneId, holder: Holder, weakness: f64, frames: Outgoing) -> Self {
        Self {
            zone,
            holder,
            weakness,
            since: Shared::now(),
            holds: false,
            leaving: false,
            frames,
        }
    }
}

impl Desk {
    /// Makes the desk of a zone whose orders may begin at `start`.
    pub(crate) fn new(
        shared: &Shared,
        zone: ZoneId,
        token: FencingToken,
        recorded: bool,
        start: Instant,
    ) -> Self {
        Self {
            zone,
            token: Cell::new(token),
            recorded: Cell::new(recorded),
            placer: RefCell::new(Placer::new(shared.placer.clone(), start)),
            own: RefCell::default(),
            sources: RefCell::default(),
            last_source: Cell::new(OWN_SOURCE),
            wake: Notify::new(),
            ended: Cell::new(false),
        }
    }

    /// Returns the fencing token of the zone's orders.
    pub(crate) fn token(&self) -> FencingToken {
        self.token.get()
    }

    /// Tells whether a record in the store says that this instance holds the zone.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded.get()
    }

    /// Notes that a record in the store says that this instance holds the zone.
    pub(crate) fn record(&self, token: FencingToken) {
        self.token.set(token);
        self.recorded.set(true);
    }

    /// Tells whether its orders end, as the zone is given up.
    pub(crate) fn is_leaving(&self) -> bool {
        self.placer.borrow().is_stopping()
    }

    /// Tells whether an asking instance is a better holder than this one, of this weakness.
    pub(crate) fn has_stronger(&self, own_weakness: f64) -> bool {
        let now = Shared::now();
        let is_better = |s: &Source| {
            let in_touch = now.saturating_duration_since(s.since);
            let stays = s.zone == self.zone && !s.leaving;
            stays && is_better_holder(own_weakness, s.weakness, in_touch)
        };
        self.sources.borrow().values().any(is_better)
    }

    /// Hands the zone over to an asking instance, of the zone itself where there is one and the
    /// strongest of them, and tells all of them; returns what they take for its record. `at_home`
    /// leaves out those of other zones.
    pub(crate) fn hand_over(&self, at_home: bool) -> Option<Holder> {
        let sources = self.sources.borrow();
        let may_follow = |s: &&Source| !s.leaving && (s.zone == self.zone || !at_home);
        let staying = sources.values().filter(may_follow);
        let is_foreign = |s: &Source| s.zone != self.zone;
        let next = staying.min_by(|a, b| {
            let home_first = is_foreign(a).cmp(&is_foreign(b));
            let strong_first = a.weakness.total_cmp(&b.weakness);
            let free_first = a.holds.cmp(&b.holds);
            let names = a.holder.instance.cmp(&b.holder.instance);
            home_first.then(strong_first).then(free_first).then(names)
        })?;
        let token = self.token() + 1;
        let holder = Holder {
            token,
            ..next.holder.clone()
        };
        let frame = frame::encode(&FromHolder::Successor {
            holder: holder.clone(),
            token,
        });
        for source in sources.values() {
            // Who misses it finds that this instance holds nothing, and learns it from the store.
            source.frames.try_send(Ok(frame.clone())).ok();
        }
        Some(holder)
    }

    /// Lets `act` change the placer, and carries out what follows.
    pub(crate) fn with(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        act: impl FnOnce(&mut Placer, Instant),
    ) {
        if self.ended.get() {
            return;
        }
        let now = Shared::now();
        let outputs = {
            let mut placer = self.placer.borrow_mut();
            act(&mut placer, now);
            placer.take_outputs()
        };
        for output in outputs {
            self.carry_out(shared, output);
        }
        self.wake.notify_one();
    }

    /// Asks for an endpoint for a request of this instance.
    pub(crate) fn ask_own(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        ticket: Ticket,
        ask: PlacementRequest,
    ) -> oneshot::Receiver<Decision> {
        let (tell, told) = oneshot::channel();
        self.own.borrow_mut().insert(ticket, tell);
        self.with(shared, |placer, now| {
            placer.on_request(now, own(ticket), ask);
        });
        told
    }

    /// Notes that a request of this instance has ended.
    pub(crate) fn end_own(
        self: &Rc<Self>,
        shared: &Rc<Shared>,
        ticket: Ticket,
        end: RequestOutcome,
    ) {
        self.own.borrow_mut().remove(&ticket);
        self.with(shared, |placer, now| {
            placer.on_request_end(now, own(ticket), end);
        });
    }

    /// Notes that an endpoint gives no sign of a request of this instance.
    pub(crate) fn stall_own(self: &Rc<Self>, shared: &Rc<Shared>, ticket: Ticket) {
        self.with(shared, |placer, now| placer.on_stall(now, own(ticket)));
    }

    /// Takes runs of this instance that began under an earlier holder.
    pub(crate) fn adopt_own_runs(self: &Rc<Self>, shared: &Rc<Shared>) {
        let runs = shared.runs.borrow().get(&self.zone).cloned();
        self.with(shared, |placer, _| {
            for (ticket, run) in runs.into_iter().flatten() {
                placer.adopt_run(own(ticket), &run.endpoint, &run.model);
            }
        });
    }

    /// Adds an asking instance.
    pub(crate) fn add_source(&self, source: Source) -> SourceId {
        let id = self.last_source.get() + 1;
        self.last_source.set(id);
        self.sources.borrow_mut().insert(id, source);
        id
    }

    /// Notes whether an asking instance holds a zone itself, and whether it stops.
    pub(crate) fn set_state(&self, source: SourceId, holds: bool, leaving: bool) {
        if let Some(entry) = self.sources.borrow_mut().get_mut(&source) {
            entry.holds = holds;
            entry.leaving = leaving;
        }
    }

    /// Drops an asking instance.
    pub(crate) fn drop_source(self: &Rc<Self>, shared: &Rc<Shared>, source: SourceId) {
        self.sources.borrow_mut().remove(&source);
        self.with(shared, |placer, now| placer.on_source_lost(now, source));
    }

    /// Returns the asking instances of `zone`, this one included where it is of that zone.
    pub(crate) fn peers(&self, zone: &str) -> usize {
        let sources = self.sources.borrow();
        let others = sources.values().filter(|s| &*s.zone == zone).count();
        others + usize::from(&*self.zone == zone)
    }

    /// Passes records on to the instances of the zone and to other zones' holders, which pass
    /// them on there.
    pub(crate) fn pass_on(&self, frame: &FromHolder) {
        let sources = self.sources.borrow();
        let near = sources.values().filter(|s| s.holds || s.zone == self.zone);
        let bytes = frame::encode(frame);
        for source in near {
            // Who misses a frame sees it by the offset of the next sign of life.
            source.frames.try_send(Ok(bytes.clone())).ok();
        }
    }

    /// Makes a sign of life for an instance of `zone`, which answers a question that it sent at
    /// `asked`.
    pub(crate) fn pong(&self, shared: &Shared, zone: &str, asked: Option<Millis>) -> FromHolder {
        FromHolder::Pong {
            asked,
            peers: self.peers(zone),
            pressure: self.pressure(),
            served: follow::is_served(shared),
            next: follow::positions(shared),
        }
    }

    /// Sends a sign of life to every asking instance, unasked.
    pub(crate) fn tell_levels(&self, shared: &Shared) {
        let sources: Vec<(ZoneId, Outgoing)> = {
            let sources = self.sources.borrow();
            let all = sources.values();
            all.map(|s| (s.zone.clone(), s.frames.clone())).collect()
        };
        for (zone, frames) in sources {
            // The next sign of life says it again.
            frames
                .try_send(Ok(frame::encode(&self.pong(shared, &zone, None))))
                .ok();
        }
    }

    /// Returns what there is to do.
    pub(crate) fn levels(&self) -> PlacerStats {
        self.placer.borrow().stats(Shared::now())
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.placer.borrow().waiting()
    }

    /// Returns how pressed the zone's endpoints are.
    pub(crate) fn pressure(&self) -> f64 {
        self.placer.borrow().pressure(Shared::now())
    }

    /// Tells whether an order's end is awaited.
    pub(crate) fn is_ordering(&self) -> bool {
        self.placer.borrow().has_order_in_flight()
    }

    /// Tells whether it has stopped.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Stops: who asks is told to ask elsewhere.
    pub(crate) fn end(&self) {
        self.ended.set(true);
        let bytes = frame::encode(&FromHolder::NotHolder);
        for (_, source) in self.sources.borrow_mut().drain() {
            // Its end of the session closes in any case.
            source.frames.try_send(Ok(bytes.clone())).ok();
        }
        for (_, tell) in self.own.borrow_mut().drain() {
            // Who asked may have left.
            tell.send(Decision::Lost).ok();
        }
        self.wake.notify_one();
    }

    /// Wakes the placer when something is due; returns when the desk has ended.
    pub(crate) async fn run(self: Rc<Self>, shared: Rc<Shared>) {
        while !self.ended.get() {
            let wake = self.placer.borrow().next_wake(Shared::now());
            match wake {
                None => self.wake.notified().await,
                Some(at) => {
                    let due = tokio::time::sleep_until(at.into());
                    tokio::select! {
                        () = due => self.with(&shared, Placer::on_tick),
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }

    fn carry_out(self: &Rc<Self>, shared: &Rc<Shared>, output: Output) {
        match output {
            Output::Grant {
                request,
                endpoint,
                has_waited,
            } => {
                let addr = shared.directory.borrow().get(&endpoint).map(|e| e.addr);
                let Some(addr) = addr else {
                    // The endpoint left the registry in this moment.
                    self.decide(request, Decision::Lost);
                    return;
                };
                let waited = has_waited;
                self.decide(
                    request,
                    Decision::Granted {
                        endpoint,
                        addr,
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
                    after: retry_after,
                    waiting: self.waiting(),
                };
                self.decide(request, refused);
            }
            Output::Order(order) => {
                let (desk, shared) = (self.clone(), shared.clone());
                tokio::task::spawn_local(executor::send_order(shared, desk, order));
            }
            Output::FetchReport(endpoint) => {
                let (desk, shared) = (self.clone(), shared.clone());
                tokio::task::spawn_local(executor::fetch_report(shared, desk, endpoint));
            }
            Output::Superseded(endpoint) => {
                emit!(shared, warn, HoldingEnded; "held_zone" => &*self.zone, "token" => self.token(),
                    "why" => "a later token was used", "endpoint" => &*endpoint);
                claim::on_deposed(shared, self);
            }
        }
    }

    fn decide(&self, ask: PlacementId, decision: Decision) {
        if ask.source == OWN_SOURCE {
            if let Some(tell) = self.own.borrow_mut().remove(&ask.ticket) {
                // Who asked may have left; its end follows.
                tell.send(decision).ok();
            }
            return;
        }
        let sources = self.sources.borrow();
        if let Some(source) = sources.get(&ask.source) {
            let pressure = self.pressure();
            let bytes = frame::encode(&decision.into_frame(ask.ticket, pressure));
            // A full queue ends the session there, and with it the grant.
            source.frames.try_send(Ok(bytes)).ok();
        }
    }
}

/// Frames that wait for one connection; a holder of the largest deployments sends some hundred
/// a second to one instance.
pub(crate) const FRAME_QUEUE: usize = 1024;

/// Makes a queue of frames.
pub(crate) fn frames() -> (
    Outgoing,
    mpsc::Receiver<Result<bytes::Bytes, caraway_http::Aborted>>,
) {
    mpsc::channel(FRAME_QUEUE)
}
