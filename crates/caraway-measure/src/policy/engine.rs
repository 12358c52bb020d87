//! [`Engine`]: a simple model of an inference engine with batched steps and adapter slots.

use std::collections::{BTreeMap, VecDeque};

use caraway_types::{FencingToken, Incarnation, LoadName};

/// Fixed part of a step's duration, in microseconds.
const STEP_BASE_US: u64 = 28_000;
/// Time that each running attempt adds to a step, in microseconds.
const STEP_PER_REQUEST_US: u64 = 600;
/// Time that each attempt adds to its first step for the prefill, in microseconds.
const STEP_PER_PREFILL_US: u64 = 12_000;

/// An attempt to run a request, waiting or running on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Index of the request.
    pub(crate) request: usize,
    /// Distinguishes the attempts of one request.
    pub(crate) id: u64,
    pub(crate) load: LoadName,
    /// Tokens still to generate.
    pub(crate) tokens_left: u32,
    /// Whether its first token is still to come.
    pub(crate) awaits_first_token: bool,
}

/// A load that occupies a slot, resident or in transfer.
#[derive(Clone, Debug)]
pub(crate) struct EngineLoad {
    /// Index of the adapter.
    pub(crate) adapter: u32,
    /// Time at which it became resident, in microseconds; `None` during the transfer.
    pub(crate) resident_since: Option<u64>,
}

/// A simple model of an inference engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) slots: u32,
    pub(crate) max_batch: u32,
    pub(crate) incarnation: Incarnation,
    /// Whether it rejects orders with a fencing token below `max_fence`.
    pub(crate) checks_fencing: bool,
    /// Highest fencing token so far.
    pub(crate) max_fence: FencingToken,
    pub(crate) loads: BTreeMap<LoadName, EngineLoad>,
    pub(crate) running: Vec<Attempt>,
    pub(crate) waiting: VecDeque<Attempt>,
    /// Whether a step is in progress.
    pub(crate) is_stepping: bool,
}

impl Engine {
    pub(crate) fn new(slots: u32, max_batch: u32, checks_fencing: bool) -> Self {
        Self {
            slots,
            max_batch,
            incarnation: 1,
            checks_fencing,
            max_fence: 0,
            loads: BTreeMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_stepping: false,
        }
    }

    /// Returns the number of attempts that run or wait with a load.
    pub(crate) fn attempt_count(&self, load: &str) -> usize {
        let uses_load = |r: &&Attempt| &*r.load == load;
        self.running.iter().filter(uses_load).count()
            + self.waiting.iter().filter(uses_load).count()
    }

    /// Begins a step and returns its duration in microseconds; `None` when no attempt waits or runs.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        let mut joined = 0;
        while self.running.len() < self.max_batch as usize {
            let Some(attempt) = self.waiting.pop_front() else {
                break;
            };
            joined += 1;
            self.running.push(attempt);
        }
        self.is_stepping = !self.running.is_empty();
        self.is_stepping.then(|| {
            STEP_BASE_US
                + STEP_PER_REQUEST_US * self.running.len() as u64
                + STEP_PER_PREFILL_US * joined
        })
    }

    /// Ends a step; returns the attempts that made their first token and those that are complete.
    pub(crate) fn end_step(&mut self) -> (Vec<Attempt>, Vec<Attempt>) {
        self.is_stepping = false;
        let mut started = Vec::new();
        for attempt in &mut self.running {
            attempt.tokens_left = attempt.tokens_left.saturating_sub(1);
            if attempt.awaits_first_token {
                attempt.awaits_first_token = false;
                started.push(attempt.clone());
            }
        }
        let (ended, kept) = self.running.drain(..).partition(|r| r.tokens_left == 0);
        self.running = kept;
        (started, ended)
    }

    /// Restarts without loads; returns the attempts that this aborted.
    pub(crate) fn restart(&mut self) -> Vec<Attempt> {
        self.incarnation += 1;
        self.loads.clear();
        self.is_stepping = false;
        let mut aborted: Vec<Attempt> = self.running.drain(..).collect();
        aborted.extend(self.waiting.drain(..));
        aborted
    }
}
