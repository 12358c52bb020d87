//! Requests of a [`Node`]: admission, the choice of an engine or peer, batching and completion.

use std::time::{Duration, Instant};

use caraway_members::Permission;
use caraway_routing::{PendingRequest, RateLimit, adapter_hash, choose_home};
use caraway_types::{AdapterRef, Class, EndpointId, InstanceId, LoadName, Reason, Refusal, Ticket};

use crate::{
    AttemptOutcome, Node, Output, Submission,
    active_request::{ActiveRequest, RequestState},
    engine::{Engine, load_fence},
};

/// Maximum number of times a request is forwarded.
const MAX_HOPS: u8 = 4;
/// Time after which a request for which no engine or peer was found is refused.
const UNROUTED_TIMEOUT: Duration = Duration::from_secs(3);
/// Age at which a peer's capacity report expires.
const CAPACITY_LIFETIME: Duration = Duration::from_secs(4);
/// Time for which a home forwards requests to the peer that it chose to load an adapter version;
/// after that, the peer must have reported that the adapter version is resident.
const ASSIGNMENT_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a peer that did not serve a forwarded request is not chosen to load adapters.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Eviction cost that is always accepted for a fuller batch if `stall_weight` is zero. The cost is
/// the request rate of the evicted adapter version, per second; a lower one is negligible.
const NEGLIGIBLE_RATE: f64 = 0.006;
/// Maximum cost of a load for a fuller batch, beyond that of the cheapest load and as a multiple of
/// it, if `stall_weight` is zero.
const BATCH_COST_FACTOR: f64 = 4.0;
/// Time that a request which is not interactive waits before it starts on an idle engine, so that
/// others can join its batch. It applies only if the routing configuration gives partly
/// empty batches (`batch_weight`) a higher cost than waits for a load (`stall_weight`).
const BATCHING_DELAY: Duration = Duration::from_secs(3);

impl Node {
    /// Admits or refuses a request, and routes it.
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
        let excluded_peers = submission.forwarded_by.iter().cloned().collect();
        let request = ActiveRequest {
            submission,
            state: RequestState::Unrouted(now),
            excluded_peers,
            popularity_recorded: false,
        };
        self.requests.insert(ticket, request);
        self.route(now, ticket, out);
    }

    /// Checks whether a request may be served. One from a peer was admitted there, so only its
    /// deadline is checked.
    fn admit(&mut self, now: Instant, submission: &Submission) -> Result<(), Refusal> {
        let is_from_caller = submission.forwarded_by.is_none();
        if is_from_caller && !self.members.accepts_work(now, &self.settings.id) {
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
        if !is_from_caller {
            return Ok(());
        }
        let account = self
            .config
            .account(&submission.account)
            .cloned()
            .unwrap_or_default();
        let instances = f64::from(u32::try_from(self.members.peers().count() + 1).unwrap_or(1));
        // The account's limit is split evenly among the instances.
        let limit = RateLimit {
            rate: account.rate / instances,
            burst: (f64::from(account.burst) / instances).max(1.0),
        };
        let account_pending = self.pending.account_total(&submission.account);
        if account_pending >= account.max_queued
            || self.pending.total() >= self.config.routing().max_queued
        {
            let detail = "too many requests wait";
            return Err(Refusal::not_run(Reason::QueueFull, detail)
                .with_retry_after(Duration::from_secs(1)));
        }
        self.rate_limiter
            .admit(now, &submission.account, limit)
            .map_err(|wait| {
                let detail = "the client account is over its limit";
                Refusal::not_run(Reason::OverLimit, detail).with_retry_after(wait)
            })
    }

    /// Removes a request whose caller is gone, or cancels its running attempt.
    pub(crate) fn on_cancel(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        match self.requests.get(&ticket).map(|r| &r.state) {
            Some(RequestState::Pending | RequestState::Unrouted(_)) => {
                self.remove(ticket);
            }
            Some(_) => out.push(Output::Cancel { ticket }),
            None => {}
        }
    }

    /// Handles the end of an attempt or of a forwarded request: retries or removes the request, and
    /// fills the freed batch.
    pub(crate) fn on_finished(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let can_retry = matches!(
            outcome,
            AttemptOutcome::NotRun | AttemptOutcome::NotResident
        );
        if can_retry
            && matches!(
                request.state,
                RequestState::Pending | RequestState::Unrouted(_)
            )
        {
            return;
        }
        if request.state == RequestState::Pending {
            self.pending.remove(&request.submission.adapter, ticket);
        }
        let state = std::mem::replace(&mut request.state, RequestState::Unrouted(now));
        if let RequestState::Forwarded(peer) = &state
            && can_retry
        {
            request.excluded_peers.push(peer.clone());
            self.peer_backoffs.insert(peer.clone(), now + PEER_BACKOFF);
        }
        let freed_engine = match state {
            RequestState::Running { endpoint, load } => {
                self.end_attempt(now, &endpoint, &load, outcome);
                Some(endpoint)
            }
            _ => None,
        };
        let expired = self
            .requests
            .get(&ticket)
            .is_some_and(|r| r.submission.deadline <= now);
        if can_retry && expired {
            let refusal = Refusal::not_run(Reason::Deadline, "the deadline has passed");
            self.refuse(ticket, refusal, out);
        } else if can_retry {
            self.route(now, ticket, out);
        } else {
            self.remove(ticket);
        }
        if outcome == AttemptOutcome::Failed {
            let refusal = Refusal::in_doubt(Reason::EndpointFailed, "the endpoint failed");
            out.push(Output::Refuse { ticket, refusal });
        }
        if let Some(endpoint) = freed_engine {
            self.fill_batch(now, &endpoint, out);
        }
    }

    /// Unpins the load of an attempt, and removes the load if the engine does not have it.
    fn end_attempt(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        outcome: AttemptOutcome,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.running_attempts = engine.running_attempts.saturating_sub(1);
        engine.replica.unpin(now, load);
        let is_unpinned = engine.replica.get(load).is_some_and(|l| l.pins == 0);
        if outcome == AttemptOutcome::NotResident && is_unpinned {
            let lost = engine.replica.remove(now, load);
            if let Some(lost) = lost.filter(|_| engine.is_held()) {
                self.record_change(endpoint, &lost.adapter, false);
            }
        }
    }

    /// Removes a request and returns it.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<ActiveRequest> {
        let request = self.requests.remove(&ticket)?;
        self.deadlines
            .remove(&(request.submission.deadline, ticket));
        self.unrouted.remove(&ticket);
        if request.state == RequestState::Pending {
            self.pending.remove(&request.submission.adapter, ticket);
        }
        Some(request)
    }

    /// Removes a request that did not run, and sends the refusal as its final answer.
    pub(crate) fn refuse(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Output>) {
        if self.remove(ticket).is_some() {
            out.push(Output::Refuse { ticket, refusal });
        }
    }

    /// Refuses the requests that have neither started nor been forwarded by their deadline.
    pub(crate) fn refuse_expired(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let state = self.requests.get(&ticket).map(|r| &r.state);
            if matches!(
                state,
                Some(RequestState::Pending | RequestState::Unrouted(_))
            ) {
                let refusal = Refusal::not_run(Reason::Deadline, "the deadline has passed");
                self.refuse(ticket, refusal, out);
            }
        }
    }

    /// Routes every pending request again, after holders or peers have changed.
    pub(crate) fn reroute_pending(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pending = self
            .requests
            .iter()
            .filter(|(_, r)| r.state == RequestState::Pending);
        let tickets: Vec<Ticket> = pending.map(|(t, _)| *t).collect();
        for ticket in tickets {
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.state = RequestState::Unrouted(now);
                self.pending.remove(&request.submission.adapter, ticket);
                self.route(now, ticket, out);
            }
        }
    }

    /// Retries the routing of unrouted requests, and refuses those that were unrouted for too long.
    pub(crate) fn route_unrouted(&mut self, now: Instant, out: &mut Vec<Output>) {
        let tickets: Vec<Ticket> = self.unrouted.iter().copied().collect();
        for ticket in tickets {
            self.route(now, ticket, out);
            let since = match self.requests.get(&ticket).map(|r| &r.state) {
                Some(RequestState::Unrouted(since)) => *since,
                _ => continue,
            };
            if now.saturating_duration_since(since) >= UNROUTED_TIMEOUT {
                let detail = "no endpoint can take the request";
                let refusal =
                    Refusal::not_run(Reason::NoEndpoint, detail).with_retry_after(UNROUTED_TIMEOUT);
                self.refuse(ticket, refusal, out);
            }
        }
    }

    /// Starts a request on an engine that has its adapter version, queues it for a load on this
    /// instance, or forwards it to a peer; otherwise marks it as unrouted.
    pub(crate) fn route(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let adapter = request.submission.adapter.clone();
        self.unrouted.remove(&ticket);
        let class = request.submission.class;
        if let Some((endpoint, load)) = self.choose_resident_load(now, &adapter, class) {
            self.start_attempt(now, ticket, endpoint.clone(), load, out);
            self.fill_batch(now, &endpoint, out);
        } else if self.is_resident_or_pending(now, &adapter) {
            self.enqueue(now, ticket);
        } else if let Some(peer) = self.choose_peer(now, ticket, &adapter) {
            self.forward(ticket, peer, out);
        } else if self.holds_any_engine(now) {
            self.enqueue(now, ticket);
        } else {
            self.mark_unrouted(now, ticket);
        }
    }

    /// Returns a resident load on an engine whose batch has room: in the fullest batch if batches
    /// have a larger weight than stalls, otherwise in the emptiest.
    fn choose_resident_load(
        &self,
        now: Instant,
        adapter: &AdapterRef,
        class: Class,
    ) -> Option<(EndpointId, LoadName)> {
        let routing = self.config.routing();
        let prefer_fullest = routing.batch_weight > routing.stall_weight;
        self.engines
            .iter()
            .filter(|(_, e)| {
                e.has_batch_room() && (e.batch_size() > 0 || !self.delays_start(class))
            })
            .filter_map(|(id, e)| {
                let load = e.replica.resident(adapter)?;
                let usable = self.is_usable(now, id, load);
                usable.then(|| (e.batch_size(), id, load))
            })
            .min_by_key(|(batch, ..)| {
                if prefer_fullest {
                    u32::MAX - *batch
                } else {
                    *batch
                }
            })
            .map(|(_, id, load)| (id.clone(), load.clone()))
    }

    /// Returns whether requests of a class wait up to [`BATCHING_DELAY`] for a batch to share.
    fn delays_start(&self, class: Class) -> bool {
        let routing = self.config.routing();
        class != Class::Interactive && routing.batch_weight > routing.stall_weight
    }

    /// Starts the pending requests whose batching delay has ended.
    pub(crate) fn start_delayed(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.pending.total() == 0 {
            return;
        }
        let endpoints: Vec<EndpointId> = self.engines.keys().cloned().collect();
        for endpoint in endpoints {
            self.fill_batch(now, &endpoint, out);
        }
    }

    /// Returns whether this instance may start requests on a load.
    ///
    /// It must not use a load that was idle for long while it may have been dropped from the
    /// platform's list without knowing it, because a new holder may then evict that load.
    pub(crate) fn is_usable(&self, now: Instant, endpoint: &EndpointId, load: &str) -> bool {
        let Some(engine) = self.engines.get(endpoint) else {
            return false;
        };
        let known = engine.replica.get(load);
        let ordered_here = known.is_some_and(|l| l.ordered_here);
        let usable = ordered_here || self.members.usable(endpoint, load_fence(load));
        let limit = self.members.idle_limit(now, endpoint);
        let idle_too_long = known.zip(limit).is_some_and(|(l, limit)| {
            l.pins == 0 && now.saturating_duration_since(l.last_used) >= limit
        });
        engine.is_held()
            && usable
            && !idle_too_long
            && self.members.permission(now, endpoint) >= Permission::LoadOnly
            && self.members.accepts_work(now, endpoint)
    }

    /// Returns whether the adapter version is resident, loading or in doubt on an engine that this
    /// instance may use.
    fn is_resident_or_pending(&self, now: Instant, adapter: &AdapterRef) -> bool {
        self.engines.iter().any(|(id, e)| {
            let load = e.replica.expected(adapter);
            load.is_some_and(|l| self.is_usable(now, id, l))
        })
    }

    /// Returns whether this instance holds an engine on which it may order loads.
    fn holds_any_engine(&self, now: Instant) -> bool {
        let permitted = |(id, e): (&EndpointId, &crate::engine::Engine)| {
            e.is_held() && self.members.permission(now, id) >= Permission::LoadOnly
        };
        self.engines.iter().any(permitted)
    }

    /// Returns the peer to forward a request to: one that has the adapter version resident,
    /// otherwise the home of the adapter version or, if this instance is the home, the peer that it
    /// chooses to load the adapter version. Returns `None` if this instance must serve the request
    /// itself, or if no peer can.
    fn choose_peer(
        &mut self,
        now: Instant,
        ticket: Ticket,
        adapter: &AdapterRef,
    ) -> Option<InstanceId> {
        let request = self.requests.get(&ticket)?;
        let (hops, forwarded_by) = (
            request.submission.hops,
            request.submission.forwarded_by.clone(),
        );
        if hops >= MAX_HOPS {
            return None;
        }
        let excluded_peers = request.excluded_peers.clone();
        let is_candidate = |peer: &InstanceId| {
            !excluded_peers.contains(peer) && self.members.accepts_work(now, peer)
        };
        if let Some(location) = self
            .directory
            .find(adapter)
            .iter()
            .find(|l| is_candidate(&l.instance))
        {
            return Some(location.instance.clone());
        }
        if forwarded_by.is_some() && self.find_home(now, adapter, |_| true) == forwarded_by {
            return None;
        }
        let home = self.find_home(now, adapter, is_candidate)?;
        if home == self.settings.id {
            self.choose_loader(now, adapter, &excluded_peers)
        } else {
            Some(home)
        }
    }

    /// Returns whether a peer may be chosen to load an adapter version: it accepts work and has no
    /// backoff.
    fn accepts_forward(&self, now: Instant, peer: &InstanceId) -> bool {
        let backing_off = self
            .peer_backoffs
            .get(peer)
            .is_some_and(|until| now < *until);
        !backing_off && self.members.accepts_work(now, peer)
    }

    /// Returns the home of an adapter version: the instance to which all others forward requests
    /// for it while it is not resident. Only instances that `is_candidate` accepts are considered.
    pub(crate) fn find_home(
        &self,
        now: Instant,
        adapter: &AdapterRef,
        is_candidate: impl Fn(&InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let hash = adapter_hash(adapter);
        let held = self.replica_hashes.iter().filter_map(|(h, id)| {
            let holder = self.members.holder(id)?;
            let accepted = self.members.accepts_work(now, id) && is_candidate(holder);
            accepted.then_some((*h, holder))
        });
        choose_home(hash, held).cloned()
    }

    /// Chooses the peer that loads an adapter version whose home is this instance, or `None` to
    /// load it here.
    ///
    /// Among all instances where a load costs at most [`Self::cost_limit`], the one with the most
    /// running requests is chosen.
    fn choose_loader(
        &mut self,
        now: Instant,
        adapter: &AdapterRef,
        excluded_peers: &[InstanceId],
    ) -> Option<InstanceId> {
        let is_candidate =
            |p: &InstanceId| !excluded_peers.contains(p) && self.accepts_forward(now, p);
        if let Some((peer, until)) = self.assignments.get(adapter)
            && now < *until
            && is_candidate(peer)
        {
            return Some(peer.clone());
        }
        let own_cost = self.next_load_cost(now);
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < CAPACITY_LIFETIME;
        let reports = self
            .peer_capacity
            .iter()
            .filter(|(p, (_, at))| is_fresh(*at) && is_candidate(p));
        let candidates = reports.filter_map(|(p, (capacity, _))| {
            let cost = f64::from(*capacity.costs.first()?);
            Some((cost, capacity.running, p))
        });
        let candidates: Vec<(f64, u32, &InstanceId)> = candidates.collect();
        let min_cost = candidates.iter().map(|c| c.0).fold(own_cost, f64::min);
        let limit = self.cost_limit(min_cost);
        // The fullest batches among the cheap candidates, so that rare adapters share few engines.
        let (_, running, peer) = candidates
            .into_iter()
            .filter(|c| c.0 <= limit)
            .max_by(|a, b| a.1.cmp(&b.1).then(b.0.total_cmp(&a.0)))?;
        if own_cost <= limit && self.running_requests() >= running {
            return None;
        }
        let peer = peer.clone();
        if let Some((capacity, _)) = self.peer_capacity.get_mut(&peer) {
            capacity.costs.remove(0);
        }
        self.assignments.retain(|_, (_, until)| now < *until);
        self.assignments
            .insert(adapter.clone(), (peer.clone(), now + ASSIGNMENT_LIFETIME));
        Some(peer)
    }

    /// Returns the maximum cost of a load that may be chosen for a fuller batch, if the cheapest
    /// load costs `min_cost`. The cost of a load is the request rate, per second, of the adapter
    /// version that it evicts.
    pub(crate) fn cost_limit(&self, min_cost: f64) -> f64 {
        let fraction = self.batch_fraction();
        min_cost * (1.0 + fraction * BATCH_COST_FACTOR) + fraction * NEGLIGIBLE_RATE
    }

    /// Returns the weight of batches as a fraction of the weights of batches and stalls.
    pub(crate) fn batch_fraction(&self) -> f64 {
        let routing = self.config.routing();
        let sum = routing.stall_weight + routing.batch_weight;
        routing.batch_weight / sum.max(f64::MIN_POSITIVE)
    }

    /// Returns the number of requests that run on the replicas that this instance holds.
    pub(crate) fn running_requests(&self) -> u32 {
        let held = self.engines.values().filter(|e| e.is_held());
        held.map(Engine::batch_size).sum()
    }

    /// Forwards a request to a peer.
    fn forward(&mut self, ticket: Ticket, peer: InstanceId, out: &mut Vec<Output>) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.state = RequestState::Forwarded(peer.clone());
            out.push(Output::Forward { ticket, peer });
        }
    }

    /// Queues a request until its adapter version is loaded or a batch has room.
    fn enqueue(&mut self, now: Instant, ticket: Ticket) {
        self.record_popularity(now, ticket);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.state = RequestState::Pending;
        let pending = PendingRequest {
            ticket,
            account: request.submission.account.clone(),
            class: request.submission.class,
            since: now,
            deadline: request.submission.deadline,
        };
        self.pending.add(&request.submission.adapter, pending);
    }

    /// Marks a request as unrouted from now on, or from the earlier time if it was unrouted
    /// already.
    fn mark_unrouted(&mut self, now: Instant, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            if !matches!(request.state, RequestState::Unrouted(_)) {
                request.state = RequestState::Unrouted(now);
            }
            self.unrouted.insert(ticket);
        }
    }

    /// Records a request for the popularity of its adapter version, unless this was done before.
    fn record_popularity(&mut self, now: Instant, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket)
            && !std::mem::replace(&mut request.popularity_recorded, true)
        {
            self.popularity
                .record_request(now, &request.submission.adapter);
        }
    }

    /// Pins the load and starts an attempt on its engine.
    fn start_attempt(
        &mut self,
        now: Instant,
        ticket: Ticket,
        endpoint: EndpointId,
        load: LoadName,
        out: &mut Vec<Output>,
    ) {
        self.record_popularity(now, ticket);
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&endpoint) else {
            return;
        };
        if !engine.replica.pin(now, &load, &request.submission.account) {
            return;
        }
        engine.running_attempts += 1;
        self.last_attempt += 1;
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.state = RequestState::Running {
                endpoint: endpoint.clone(),
                load: load.clone(),
            };
        }
        let attempt = self.last_attempt;
        out.push(Output::Start {
            ticket,
            attempt,
            endpoint,
            load,
        });
    }

    /// Starts pending requests for the adapter versions that are resident on an engine, while its
    /// batch has room: the most urgent class first, then the oldest request.
    pub(crate) fn fill_batch(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        out: &mut Vec<Output>,
    ) {
        while let Some((ticket, load)) = self.next_to_start(now, endpoint) {
            let Some(request) = self.requests.get_mut(&ticket) else {
                return;
            };
            self.pending.remove(&request.submission.adapter, ticket);
            request.state = RequestState::Unrouted(now);
            self.start_attempt(now, ticket, endpoint.clone(), load, out);
        }
    }

    /// Returns the pending request to start next on an engine, with its load.
    fn next_to_start(&self, now: Instant, endpoint: &EndpointId) -> Option<(Ticket, LoadName)> {
        let engine = self.engines.get(endpoint).filter(|e| e.has_batch_room())?;
        if self.pending.total() == 0 {
            return None;
        }
        let mut best: Option<((Class, Instant), Ticket, &LoadName)> = None;
        for (name, load) in engine.replica.loads() {
            let Some(first) = self.pending.first(&load.adapter) else {
                continue;
            };
            let waited = now.saturating_duration_since(first.since);
            if engine.batch_size() == 0 && self.delays_start(first.class) && waited < BATCHING_DELAY
            {
                continue;
            }
            let resident = load.state == caraway_slots::LoadState::Resident;
            let rank = (first.class, first.since);
            let is_better = best.as_ref().is_none_or(|(r, ..)| rank < *r);
            if resident && is_better && self.is_usable(now, endpoint, name) {
                best = Some((rank, first.ticket, name));
            }
        }
        best.map(|(_, ticket, name)| (ticket, name.clone()))
    }
}
