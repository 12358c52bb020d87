//! Grants, queues and refuses placement requests.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::{DEADLINE_CHECK_INTERVAL, GrantedRun, Placer};
use crate::{
    AnnouncedVersion, AnnouncedVersions, DecayingCount, Output, PlacementId, PlacementRequest,
    RefuseReason, RequestOutcome, SourceId,
    replica::{AdapterState, Replica},
    run_work::RunWork,
};

/// Why no endpoint can run a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unavailable {
    /// None holds the adapter and has a free slot.
    Busy,
    /// Those that could run it have a rate limit, and no permit is due.
    Limited,
}

/// Number of tracked adapters from which those with negligible popularity are dropped.
const PRUNE_SIZE: usize = 4096;
/// Popularity below which an adapter is no longer tracked.
const NEGLIGIBLE_POPULARITY: f64 = 0.01;
/// Consecutive failed requests after which an endpoint is paused.
const FAILURE_LIMIT: u32 = 3;
/// Stalled requests since the last completed one after which an endpoint may be unresponsive.
const STALL_LIMIT: u32 = 2;
/// Time without a completed request after which a stalled endpoint counts as unresponsive; an
/// endpoint that runs several requests completes one every 100 ms.
const QUIET_TIME: Duration = Duration::from_millis(400);
/// Delay after which a caller may retry when there was no endpoint; an instance learns of new ones
/// within this time.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of waiting requests up to which they may be checked at each event.
const FEW_WAITING: usize = 64;
/// Least time between two checks of many waiting requests. Such a check takes as long as hundreds of grants, and one
/// for each event of a burst would keep a holder with a small processor share from everything else.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Placer {
    /// Handles a placement request: grants, queues or refuses it.
    pub fn on_request(&mut self, now: Instant, id: PlacementId, request: PlacementRequest) {
        self.record_popularity(now, &request.model);
        if request.goal > now {
            let rate = self.rates.entry(request.service.clone()).or_default();
            rate.on_arrival(now, request.goal.saturating_duration_since(now));
        }
        let mut choice = self.choose_endpoint(now, &request);
        if let Ok(endpoint) = &choice
            && self.waiting.len() > 0
        {
            // Those that waited for the endpoint go first.
            self.grant_for_endpoint(now, &endpoint.clone());
            choice = self.choose_endpoint(now, &request);
        }
        match choice {
            Ok(endpoint) => {
                self.grant(now, &endpoint, id, &request, false);
                self.plan_copy(now, &request.model);
                return;
            }
            Err(Unavailable::Limited) => self.held_back += 1,
            Err(Unavailable::Busy) => {}
        }
        if !self.can_ever_run(&request) {
            self.refuse(id, RefuseReason::NoEndpoint, NO_ENDPOINT_RETRY_DELAY);
            return;
        }
        let Some(punctuality) = self.admit(now, &request) else {
            self.refuse_overloaded(now, id, &request.service);
            return;
        };
        let deadline = request.deadline;
        self.waiting.add(id, request, punctuality);
        self.deadline_check
            .get_or_insert(now + DEADLINE_CHECK_INTERVAL);
        self.plan_loads(now);
        // Checking all waiting requests costs most when many wait, so it is done here only if this
        // one may be too late; the check at each tick finds the others.
        let ahead = self
            .waiting
            .model_count()
            .saturating_sub(self.loading_count(now) + 1);
        let is_late = self.load_done_at(now, ahead) + self.settings.min_run_time > deadline;
        if is_late && self.is_late_check_due(now) {
            self.refuse_late(now);
        } else {
            self.refuse_beyond_limits(now);
        }
    }

    /// Registers a run that an earlier holder granted.
    pub fn register_run(&mut self, id: PlacementId, endpoint: &EndpointId, model: &ModelRef) {
        self.add_run(endpoint, id, model, None);
    }

    /// Handles the end of a request, or of its wait when its caller has disconnected.
    pub fn on_request_end(&mut self, now: Instant, id: PlacementId, outcome: RequestOutcome) {
        let Some(granted) = self.granted.remove(&id) else {
            self.waiting.remove_if(|i, _| *i == id);
            return;
        };
        let GrantedRun {
            endpoint,
            model,
            work,
        } = granted;
        let done = work.filter(|_| outcome == RequestOutcome::Done);
        let elapsed = done.map(|w| now.saturating_duration_since(w.granted_at));
        self.record_end(&endpoint, elapsed);
        self.update_speeds(now);
        let Some(replica) = self.replicas.get_mut(&endpoint) else {
            return;
        };
        replica.running = replica.running.saturating_sub(1);
        replica.release_tokens(work.map(|w| w.tokens));
        if let Some(adapter) = replica.adapters.get_mut(&model) {
            adapter.runs = adapter.runs.saturating_sub(1);
        }
        match outcome {
            RequestOutcome::Done => {
                replica.failures = 0;
                replica.stalls = 0;
                replica.last_completed = Some(now);
                if let Some(work) = done {
                    replica.record_run(now, &work, &self.settings);
                }
            }
            RequestOutcome::NotHeld => {
                if replica
                    .adapters
                    .get(&model)
                    .is_some_and(AdapterState::is_ready)
                {
                    replica.adapters.remove(&model);
                }
                replica.accepted_orders = None;
                replica.report_at.get_or_insert(now);
            }
            RequestOutcome::NotSent => {}
            RequestOutcome::Unreachable => {
                replica.paused_until = Some(now + self.settings.endpoint_pause);
            }
            RequestOutcome::Refused | RequestOutcome::Failed => {
                replica.failures += 1;
                if replica.failures >= FAILURE_LIMIT {
                    replica.failures = 0;
                    replica.paused_until = Some(now + self.settings.endpoint_pause);
                }
            }
        }
        self.grant_for_endpoint(now, &endpoint);
        self.send_due_orders(now, &endpoint);
    }

    /// Records that an endpoint has sent nothing for a granted request for a long time.
    ///
    /// A single such request may be a large one. Several without any completed request mean that
    /// the endpoint is unresponsive, and new requests go elsewhere for a while.
    pub fn on_stall(&mut self, now: Instant, id: PlacementId) {
        let Some(granted) = self.granted.get(&id) else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(&granted.endpoint) else {
            return;
        };
        replica.stalls += 1;
        let last_completed = replica.last_completed;
        let is_quiet = last_completed.is_none_or(|c| now.saturating_duration_since(c) > QUIET_TIME);
        if replica.stalls >= STALL_LIMIT && is_quiet {
            replica.paused_until = Some(now + self.settings.stall_pause);
        }
    }

    /// Removes the requests of a source whose connection was lost; its runs count as ended.
    pub fn on_source_lost(&mut self, now: Instant, source: SourceId) {
        self.waiting.remove_if(|id, _| id.source == source);
        let runs = self.granted.keys().filter(|id| id.source == source);
        let runs: Vec<PlacementId> = runs.copied().collect();
        for id in runs {
            self.on_request_end(now, id, RequestOutcome::Done);
        }
    }

    /// Applies the announcement of a newer version of an adapter. `since` is when it was announced;
    /// if that is not known, older versions must not serve any more.
    pub fn on_version(
        &mut self,
        now: Instant,
        model: &ModelRef,
        version: u64,
        since: Option<Instant>,
    ) {
        let announced = AnnouncedVersion { version, since };
        let versions = self.versions.entry(model.clone()).or_default();
        if !versions.add(now, announced, self.settings.version_grace) {
            return;
        }
        for replica in self.replicas.values_mut() {
            replica.remove_cached(model);
        }
        self.plan_loads(now);
    }

    /// Grants the waiting requests that the endpoint can run, the first of all adapters first.
    pub(super) fn grant_for_endpoint(&mut self, now: Instant, endpoint: &EndpointId) {
        self.waiting.advance(now);
        while self.has_free_slot(endpoint) {
            let models = self.waiting_models(endpoint);
            if !models.iter().any(|m| self.grant_next(now, m)) {
                return;
            }
        }
    }

    /// Grants requests that wait for `model`, as far as endpoints have free slots.
    pub(super) fn grant_for_model(&mut self, now: Instant, model: &ModelRef) {
        self.waiting.advance(now);
        while self.grant_next(now, model) {}
    }

    /// Grants the first request for `model` that an endpoint can run now. Returns whether there was
    /// one.
    fn grant_next(&mut self, now: Instant, model: &ModelRef) -> bool {
        let next = self.waiting.next_of(model).into_iter();
        let mut choices = next.filter_map(|(position, waiting)| {
            let endpoint = self.choose_endpoint(now, &waiting.request).ok()?;
            Some((waiting.request.account.clone(), position, endpoint))
        });
        let Some((account, position, endpoint)) = choices.next() else {
            return false;
        };
        let Some(waiting) = self.waiting.take(model, account.as_ref(), position) else {
            return false;
        };
        self.grant(now, &endpoint, waiting.id, &waiting.request, true);
        true
    }

    fn has_free_slot(&self, endpoint: &EndpointId) -> bool {
        let replica = self.replicas.get(endpoint);
        replica.is_some_and(Replica::has_free_slot)
    }

    /// Returns whether to check the waiting requests for those that are too late.
    pub(super) fn is_late_check_due(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LATE_CHECK_INTERVAL;
        self.waiting.len() <= FEW_WAITING || !self.late_checked_at.is_some_and(is_recent)
    }

    /// Refuses the waiting requests that can't be served in time; their callers may retry once the
    /// loads ahead of them are complete.
    pub(super) fn refuse_late(&mut self, now: Instant) {
        if self.stopping {
            // They are sent to the next holder.
            return;
        }
        self.late_checked_at = Some(now);
        let shortest = self.settings.min_run_time;
        let backlog = self.backlog(now);
        let loads_done_at: HashMap<&ModelRef, Instant> = backlog
            .iter()
            .enumerate()
            .map(|(position, model)| (model, self.load_done_at(now, position)))
            .collect();
        let weights_done_at: HashMap<Arc<str>, Instant> = backlog
            .iter()
            .filter_map(|m| Some((m.model.clone(), self.weights_ready_at(now, &m.model)?)))
            .collect();
        let late = self.waiting.remove_if(|_, request| {
            let load_at = loads_done_at.get(&request.model).copied().unwrap_or(now);
            let start_at = weights_done_at
                .get(&request.model.model)
                .map_or(load_at, |at| load_at.max(*at));
            start_at + shortest > request.deadline
        });
        let retry_after = self.load_done_at(now, backlog.len()) - now;
        for waiting in late {
            self.refuse(waiting.id, RefuseReason::Deadline, retry_after);
        }
        self.refuse_hopeless(now);
        self.refuse_beyond_limits(now);
    }

    /// Refuses the waiting requests that the endpoints' rate limits leave no room for.
    fn refuse_beyond_limits(&mut self, now: Instant) {
        if self.stopping || self.limiters.is_empty() {
            return;
        }
        for (id, retry_after) in self.requests_beyond_limits(now) {
            self.waiting.remove_if(|i, _| *i == id);
            self.refuse(id, RefuseReason::Limited, retry_after);
        }
    }

    pub(super) fn refuse(
        &mut self,
        request: PlacementId,
        reason: RefuseReason,
        retry_after: Duration,
    ) {
        self.outputs.push(Output::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    /// Returns whether no newer version than this one was announced.
    pub(super) fn is_current(&self, model: &ModelRef, version: u64) -> bool {
        let newest = self.versions.get(model).and_then(AnnouncedVersions::newest);
        newest.is_none_or(|n| version >= n)
    }

    /// Returns whether copies of this version may serve: the newest may, and older ones for a while
    /// after their successor was announced.
    pub(super) fn may_serve(&self, now: Instant, model: &ModelRef, version: u64) -> bool {
        let grace = self.settings.version_grace;
        let versions = self.versions.get(model);
        versions.is_none_or(|v| v.may_serve(now, version, grace))
    }

    /// Chooses an endpoint that can run the request now.
    fn choose_endpoint(
        &self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Result<EndpointId, Unavailable> {
        let mut best: Option<((bool, bool), f64, &EndpointId)> = None;
        let mut unavailable = Unavailable::Busy;
        let own_ms = self.settings.min_run_time.as_secs_f64() * 1000.0;
        for (id, replica) in &self.replicas {
            if !replica.endpoint.is_ready()
                || !replica.has_free_slot()
                || replica.endpoint.service != request.service
                || request.exclude.contains(id)
            {
                continue;
            }
            let current = if request.model.adapter.is_none() {
                replica.has_model(&request.model.model).then_some(true)
            } else {
                replica
                    .adapters
                    .get(&request.model)
                    .filter(|a| a.is_ready() && self.may_serve(now, &request.model, a.version))
                    .map(|a| self.is_current(&request.model, a.version))
            };
            let Some(current) = current else {
                continue;
            };
            if !self.has_room(now, request, replica) {
                continue;
            }
            if !self.limiters.has_permit(now, id) {
                unavailable = Unavailable::Limited;
                continue;
            }
            // If every copy is on a paused endpoint, trying one is better than waiting.
            let rank = (replica.is_paused(now) || replica.is_faulty(now), !current);
            let own = f64::from(request.tokens.prompt) / self.settings.prompt_speed + own_ms;
            let delay = replica.delay_ms(now) + replica.slowness_ms(now, own);
            if best.is_none_or(|(c, d, _)| rank < c || rank == c && delay < d) {
                best = Some((rank, delay, id));
            }
        }
        best.map(|(.., id)| id.clone()).ok_or(unavailable)
    }

    /// Returns whether some endpoint could run the request later.
    fn can_ever_run(&self, request: &PlacementRequest) -> bool {
        self.replicas.values().any(|r| {
            r.endpoint.is_ready()
                && r.endpoint.service == request.service
                && !request.exclude.contains(&r.endpoint.id)
                && r.token_capacity.is_none_or(|c| request.tokens.prompt <= c)
                && (r.has_model(&request.model.model)
                    || r.models.is_empty() && self.supports(&request.service, &request.model.model))
        })
    }

    fn grant(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        id: PlacementId,
        request: &PlacementRequest,
        has_waited: bool,
    ) {
        self.waiting.charge(request);
        let speed = self.settings.prompt_speed;
        let work = self.replicas.get_mut(endpoint).map(|replica| {
            replica.add_prompt(now, request.tokens.prompt, speed);
            replica.work_of(now, request, speed)
        });
        self.add_run(endpoint, id, &request.model, work);
        self.add_prompt(now, endpoint, request);
        let permit = self.limiters.acquire(now, endpoint, Duration::ZERO);
        debug_assert!(permit.is_ok(), "only endpoints with a permit are chosen");
        self.outputs.push(Output::Grant {
            request: id,
            endpoint: endpoint.clone(),
            has_waited,
        });
    }

    /// Counts a run on its endpoint and adapter, which is not evicted until the run ends.
    fn add_run(
        &mut self,
        endpoint: &EndpointId,
        id: PlacementId,
        model: &ModelRef,
        work: Option<RunWork>,
    ) {
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        replica.running += 1;
        if let Some(adapter) = replica.adapters.get_mut(model) {
            adapter.runs += 1;
        }
        let granted = GrantedRun {
            endpoint: endpoint.clone(),
            model: model.clone(),
            work,
        };
        let service = replica.endpoint.service.clone();
        if self.granted.insert(id, granted).is_none() {
            self.rates.entry(service).or_default().on_grant();
        }
    }

    fn record_popularity(&mut self, now: Instant, model: &ModelRef) {
        let time_constant = self.settings.popularity_decay;
        if self.popularity.len() >= PRUNE_SIZE {
            self.popularity
                .retain(|_, d| d.value(now, time_constant) > NEGLIGIBLE_POPULARITY);
        }
        if let Some(decayed) = self.popularity.get_mut(model) {
            decayed.add(now, time_constant);
        } else {
            let mut decayed = DecayingCount::new(now);
            decayed.add(now, time_constant);
            self.popularity.insert(model.clone(), decayed);
        }
    }
}
