//! [`Replica`]: the state of one endpoint as its placer knows it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Endpoint, ModelRef};

use crate::{Action, OrderNumber};

/// Delay of a new request's first event by each running request, in ms: its share of about five
/// steps.
const RUN_DELAY_MS: f64 = 1.0;

/// State of an adapter, or of a model's weights, at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A load is queued but not sent.
    Planned,
    /// The endpoint is loading it.
    Loading {
        /// When the load was accepted.
        since: Instant,
        /// When to poll the load next; `None` while a poll is in flight.
        poll: Option<Instant>,
    },
    /// It can serve requests.
    Ready,
    /// An unload is queued but not sent.
    Leaving,
    /// The endpoint unloads it once runs that this placer doesn't know of have ended.
    Unloading,
    /// An order concerning it got no response.
    Doubtful,
}

impl Phase {
    /// Returns when to poll the load next.
    pub(crate) fn poll(self) -> Option<Instant> {
        match self {
            Self::Loading { poll, .. } => poll,
            _ => None,
        }
    }
}

/// What is known about the time that an adapter's load takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Timing {
    /// Its start was not observed.
    #[default]
    Unknown,
    /// Its start is known; it may be a load from the endpoint's memory, and is polled early.
    Early,
    /// Its start is known.
    Started,
    /// Its start is known, and a poll found it incomplete.
    Awaited,
}

/// State of an adapter at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) phase: Phase,
    pub(crate) version: u64,
    /// Granted runs that have not ended.
    pub(crate) runs: u32,
    /// Whether the endpoint has a copy in memory, so that the load needs no fetch.
    pub(crate) recent: bool,
    /// The version that this one replaces.
    pub(crate) former: Option<u64>,
    /// Whether the last poll of its load got no response.
    pub(crate) missed: bool,
    pub(crate) timing: Timing,
}

impl Held {
    pub(crate) fn ready(version: u64) -> Self {
        Self {
            phase: Phase::Ready,
            version,
            runs: 0,
            recent: false,
            former: None,
            missed: false,
            timing: Timing::Unknown,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the number of adapter slots that it takes, or may take: a version that replaces
    /// another one waits for that one's runs, and both take a slot until then.
    fn places(&self) -> usize {
        let own = usize::from(self.phase != Phase::Planned);
        own + usize::from(self.former.is_some())
    }

    /// Marks it as ready and the version that it replaced as gone.
    pub(crate) fn set_ready(&mut self) {
        self.phase = Phase::Ready;
        self.former = None;
    }

    /// Returns whether its load is expected to complete in the usual time, as its last poll was
    /// answered.
    pub(crate) fn is_coming(&self) -> bool {
        self.in_transit() && !self.missed
    }

    /// Returns whether it is being loaded, or soon will be.
    pub(crate) fn in_transit(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::Loading { .. } | Phase::Doubtful
        )
    }
}

/// An order that waits to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Todo {
    pub(crate) action: Action,
    pub(crate) model: ModelRef,
    /// Earlier attempts that got no response.
    pub(crate) sent: u8,
}

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub(crate) number: OrderNumber,
    pub(crate) action: Action,
    pub(crate) model: ModelRef,
    /// Earlier attempts that got no response.
    pub(crate) sent: u8,
}

/// A poll of a load in progress.
#[derive(Clone, Debug)]
pub(crate) struct Poll {
    pub(crate) model: ModelRef,
    /// Number of accepted orders that the poll named.
    pub(crate) expect: u64,
}

/// A load of a model's weights.
#[derive(Clone, Debug)]
pub(crate) struct WeightsLoad {
    pub(crate) model: Arc<str>,
    pub(crate) phase: Phase,
}

/// How much is known about the adapters in an endpoint's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Memory {
    /// All of them were loaded by this placer.
    Known,
    /// Some may have been loaded by an earlier holder.
    Inherited,
}

/// State of one endpoint as its placer knows it.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Number of adapters that it can hold.
    pub(crate) places: usize,
    /// Models whose weights it holds.
    pub(crate) models: Vec<Arc<str>>,
    /// The load of a model's weights that is queued or in progress.
    pub(crate) weights: Option<WeightsLoad>,
    /// Whether its last report showed a load of weights in progress.
    pub(crate) busy: bool,
    pub(crate) held: HashMap<ModelRef, Held>,
    /// Number of further versions of held adapters in its last report.
    pub(crate) doubled: usize,
    /// Granted runs that have not ended.
    pub(crate) running: u32,
    /// Estimated end of the prefill of the prompts that were sent there.
    pub(crate) prompts_read: Option<Instant>,
    /// Number of orders that it has accepted; `None` until a report tells it.
    pub(crate) orders: Option<u64>,
    pub(crate) outstanding: Option<Outstanding>,
    /// Polls in flight, by the number of their order.
    pub(crate) polls: HashMap<OrderNumber, Poll>,
    pub(crate) todo: VecDeque<Todo>,
    /// Lower bound of the accepted orders while their number is unknown.
    pub(crate) at_least: u64,
    /// When the last order was accepted or got no response.
    pub(crate) ordered: Option<Instant>,
    pub(crate) reporting: bool,
    /// Whether its last report could not be fetched.
    pub(crate) mute: bool,
    /// Earliest time to fetch its next report.
    pub(crate) report_at: Option<Instant>,
    pub(crate) paused: Option<Instant>,
    /// Consecutive failed requests.
    pub(crate) failures: u32,
    /// Stalled requests since the last completed one.
    pub(crate) stalls: u32,
    /// When it last completed a request.
    pub(crate) completed: Option<Instant>,
    recent: VecDeque<ModelRef>,
    memory: Memory,
}

impl Replica {
    /// Creates the state from a registry entry; orders wait for the first report, which is due at
    /// `report`.
    pub(crate) fn new(report: Instant, endpoint: Arc<Endpoint>, places: usize) -> Self {
        // An endpoint that has just started has nothing in memory.
        let memory = if endpoint.models.is_empty() {
            Memory::Known
        } else {
            Memory::Inherited
        };
        let mut held = HashMap::new();
        for model in &endpoint.models {
            for resident in &model.adapters {
                let name = ModelRef {
                    model: model.model.clone(),
                    adapter: Some(resident.adapter.clone()),
                };
                held.insert(name, Held::ready(resident.version));
            }
        }
        Self {
            models: endpoint.models.iter().map(|m| m.model.clone()).collect(),
            weights: None,
            busy: false,
            endpoint,
            places,
            held,
            doubled: 0,
            running: 0,
            prompts_read: None,
            orders: None,
            outstanding: None,
            polls: HashMap::new(),
            todo: VecDeque::new(),
            at_least: 0,
            ordered: None,
            reporting: false,
            mute: false,
            report_at: Some(report),
            paused: None,
            failures: 0,
            stalls: 0,
            completed: None,
            recent: VecDeque::new(),
            memory,
        }
    }

    /// Returns whether new work may go there.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.endpoint.is_ready() && !self.is_paused(now)
    }

    /// Returns whether it is paused after recent failures.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Returns whether it holds the weights of `model`.
    pub(crate) fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| **m == *model)
    }

    /// Returns the phase of the adapter or weights that an order names.
    pub(crate) fn phase(&self, model: &ModelRef) -> Option<Phase> {
        if model.adapter.is_some() {
            return self.held.get(model).map(|h| h.phase);
        }
        let weights = self.weights.as_ref()?;
        (weights.model == model.model).then_some(weights.phase)
    }

    /// Returns whether it can run another request now.
    pub(crate) fn has_slot(&self) -> bool {
        self.running < self.endpoint.slots
    }

    /// Estimates how long a new request waits there for its first event, in ms: prompts are
    /// processed one after the other, and every run lengthens the steps in between.
    pub(crate) fn delay_ms(&self, now: Instant) -> f64 {
        let unread = self
            .prompts_read
            .map(|at| at.saturating_duration_since(now));
        let unread = unread.unwrap_or_default().as_secs_f64() * 1000.0;
        unread + f64::from(self.running) * RUN_DELAY_MS
    }

    /// Accounts for a prompt that was sent there; `speed` is in tokens per ms.
    pub(crate) fn add_prompt(&mut self, now: Instant, tokens: u32, speed: f64) {
        let from = self.prompts_read.map_or(now, |at| at.max(now));
        let read = Duration::from_secs_f64(f64::from(tokens) / speed / 1000.0);
        self.prompts_read = Some(from + read);
    }

    /// Returns the number of adapter slots that are taken, or may be.
    pub(crate) fn occupied(&self) -> usize {
        let held: usize = self.held.values().map(Held::places).sum();
        held + self.doubled
    }

    /// Returns whether a queued or running unload will free a slot.
    pub(crate) fn frees_place(&self) -> bool {
        self.held
            .values()
            .any(|h| matches!(h.phase, Phase::Leaving | Phase::Unloading))
    }

    /// Returns the number of adapter slots that are free once all queued unloads and loads are
    /// done.
    pub(crate) fn spare(&self) -> usize {
        let kept = self
            .held
            .values()
            .filter(|h| !matches!(h.phase, Phase::Leaving | Phase::Unloading))
            .map(|h| 1 + usize::from(h.former.is_some()));
        self.places
            .saturating_sub(kept.sum::<usize>() + self.doubled)
    }

    /// Returns the number of adapters that are being loaded.
    pub(crate) fn transit(&self) -> usize {
        self.held.values().filter(|h| h.in_transit()).count()
    }

    /// Returns whether it has a copy of `model` in memory.
    pub(crate) fn remembers(&self, model: &ModelRef) -> bool {
        self.recent.contains(model)
    }

    /// Records a copy of `model` in its memory, and drops the oldest one beyond `limit`.
    pub(crate) fn remember(&mut self, model: &ModelRef, limit: usize) {
        self.recent.retain(|m| m != model);
        self.recent.push_back(model.clone());
        if self.recent.len() > limit {
            self.recent.pop_front();
            self.memory = Memory::Known;
        }
    }

    /// Returns whether its memory may hold adapters that are not known here.
    pub(crate) fn has_past(&self) -> bool {
        self.memory == Memory::Inherited
    }

    /// Drops the copy of a version that is no longer the newest.
    pub(crate) fn forget(&mut self, model: &ModelRef) {
        self.recent.retain(|m| m != model);
    }
}
