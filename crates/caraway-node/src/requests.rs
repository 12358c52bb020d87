//! How a [`Node`] takes, places and ends requests.

use std::time::{Duration, Instant};

use caraway_members::Permission;
use caraway_routing::{PendingRequest, RateLimit, adapter_hash, choose_home};
use caraway_types::{AdapterRef, Class, EndpointId, InstanceId, LoadName, Reason, Refusal, Ticket};

use crate::{
    Done, Node, Output, Submission,
    engine::{Engine, load_fence},
    job::{Job, Place},
};

/// A request is passed on at most this often.
const MAX_HOPS: u8 = 4;
/// A request that no instance can serve is refused after this time.
const PARK: Duration = Duration::from_secs(3);
/// A peer's room is believed for this time.
const ROOM_AGE: Duration = Duration::from_secs(4);
/// A home passes requests to the peer that it chose for a load for this time, until the peer
/// tells that the adapter is resident.
const ASSIGNED: Duration = Duration::from_secs(2);
/// A peer that did not take a request is passed over for this time.
const SHUN: Duration = Duration::from_secs(1);
/// Evicting an adapter version costs nothing worth weighing below this rate, in requests per
/// second.
const CHEAP_RATE: f64 = 0.006;
/// A load may cost this much more for a fuller batch where only batches count.
const FILL_FACTOR: f64 = 4.0;
/// Where batches weigh more than stalls, a request that nobody waits for now starts on an idle
/// engine only after this time, so that it can join a batch.
const HOLD: Duration = Duration::from_secs(3);

impl Node {
    pub(crate) fn on_submit(
        &mut self,
        now: Instant,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        let ticket = submission.ticket;
        if let Err(refusal) = self.admit(now, &submission) {
            out.push(Output::Refuse { ticket, refusal });
            return;
        }
        self.deadlines.insert((submission.deadline, ticket));
        let tried = submission.via.iter().cloned().collect();
        let job = Job {
            submission,
            place: Place::Parked(now),
            tried,
            counted: false,
        };
        self.jobs.insert(ticket, job);
        self.route(now, ticket, out);
    }

    /// Refuses what cannot be served, before it waits.
    fn admit(&mut self, now: Instant, submission: &Submission) -> Result<(), Refusal> {
        let entered = submission.via.is_none();
        if entered && !self.members.accepts_work(now, &self.settings.id) {
            return Err(Refusal::not_run(
                Reason::Leaving,
                "the instance is stopping",
            ));
        }
        if submission.deadline <= now {
            return Err(Refusal::not_run(
                Reason::Deadline,
                "the deadline has passed",
            ));
        }
        if !entered {
            return Ok(());
        }
        let account = self
            .config
            .account(&submission.account)
            .cloned()
            .unwrap_or_default();
        let instances = f64::from(u32::try_from(self.members.peers().count() + 1).unwrap_or(1));
        let allowance = RateLimit {
            rate: account.rate / instances,
            burst: (f64::from(account.burst) / instances).max(1.0),
        };
        let waits = self.waiting.account_total(&submission.account);
        if waits >= account.max_queued || self.waiting.total() >= self.config.routing().max_queued {
            let detail = "too many requests wait";
            return Err(Refusal::not_run(Reason::QueueFull, detail)
                .with_retry_after(Duration::from_secs(1)));
        }
        self.limits
            .admit(now, &submission.account, allowance)
            .map_err(|wait| {
                let detail = "the client account is over its limit";
                Refusal::not_run(Reason::OverLimit, detail).with_retry_after(wait)
            })
    }

    pub(crate) fn on_cancel(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        match self.jobs.get(&ticket).map(|j| &j.place) {
            Some(Place::Waiting | Place::Parked(_)) => {
                self.remove(ticket);
            }
            Some(_) => out.push(Output::Stop { ticket }),
            None => {}
        }
    }

    pub(crate) fn on_finished(
        &mut self,
        now: Instant,
        ticket: Ticket,
        done: Done,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let again = matches!(done, Done::NotRun | Done::NotResident);
        if again && matches!(job.place, Place::Waiting | Place::Parked(_)) {
            return;
        }
        if job.place == Place::Waiting {
            self.waiting.remove(&job.submission.adapter, ticket);
        }
        let place = std::mem::replace(&mut job.place, Place::Parked(now));
        if let Place::Forwarded(peer) = &place
            && again
        {
            job.tried.push(peer.clone());
            self.shunned.insert(peer.clone(), now + SHUN);
        }
        let freed = match place {
            Place::Running { endpoint, load } => {
                self.end_attempt(now, &endpoint, &load, done);
                Some(endpoint)
            }
            _ => None,
        };
        let late = self
            .jobs
            .get(&ticket)
            .is_some_and(|j| j.submission.deadline <= now);
        if again && late {
            let refusal = Refusal::not_run(Reason::Deadline, "the deadline has passed");
            self.refuse(ticket, refusal, out);
        } else if again {
            self.route(now, ticket, out);
        } else {
            self.remove(ticket);
        }
        if done == Done::Failed {
            let refusal = Refusal::in_doubt(Reason::EndpointFailed, "the endpoint failed");
            out.push(Output::Refuse { ticket, refusal });
        }
        if let Some(endpoint) = freed {
            self.fill_batch(now, &endpoint, out);
        }
    }

    fn end_attempt(&mut self, now: Instant, endpoint: &EndpointId, load: &LoadName, done: Done) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        engine.replica.unpin(now, load);
        let idle = engine.replica.get(load).is_some_and(|l| l.pins == 0);
        if done == Done::NotResident && idle {
            let lost = engine.replica.remove(now, load);
            if let Some(lost) = lost.filter(|_| engine.fence.is_some()) {
                self.note_change(endpoint, &lost.adapter, false);
            }
        }
    }

    /// Forgets a request.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(&ticket)?;
        self.deadlines.remove(&(job.submission.deadline, ticket));
        self.parked.remove(&ticket);
        if job.place == Place::Waiting {
            self.waiting.remove(&job.submission.adapter, ticket);
        }
        Some(job)
    }

    /// Gives a request that did not run its final answer.
    pub(crate) fn refuse(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Output>) {
        if self.remove(ticket).is_some() {
            out.push(Output::Refuse { ticket, refusal });
        }
    }

    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let place = self.jobs.get(&ticket).map(|j| &j.place);
            if matches!(place, Some(Place::Waiting | Place::Parked(_))) {
                let refusal = Refusal::not_run(Reason::Deadline, "the deadline has passed");
                self.refuse(ticket, refusal, out);
            }
        }
    }

    /// Places every request that has not started anew, after holders or peers have changed.
    pub(crate) fn route_again(&mut self, now: Instant, out: &mut Vec<Output>) {
        let waiting = self.jobs.iter().filter(|(_, j)| j.place == Place::Waiting);
        let tickets: Vec<Ticket> = waiting.map(|(t, _)| *t).collect();
        for ticket in tickets {
            if let Some(job) = self.jobs.get_mut(&ticket) {
                job.place = Place::Parked(now);
                self.waiting.remove(&job.submission.adapter, ticket);
                self.route(now, ticket, out);
            }
        }
    }

    pub(crate) fn route_parked(&mut self, now: Instant, out: &mut Vec<Output>) {
        let parked: Vec<Ticket> = self.parked.iter().copied().collect();
        for ticket in parked {
            self.route(now, ticket, out);
            let since = match self.jobs.get(&ticket).map(|j| &j.place) {
                Some(Place::Parked(since)) => *since,
                _ => continue,
            };
            if now.saturating_duration_since(since) >= PARK {
                let detail = "no endpoint can take the request";
                let refusal = Refusal::not_run(Reason::NoEndpoint, detail).with_retry_after(PARK);
                self.refuse(ticket, refusal, out);
            }
        }
    }

    /// Starts a request, lets it wait here, or passes it on.
    pub(crate) fn route(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let adapter = job.submission.adapter.clone();
        self.parked.remove(&ticket);
        let class = job.submission.class;
        if let Some((endpoint, load)) = self.choose_resident(now, &adapter, class) {
            self.start(now, ticket, endpoint.clone(), load, out);
            self.fill_batch(now, &endpoint, out);
        } else if self.expects(now, &adapter) {
            self.wait(now, ticket);
        } else if let Some(peer) = self.choose_peer(now, ticket, &adapter) {
            self.forward(ticket, peer, out);
        } else if self.holds_any(now) {
            self.wait(now, ticket);
        } else {
            self.park(now, ticket);
        }
    }

    /// Returns a resident load with a place in its batch: the fullest where batches weigh more
    /// than stalls, otherwise the emptiest.
    fn choose_resident(
        &self,
        now: Instant,
        adapter: &AdapterRef,
        class: Class,
    ) -> Option<(EndpointId, LoadName)> {
        let routing = self.config.routing();
        let fullest = routing.batch_weight > routing.stall_weight;
        self.engines
            .iter()
            .filter(|(_, e)| e.has_place() && (e.batch() > 0 || !self.holds_back(class)))
            .filter_map(|(id, e)| {
                let load = e.replica.resident(adapter)?;
                let usable = self.is_usable(now, id, load);
                usable.then(|| (e.batch(), id, load))
            })
            .min_by_key(
                |(batch, ..)| {
                    if fullest { u32::MAX - *batch } else { *batch }
                },
            )
            .map(|(_, id, load)| (id.clone(), load.clone()))
    }

    /// Tells whether requests of a class wait for others to share a batch with.
    fn holds_back(&self, class: Class) -> bool {
        let routing = self.config.routing();
        class != Class::Interactive && routing.batch_weight > routing.stall_weight
    }

    /// Starts requests that were held back for long enough.
    pub(crate) fn release_held(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.waiting.total() == 0 {
            return;
        }
        let endpoints: Vec<EndpointId> = self.engines.keys().cloned().collect();
        for endpoint in endpoints {
            self.fill_batch(now, &endpoint, out);
        }
    }

    /// Tells whether this instance may start requests on a load.
    ///
    /// One that was idle for long may be evicted by a new holder, if this instance was dropped
    /// from the list without knowing it.
    pub(crate) fn is_usable(&self, now: Instant, endpoint: &EndpointId, load: &str) -> bool {
        let Some(engine) = self.engines.get(endpoint) else {
            return false;
        };
        let known = engine.replica.get(load);
        let own = known.is_some_and(|l| l.ordered_here);
        let usable = own || self.members.usable(endpoint, load_fence(load));
        let limit = self.members.idle_limit(now, endpoint);
        let forsaken = known.zip(limit).is_some_and(|(l, limit)| {
            l.pins == 0 && now.saturating_duration_since(l.last_used) >= limit
        });
        engine.fence.is_some()
            && usable
            && !forsaken
            && self.members.permission(now, endpoint) >= Permission::Fill
            && self.members.accepts_work(now, endpoint)
    }

    /// Tells whether the adapter version is resident here or on its way.
    fn expects(&self, now: Instant, adapter: &AdapterRef) -> bool {
        self.engines.iter().any(|(id, e)| {
            let load = e.replica.expected(adapter);
            load.is_some_and(|l| self.is_usable(now, id, l))
        })
    }

    /// Tells whether this instance may load something somewhere.
    fn holds_any(&self, now: Instant) -> bool {
        let may = |(id, e): (&EndpointId, &crate::engine::Engine)| {
            e.fence.is_some() && self.members.permission(now, id) >= Permission::Fill
        };
        self.engines.iter().any(may)
    }

    /// Returns the peer that serves the request better than this instance, if any.
    fn choose_peer(
        &mut self,
        now: Instant,
        ticket: Ticket,
        adapter: &AdapterRef,
    ) -> Option<InstanceId> {
        let job = self.jobs.get(&ticket)?;
        let (hops, via) = (job.submission.hops, job.submission.via.clone());
        if hops >= MAX_HOPS {
            return None;
        }
        let tried = job.tried.clone();
        let open =
            |peer: &InstanceId| !tried.contains(peer) && self.members.accepts_work(now, peer);
        if let Some(location) = self
            .directory
            .find(adapter)
            .iter()
            .find(|l| open(&l.instance))
        {
            return Some(location.instance.clone());
        }
        if via.is_some() && self.home(now, adapter, |_| true) == via {
            return None;
        }
        let home = self.home(now, adapter, open)?;
        if home == self.settings.id {
            self.assign(now, adapter, &tried)
        } else {
            Some(home)
        }
    }

    /// Tells whether a peer may be given work.
    fn is_open(&self, now: Instant, peer: &InstanceId) -> bool {
        let shunned = self.shunned.get(peer).is_some_and(|until| now < *until);
        !shunned && self.members.accepts_work(now, peer)
    }

    /// Returns the instance where requests for an adapter version meet while it is not resident,
    /// among those that `open` accepts.
    pub(crate) fn home(
        &self,
        now: Instant,
        adapter: &AdapterRef,
        open: impl Fn(&InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let hash = adapter_hash(adapter);
        let held = self.replicas.iter().filter_map(|(h, id)| {
            let holder = self.members.holder(id)?;
            let open = self.members.accepts_work(now, id) && open(holder);
            open.then_some((*h, holder))
        });
        choose_home(hash, held).cloned()
    }

    /// As the home of an adapter version, chooses a peer to load it if that costs much less.
    fn assign(
        &mut self,
        now: Instant,
        adapter: &AdapterRef,
        tried: &[InstanceId],
    ) -> Option<InstanceId> {
        let open = |p: &InstanceId| !tried.contains(p) && self.is_open(now, p);
        if let Some((peer, until)) = self.assigned.get(adapter)
            && now < *until
            && open(peer)
        {
            return Some(peer.clone());
        }
        let here = self.room_cost(now);
        let fresh = |at: Instant| now.saturating_duration_since(at) < ROOM_AGE;
        let rooms = self
            .rooms
            .iter()
            .filter(|(p, (_, at))| fresh(*at) && open(p));
        let offers = rooms.filter_map(|(p, (room, _))| {
            let cost = f64::from(*room.costs.first()?);
            Some((cost, room.running, p))
        });
        let offers: Vec<(f64, u32, &InstanceId)> = offers.collect();
        let least = offers.iter().map(|o| o.0).fold(here, f64::min);
        let limit = self.cheap_limit(least);
        // Among cheap places the one whose batches are fullest, so that rare adapters share few.
        let (_, running, peer) = offers
            .into_iter()
            .filter(|o| o.0 <= limit)
            .max_by(|a, b| a.1.cmp(&b.1).then(b.0.total_cmp(&a.0)))?;
        if here <= limit && self.running() >= running {
            return None;
        }
        let peer = peer.clone();
        if let Some((room, _)) = self.rooms.get_mut(&peer) {
            room.costs.remove(0);
        }
        self.assigned.retain(|_, (_, until)| now < *until);
        self.assigned
            .insert(adapter.clone(), (peer.clone(), now + ASSIGNED));
        Some(peer)
    }

    /// Returns the most that a load may cost for the sake of a fuller batch.
    pub(crate) fn cheap_limit(&self, least: f64) -> f64 {
        let part = self.batch_part();
        least * (1.0 + part * FILL_FACTOR) + part * CHEAP_RATE
    }

    /// Returns how much batches weigh against stalls, from zero to one.
    pub(crate) fn batch_part(&self) -> f64 {
        let routing = self.config.routing();
        let both = routing.stall_weight + routing.batch_weight;
        routing.batch_weight / both.max(f64::MIN_POSITIVE)
    }

    /// Returns the requests that run on the replicas that this instance holds.
    pub(crate) fn running(&self) -> u32 {
        let held = self.engines.values().filter(|e| e.fence.is_some());
        held.map(Engine::batch).sum()
    }

    fn forward(&mut self, ticket: Ticket, peer: InstanceId, out: &mut Vec<Output>) {
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.place = Place::Forwarded(peer.clone());
            out.push(Output::Forward { ticket, peer });
        }
    }

    fn wait(&mut self, now: Instant, ticket: Ticket) {
        self.count(now, ticket);
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.place = Place::Waiting;
        let waiter = PendingRequest {
            ticket,
            account: job.submission.account.clone(),
            class: job.submission.class,
            since: now,
            deadline: job.submission.deadline,
        };
        self.waiting.add(&job.submission.adapter, waiter);
    }

    fn park(&mut self, now: Instant, ticket: Ticket) {
        if let Some(job) = self.jobs.get_mut(&ticket) {
            if !matches!(job.place, Place::Parked(_)) {
                job.place = Place::Parked(now);
            }
            self.parked.insert(ticket);
        }
    }

    /// Counts a request for the popularity of its adapter version, once.
    fn count(&mut self, now: Instant, ticket: Ticket) {
        if let Some(job) = self.jobs.get_mut(&ticket)
            && !std::mem::replace(&mut job.counted, true)
        {
            self.popularity.record_request(now, &job.submission.adapter);
        }
    }

    fn start(
        &mut self,
        now: Instant,
        ticket: Ticket,
        endpoint: EndpointId,
        load: LoadName,
        out: &mut Vec<Output>,
    ) {
        self.count(now, ticket);
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&endpoint) else {
            return;
        };
        if !engine.replica.pin(now, &load, &job.submission.account) {
            return;
        }
        engine.running += 1;
        self.attempts += 1;
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.place = Place::Running {
                endpoint: endpoint.clone(),
                load: load.clone(),
            };
        }
        let attempt = self.attempts;
        out.push(Output::Start {
            ticket,
            attempt,
            endpoint,
            load,
        });
    }

    /// Starts requests that wait for adapters that are resident on an engine, while its batch has
    /// places: the most urgent class first, then the longest wait.
    pub(crate) fn fill_batch(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        out: &mut Vec<Output>,
    ) {
        while let Some((ticket, load)) = self.next_start(now, endpoint) {
            let Some(job) = self.jobs.get_mut(&ticket) else {
                return;
            };
            self.waiting.remove(&job.submission.adapter, ticket);
            job.place = Place::Parked(now);
            self.start(now, ticket, endpoint.clone(), load, out);
        }
    }

    fn next_start(&self, now: Instant, endpoint: &EndpointId) -> Option<(Ticket, LoadName)> {
        let engine = self.engines.get(endpoint).filter(|e| e.has_place())?;
        if self.waiting.total() == 0 {
            return None;
        }
        let mut best: Option<((Class, Instant), Ticket, &LoadName)> = None;
        for (name, load) in engine.replica.loads() {
            let Some(first) = self.waiting.first(&load.adapter) else {
                continue;
            };
            let waited = now.saturating_duration_since(first.since);
            if engine.batch() == 0 && self.holds_back(first.class) && waited < HOLD {
                continue;
            }
            let resident = load.state == caraway_slots::LoadState::Resident;
            let rank = (first.class, first.since);
            let better = best.as_ref().is_none_or(|(r, ..)| rank < *r);
            if resident && better && self.is_usable(now, endpoint, name) {
                best = Some((rank, first.ticket, name));
            }
        }
        best.map(|(_, ticket, name)| (ticket, name.clone()))
    }
}
