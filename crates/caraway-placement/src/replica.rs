//! [`Replica`]: the state of one endpoint as its placer knows it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Endpoint, ModelRef, TokenCount};

use crate::{
    Action, OrderNumber, PlacementRequest, PlacerSettings,
    engine_speed::EngineSpeed,
    prompt_load::{PromptLoad, held_tokens},
    run_work::RunWork,
};

/// Delay of a new request's first event by each running request, in ms: the time by which it
/// lengthens about five decoding steps of the engine.
const RUN_DELAY_MS: f64 = 1.0;

/// State of an adapter, or of a model's weights, at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A load is queued but not sent.
    LoadQueued,
    /// The endpoint is loading it.
    Loading {
        /// When the load was accepted.
        since: Instant,
        /// When to poll the load next; `None` while a poll is in flight.
        poll_at: Option<Instant>,
    },
    /// It can serve requests.
    Ready,
    /// An unload is queued but not sent.
    UnloadQueued,
    /// The endpoint unloads it once runs that this placer doesn't know of have ended.
    Unloading,
    /// An order concerning it got no response.
    Uncertain,
}

impl Phase {
    /// Returns when to poll the load next.
    pub(crate) fn poll_at(self) -> Option<Instant> {
        match self {
            Self::Loading { poll_at, .. } => poll_at,
            _ => None,
        }
    }
}

/// What is known about the time that an adapter's load takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LoadTiming {
    /// Its start was not observed.
    #[default]
    Unknown,
    /// Its start is known; it may be a load from the endpoint's memory, and is polled early.
    MaybeCached,
    /// Its start is known.
    Started,
    /// Its start is known, and a poll found it incomplete.
    Incomplete,
}

/// State of an adapter at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdapterState {
    pub(crate) phase: Phase,
    pub(crate) version: u64,
    /// Granted runs that have not ended.
    pub(crate) runs: u32,
    /// Whether the endpoint has a copy in memory, so that the load needs no fetch.
    pub(crate) cached: bool,
    /// The version that this one replaces.
    pub(crate) replaces: Option<u64>,
    /// Whether the last poll of its load got no response.
    pub(crate) poll_failed: bool,
    pub(crate) timing: LoadTiming,
}

impl AdapterState {
    pub(crate) fn ready(version: u64) -> Self {
        Self {
            phase: Phase::Ready,
            version,
            runs: 0,
            cached: false,
            replaces: None,
            poll_failed: false,
            timing: LoadTiming::Unknown,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the number of adapter slots that it takes, or may take: a version that replaces
    /// another one waits for that one's runs, and both take a slot until then.
    fn slots(&self) -> usize {
        let own = usize::from(self.phase != Phase::LoadQueued);
        own + usize::from(self.replaces.is_some())
    }

    /// Marks it as ready and the version that it replaced as gone.
    pub(crate) fn set_ready(&mut self) {
        self.phase = Phase::Ready;
        self.replaces = None;
    }

    /// Returns whether its load is expected to complete in the usual time, as its last poll was
    /// answered.
    pub(crate) fn is_loading_normally(&self) -> bool {
        self.is_loading() && !self.poll_failed
    }

    /// Returns whether it is being loaded, or soon will be.
    pub(crate) fn is_loading(&self) -> bool {
        matches!(
            self.phase,
            Phase::LoadQueued | Phase::Loading { .. } | Phase::Uncertain
        )
    }
}

/// An order that waits to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueuedOrder {
    pub(crate) action: Action,
    pub(crate) model: ModelRef,
    /// Earlier attempts that got no response.
    pub(crate) retries: u8,
}

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct InFlightOrder {
    pub(crate) number: OrderNumber,
    pub(crate) action: Action,
    pub(crate) model: ModelRef,
    /// Earlier attempts that got no response.
    pub(crate) retries: u8,
}

/// A poll of a load in progress.
#[derive(Clone, Debug)]
pub(crate) struct LoadPoll {
    pub(crate) model: ModelRef,
    /// Number of accepted orders that the poll named.
    pub(crate) expected_orders: u64,
}

/// A load of a model's weights.
#[derive(Clone, Debug)]
pub(crate) struct WeightsLoad {
    pub(crate) model: Arc<str>,
    pub(crate) phase: Phase,
}

/// How much is known about the adapters in an endpoint's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CacheKnowledge {
    /// All of them were loaded by this placer.
    Complete,
    /// Some may have been loaded by an earlier holder.
    Partial,
}

/// State of one endpoint as its placer knows it.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Number of adapters that it can hold.
    pub(crate) adapter_slots: usize,
    /// Models whose weights it holds.
    pub(crate) models: Vec<Arc<str>>,
    /// The load of a model's weights that is queued or in progress.
    pub(crate) weights_load: Option<WeightsLoad>,
    /// Whether its last report showed a load of weights in progress.
    pub(crate) loading_weights: bool,
    pub(crate) adapters: HashMap<ModelRef, AdapterState>,
    /// Number of adapter slots taken in its last report by second versions of adapters, without the
    /// versions in [`AdapterState::replaces`].
    pub(crate) extra_versions: usize,
    /// Granted runs that have not ended.
    pub(crate) running: u32,
    /// Estimated end of the prefill of the prompts that were sent there.
    pub(crate) prefill_end: Option<Instant>,
    /// Tokens that fit in its memory, if that is known.
    pub(crate) token_capacity: Option<u32>,
    /// Prompts that it has to read, and tokens that it holds.
    pub(crate) prompts: PromptLoad,
    /// Prompt tokens that were sent there.
    sent_tokens: f64,
    /// Its learned speed.
    pub(crate) speed: EngineSpeed,
    /// Number of orders that it has accepted; `None` until a report tells it.
    pub(crate) accepted_orders: Option<u64>,
    /// The order whose outcome is pending; polls are not counted.
    pub(crate) in_flight: Option<InFlightOrder>,
    /// Polls in flight, by the number of their order.
    pub(crate) polls: HashMap<OrderNumber, LoadPoll>,
    /// Orders that wait to be sent.
    pub(crate) queue: VecDeque<QueuedOrder>,
    /// Lower bound of the accepted orders while their number is unknown.
    pub(crate) min_accepted: u64,
    /// When the last order was accepted or got no response.
    pub(crate) last_ordered: Option<Instant>,
    pub(crate) report_pending: bool,
    /// Whether its last report could not be fetched.
    pub(crate) report_failed: bool,
    /// Earliest time to fetch its next report.
    pub(crate) report_at: Option<Instant>,
    /// Until when it gets no orders but polls, and new requests only if no other endpoint can run
    /// them.
    pub(crate) paused_until: Option<Instant>,
    /// Consecutive failed requests.
    pub(crate) failures: u32,
    /// Stalled requests since the last completed one.
    pub(crate) stalls: u32,
    /// When it last completed a request.
    pub(crate) last_completed: Option<Instant>,
    /// Adapters that it keeps in memory, the oldest first.
    cached: VecDeque<ModelRef>,
    cache_knowledge: CacheKnowledge,
}

impl Replica {
    /// Creates the state from a registry entry; orders wait for the first report, which is due at
    /// `report_at`.
    pub(crate) fn new(report_at: Instant, endpoint: Arc<Endpoint>, adapter_slots: usize) -> Self {
        // An endpoint that has just started has nothing in memory.
        let cache_knowledge = if endpoint.models.is_empty() {
            CacheKnowledge::Complete
        } else {
            CacheKnowledge::Partial
        };
        let mut adapters = HashMap::new();
        for model in &endpoint.models {
            for resident in &model.adapters {
                let name = ModelRef {
                    model: model.model.clone(),
                    adapter: Some(resident.adapter.clone()),
                };
                let held = adapters
                    .entry(name)
                    .or_insert(AdapterState::ready(resident.version));
                held.version = held.version.max(resident.version);
            }
        }
        Self {
            models: endpoint.models.iter().map(|m| m.model.clone()).collect(),
            weights_load: None,
            loading_weights: false,
            endpoint,
            adapter_slots,
            adapters,
            extra_versions: 0,
            running: 0,
            prefill_end: None,
            token_capacity: None,
            prompts: PromptLoad::default(),
            sent_tokens: 0.0,
            speed: EngineSpeed::default(),
            accepted_orders: None,
            in_flight: None,
            polls: HashMap::new(),
            queue: VecDeque::new(),
            min_accepted: 0,
            last_ordered: None,
            report_pending: false,
            report_failed: false,
            report_at: Some(report_at),
            paused_until: None,
            failures: 0,
            stalls: 0,
            last_completed: None,
            cached: VecDeque::new(),
            cache_knowledge,
        }
    }

    /// Returns whether new work may go there.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.endpoint.is_ready() && !self.is_paused(now)
    }

    /// Returns whether it is paused after recent failures.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether it holds the weights of `model`.
    pub(crate) fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| **m == *model)
    }

    /// Returns the phase of the adapter or weights that an order names.
    pub(crate) fn phase(&self, model: &ModelRef) -> Option<Phase> {
        if model.adapter.is_some() {
            return self.adapters.get(model).map(|a| a.phase);
        }
        let weights = self.weights_load.as_ref()?;
        (weights.model == model.model).then_some(weights.phase)
    }

    /// Returns whether it can run another request now.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.running < self.endpoint.slots
    }

    /// Estimates how long a new request waits there for its first event, in ms: prompts are
    /// processed one after the other, and every run lengthens the steps in between.
    pub(crate) fn delay_ms(&self, now: Instant) -> f64 {
        let prefill = self.prefill_end.map(|at| at.saturating_duration_since(now));
        let prefill = prefill.unwrap_or_default().as_secs_f64() * 1000.0;
        prefill + f64::from(self.running) * RUN_DELAY_MS
    }

    /// Returns by how much a new request takes longer there than at an endpoint of usual speed, in
    /// ms, if it takes `own` ms there without others; exactly 0 at an endpoint of usual speed.
    pub(crate) fn slowness_ms(&self, now: Instant, own: f64) -> f64 {
        if self.is_due_for_measurement(now) {
            return 0.0;
        }
        let slowness = 1.0 / self.speed.relative() - 1.0;
        slowness * (own + f64::from(self.running) * RUN_DELAY_MS)
    }

    /// Returns whether it is too slow to be of use.
    pub(crate) fn is_faulty(&self, now: Instant) -> bool {
        self.speed.is_faulty() && !self.is_due_for_measurement(now)
    }

    /// Returns whether it gets a request to find out whether it is still slow.
    fn is_due_for_measurement(&self, now: Instant) -> bool {
        self.running == 0 && self.speed.is_stale(now)
    }

    /// Accounts for a prompt that was sent there; `speed` is in tokens per ms.
    pub(crate) fn add_prompt(&mut self, now: Instant, tokens: u32, speed: f64) {
        let from = self.prefill_end.map_or(now, |at| at.max(now));
        let speed = speed * self.speed.relative();
        let prefill_time = Duration::from_secs_f64(f64::from(tokens) / speed / 1000.0);
        self.prefill_end = Some(from + prefill_time);
        self.sent_tokens += f64::from(tokens);
    }

    /// Returns the estimated number of prompt tokens that were sent there and not read yet; `speed`
    /// is in tokens per ms.
    fn unread_tokens(&self, now: Instant, speed: f64) -> f64 {
        let prefill = self.prefill_end.map(|at| at.saturating_duration_since(now));
        let prefill_ms = prefill.unwrap_or_default().as_secs_f64() * 1000.0;
        prefill_ms * speed * self.speed.relative()
    }

    /// Returns what it does for a request whose prompt was just sent there.
    pub(crate) fn work_of(&self, now: Instant, request: &PlacementRequest, speed: f64) -> RunWork {
        let unread = self.unread_tokens(now, speed);
        RunWork {
            granted_at: now,
            deadline: request.deadline,
            tokens: request.tokens,
            read_before: self.sent_tokens - unread,
            read_first: unread,
        }
    }

    /// Accounts for the end of a run with these tokens, if they are known.
    pub(crate) fn release_tokens(&mut self, tokens: Option<TokenCount>) {
        if let Some(tokens) = tokens {
            let held = held_tokens(tokens, self.token_capacity, self.endpoint.slots);
            self.prompts.release(held);
        }
        if self.running == 0 {
            // The capacity may have changed since the tokens were counted.
            self.prompts.release(u64::MAX);
        }
    }

    /// Learns its speed from a run that has ended.
    pub(crate) fn record_run(&mut self, now: Instant, work: &RunWork, settings: &PlacerSettings) {
        let read = self.sent_tokens - self.unread_tokens(now, settings.prompt_speed);
        let Some(expected) = work.expected(settings, read) else {
            return;
        };
        let elapsed = now.saturating_duration_since(work.granted_at);
        if now < work.deadline {
            self.speed.record(now, expected, elapsed);
        } else {
            self.speed.record_unfinished(now, expected, elapsed);
        }
    }

    /// Learns its speed from a run in progress.
    pub(crate) fn record_progress(
        &mut self,
        now: Instant,
        work: &RunWork,
        settings: &PlacerSettings,
    ) {
        let read = self.sent_tokens - self.unread_tokens(now, settings.prompt_speed);
        if let Some(expected) = work.expected(settings, read) {
            let elapsed = now.saturating_duration_since(work.granted_at);
            self.speed.record_unfinished(now, expected, elapsed);
        }
    }

    /// Returns the number of adapter slots that are taken, or may be.
    pub(crate) fn used_slots(&self) -> usize {
        let slots: usize = self.adapters.values().map(AdapterState::slots).sum();
        slots + self.extra_versions
    }

    /// Returns whether a queued or running unload will free a slot.
    pub(crate) fn will_free_slot(&self) -> bool {
        self.adapters
            .values()
            .any(|a| matches!(a.phase, Phase::UnloadQueued | Phase::Unloading))
    }

    /// Returns the number of adapter slots that are free once all queued unloads and loads are
    /// done.
    pub(crate) fn free_slots(&self) -> usize {
        let kept = self
            .adapters
            .values()
            .filter(|a| !matches!(a.phase, Phase::UnloadQueued | Phase::Unloading))
            .map(|a| 1 + usize::from(a.replaces.is_some()));
        self.adapter_slots
            .saturating_sub(kept.sum::<usize>() + self.extra_versions)
    }

    /// Returns the number of adapters that are being loaded.
    pub(crate) fn loading_count(&self) -> usize {
        self.adapters.values().filter(|a| a.is_loading()).count()
    }

    /// Returns whether it has a copy of `model` in memory.
    pub(crate) fn has_cached(&self, model: &ModelRef) -> bool {
        self.cached.contains(model)
    }

    /// Records a copy of `model` in its memory, and drops the oldest one beyond `limit`.
    pub(crate) fn add_cached(&mut self, model: &ModelRef, limit: usize) {
        self.cached.retain(|m| m != model);
        self.cached.push_back(model.clone());
        if self.cached.len() > limit {
            self.cached.pop_front();
            self.cache_knowledge = CacheKnowledge::Complete;
        }
    }

    /// Returns whether its memory may hold adapters that are not known here.
    pub(crate) fn may_hold_unknown_copies(&self) -> bool {
        self.cache_knowledge == CacheKnowledge::Partial
    }

    /// Drops the copy of a version that is no longer the newest.
    pub(crate) fn remove_cached(&mut self, model: &ModelRef) {
        self.cached.retain(|m| m != model);
    }
}
