//! [`Replica`]: what a placer believes about one endpoint.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Endpoint, ModelRef};

use crate::{Action, OrderNumber};

/// Time by which each run delays a new request's first event, in ms: its share of some five steps.
const RUN_DELAY_MS: f64 = 1.0;

/// How far an adapter is on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A load is planned, but not sent.
    Planned,
    /// The endpoint carries out a load.
    Loading {
        /// When it was accepted.
        since: Instant,
        /// When to ask next whether it is complete; `None` while an answer is awaited.
        poll: Option<Instant>,
    },
    /// It serves.
    Ready,
    /// An unload is planned, but not sent.
    Leaving,
    /// The endpoint unloads it once runs that this placer doesn't know of have ended.
    Unloading,
    /// An order about it got no answer.
    Doubtful,
}

impl Phase {
    /// Returns when to ask next whether a load is complete.
    pub(crate) fn poll(self) -> Option<Instant> {
        match self {
            Self::Loading { poll, .. } => poll,
            _ => None,
        }
    }
}

/// What is known of the time that an adapter's load takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Timing {
    /// Its start was not seen.
    #[default]
    Unknown,
    /// Its start; it may be a load from the endpoint's memory, and is asked for early.
    Early,
    /// Its start.
    Started,
    /// Its start, and that a question found it still on its way.
    Awaited,
}

/// An adapter on an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) phase: Phase,
    pub(crate) version: u64,
    /// Granted runs that have not ended.
    pub(crate) runs: u32,
    /// Whether the endpoint held it recently, so that the load needs no fetch.
    pub(crate) recent: bool,
    /// The version that a planned load replaces in its place.
    pub(crate) former: Option<u64>,
    /// Whether the last question about its load got no answer.
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

    /// Returns the places that it takes at the endpoint, or may: a version that replaces another
    /// one waits for that one's runs, and both take a place until then.
    fn places(&self) -> usize {
        let own = usize::from(self.phase != Phase::Planned);
        own + usize::from(self.former.is_some())
    }

    /// Notes that it serves, and that what it replaced is gone.
    pub(crate) fn set_ready(&mut self) {
        self.phase = Phase::Ready;
        self.former = None;
    }

    /// Tells whether it will be there after the usual time, as far as the endpoint says.
    pub(crate) fn is_coming(&self) -> bool {
        self.in_transit() && !self.missed
    }

    /// Tells whether it is on its way to the endpoint, or soon will be.
    pub(crate) fn in_transit(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::Loading { .. } | Phase::Doubtful
        )
    }
}

/// An order that waits for its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Todo {
    pub(crate) action: Action,
    pub(crate) model: ModelRef,
    /// Sendings without an answer so far.
    pub(crate) sent: u8,
}

/// An order whose end is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub(crate) number: OrderNumber,
    pub(crate) action: Action,
    pub(crate) model: ModelRef,
    /// Earlier sendings without an answer.
    pub(crate) sent: u8,
}

/// A question whether a load is complete.
#[derive(Clone, Debug)]
pub(crate) struct Poll {
    pub(crate) model: ModelRef,
    /// Accepted orders that it expected.
    pub(crate) expect: u64,
}

/// A load of a model's weights.
#[derive(Clone, Debug)]
pub(crate) struct WeightsLoad {
    pub(crate) model: Arc<str>,
    pub(crate) phase: Phase,
}

/// Whose loads an endpoint remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Memory {
    /// Only this placer's.
    Known,
    /// Those of an earlier holder, too.
    Inherited,
}

/// What a placer believes about one endpoint.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Adapters that it can hold.
    pub(crate) places: usize,
    /// Models whose weights it holds.
    pub(crate) models: Vec<Arc<str>>,
    /// The model whose weights it loads.
    pub(crate) weights: Option<WeightsLoad>,
    /// Whether its last report had it carry out a load of weights.
    pub(crate) busy: bool,
    pub(crate) held: HashMap<ModelRef, Held>,
    /// Further versions of held adapters that it listed in its last report.
    pub(crate) doubled: usize,
    /// Granted runs that have not ended.
    pub(crate) running: u32,
    /// When the prompts that were sent there are read, by estimate.
    pub(crate) prompts_read: Option<Instant>,
    /// Orders that it has accepted; `None` until a report says it.
    pub(crate) orders: Option<u64>,
    pub(crate) outstanding: Option<Outstanding>,
    /// Questions whether a load is complete, by the number of the order that asks.
    pub(crate) polls: HashMap<OrderNumber, Poll>,
    pub(crate) todo: VecDeque<Todo>,
    /// Orders that it had accepted at least, when that became uncertain.
    pub(crate) at_least: u64,
    /// When the last order was accepted or got no answer.
    pub(crate) ordered: Option<Instant>,
    pub(crate) reporting: bool,
    /// Whether it gave no report when it was asked last.
    pub(crate) mute: bool,
    /// When to ask for a report, at the earliest.
    pub(crate) report_at: Option<Instant>,
    pub(crate) paused: Option<Instant>,
    /// Requests in a row that it failed.
    pub(crate) failures: u32,
    /// Requests without a sign of life since it last completed one.
    pub(crate) stalls: u32,
    /// When it last completed a request.
    pub(crate) completed: Option<Instant>,
    recent: VecDeque<ModelRef>,
    memory: Memory,
}

impl Replica {
    /// Takes what the registry says it holds; orders wait for its first report, which is due at
    /// `report`.
    pub(crate) fn new(report: Instant, endpoint: Arc<Endpoint>, places: usize) -> Self {
        // One that has just started holds nothing yet.
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

    /// Tells whether new work may go there.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.endpoint.is_ready() && !self.is_paused(now)
    }

    /// Tells whether it was in trouble just now.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Tells whether it holds the weights of `model`.
    pub(crate) fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| **m == *model)
    }

    /// Returns how far what an order names is on this endpoint.
    pub(crate) fn phase(&self, model: &ModelRef) -> Option<Phase> {
        if model.adapter.is_some() {
            return self.held.get(model).map(|h| h.phase);
        }
        let weights = self.weights.as_ref()?;
        (weights.model == model.model).then_some(weights.phase)
    }

    /// Tells whether another request can run at once.
    pub(crate) fn has_slot(&self) -> bool {
        self.running < self.endpoint.slots
    }

    /// Estimates how long a new request waits there for its first event, in ms: prompts are read
    /// one after the other, and every run lengthens the steps between.
    pub(crate) fn delay_ms(&self, now: Instant) -> f64 {
        let unread = self
            .prompts_read
            .map(|at| at.saturating_duration_since(now));
        let unread = unread.unwrap_or_default().as_secs_f64() * 1000.0;
        unread + f64::from(self.running) * RUN_DELAY_MS
    }

    /// Notes that a prompt of so many tokens was sent there.
    pub(crate) fn add_prompt(&mut self, now: Instant, tokens: u32, speed: f64) {
        let from = self.prompts_read.map_or(now, |at| at.max(now));
        let read = Duration::from_secs_f64(f64::from(tokens) / speed / 1000.0);
        self.prompts_read = Some(from + read);
    }

    /// Returns the places that are taken at the endpoint, or may be.
    pub(crate) fn occupied(&self) -> usize {
        let held: usize = self.held.values().map(Held::places).sum();
        held + self.doubled
    }

    /// Tells whether an order under way will free a place.
    pub(crate) fn frees_place(&self) -> bool {
        self.held
            .values()
            .any(|h| matches!(h.phase, Phase::Leaving | Phase::Unloading))
    }

    /// Returns the places that planned loads leave free, not counting those that planned unloads
    /// free.
    pub(crate) fn spare(&self) -> usize {
        let kept = self
            .held
            .values()
            .filter(|h| !matches!(h.phase, Phase::Leaving | Phase::Unloading))
            .map(|h| 1 + usize::from(h.former.is_some()));
        self.places
            .saturating_sub(kept.sum::<usize>() + self.doubled)
    }

    /// Returns the adapters on their way.
    pub(crate) fn transit(&self) -> usize {
        self.held.values().filter(|h| h.in_transit()).count()
    }

    /// Tells whether it held `model` recently.
    pub(crate) fn remembers(&self, model: &ModelRef) -> bool {
        self.recent.contains(model)
    }

    /// Notes that it has a copy of `model` in its memory, and forgets the oldest beyond `limit`.
    pub(crate) fn remember(&mut self, model: &ModelRef, limit: usize) {
        self.recent.retain(|m| m != model);
        self.recent.push_back(model.clone());
        if self.recent.len() > limit {
            self.recent.pop_front();
            self.memory = Memory::Known;
        }
    }

    /// Tells whether it may remember adapters that are not known here.
    pub(crate) fn has_past(&self) -> bool {
        self.memory == Memory::Inherited
    }

    /// Forgets the copy of a version that is not the newest any more.
    pub(crate) fn forget(&mut self, model: &ModelRef) {
        self.recent.retain(|m| m != model);
    }
}
