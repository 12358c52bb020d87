//! [`Engine`]: a small fake of a model engine with batched steps and adapter slots.

use std::collections::{BTreeMap, VecDeque};

use caraway_types::{FencingToken, Incarnation, LoadName};

/// Time of a step without requests, in microseconds.
const STEP_BASE: u64 = 28_000;
/// What each running request adds to a step, in microseconds.
const STEP_REQUEST: u64 = 600;
/// What each request that joins adds to its first step, in microseconds.
const STEP_PREFILL: u64 = 12_000;

/// A request on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: usize,
    /// Tells attempts of one request apart.
    pub(crate) attempt: u64,
    pub(crate) load: LoadName,
    pub(crate) left: u32,
    pub(crate) first: bool,
}

/// A load that is resident or on its way.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) adapter: u32,
    /// Since when it is resident, in microseconds; none while it loads.
    pub(crate) since: Option<u64>,
}

/// A small fake of a model engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) slots: u32,
    pub(crate) max_batch: u32,
    pub(crate) incarnation: Incarnation,
    pub(crate) checks: bool,
    pub(crate) max_fence: FencingToken,
    pub(crate) loads: BTreeMap<LoadName, Held>,
    pub(crate) running: Vec<Run>,
    pub(crate) waiting: VecDeque<Run>,
    pub(crate) stepping: bool,
}

impl Engine {
    pub(crate) fn new(slots: u32, max_batch: u32, checks: bool) -> Self {
        Self {
            slots,
            max_batch,
            incarnation: 1,
            checks,
            max_fence: 0,
            loads: BTreeMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            stepping: false,
        }
    }

    /// Returns the requests that run or wait on a load.
    pub(crate) fn users(&self, load: &str) -> usize {
        let on = |r: &&Run| &*r.load == load;
        self.running.iter().filter(on).count() + self.waiting.iter().filter(on).count()
    }

    /// Begins a step and returns its duration; none when there is nothing to do.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        let mut joined = 0;
        while self.running.len() < self.max_batch as usize {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            joined += 1;
            self.running.push(run);
        }
        self.stepping = !self.running.is_empty();
        self.stepping
            .then(|| STEP_BASE + STEP_REQUEST * self.running.len() as u64 + STEP_PREFILL * joined)
    }

    /// Ends a step: returns the runs that made their first token and those that ended.
    pub(crate) fn end_step(&mut self) -> (Vec<Run>, Vec<Run>) {
        self.stepping = false;
        let mut first = Vec::new();
        for run in &mut self.running {
            run.left = run.left.saturating_sub(1);
            if run.first {
                run.first = false;
                first.push(run.clone());
            }
        }
        let (ended, kept) = self.running.drain(..).partition(|r| r.left == 0);
        self.running = kept;
        (first, ended)
    }

    /// Restarts empty; returns what was lost.
    pub(crate) fn restart(&mut self) -> Vec<Run> {
        self.incarnation += 1;
        self.loads.clear();
        self.stepping = false;
        let mut lost: Vec<Run> = self.running.drain(..).collect();
        lost.extend(self.waiting.drain(..));
        lost
    }
}
