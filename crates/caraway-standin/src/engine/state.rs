//! [`EngineState`]: the engine's state, without I/O.

use std::{
    mem,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use caraway_types::{FencingToken, Incarnation};
use caraway_wire::engine::{CompletionRequest, EngineError, EngineErrorKind, EngineLoad};
use ntex::util::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::{
    EngineFaults, EngineLedger, EngineSettings, RunEnd, RunRecord, loads::Loads,
    prefix_cache::PrefixCache, report_history::ReportHistory, run::Run,
};

/// An engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: EngineFaults,
    pub(crate) ledger: EngineLedger,
    pub(crate) incarnation: Incarnation,
    pub(crate) max_fence: FencingToken,
    pub(crate) loads: Loads,
    reports: ReportHistory,
    prefix_cache: PrefixCache,
    /// Runs that wait for a place in the batch, the next one first.
    waiting: Vec<Run>,
    batch: Vec<Run>,
    /// Finished runs that can still be resumed.
    finished: Vec<Run>,
}

/// Makes an [`EngineError`].
pub(crate) fn engine_error(kind: EngineErrorKind, message: &str) -> EngineError {
    EngineError {
        error: kind,
        message: message.into(),
    }
}

impl EngineState {
    /// Makes an empty engine.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            prefix_cache: PrefixCache::new(settings.cache_blocks),
            settings,
            faults: EngineFaults::default(),
            ledger: EngineLedger::default(),
            incarnation: 1,
            max_fence: 0,
            loads: Loads::default(),
            reports: ReportHistory::default(),
            waiting: Vec::new(),
            batch: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// Takes a request and returns the events of its answer.
    ///
    /// # Errors
    ///
    /// Returns why the request does not run.
    pub(crate) fn submit(
        &mut self,
        request: CompletionRequest,
    ) -> Result<UnboundedReceiver<Bytes>, EngineError> {
        let resume_from = request.resume_from;
        let (sink, events) = unbounded_channel();
        if let Some(run) = self.find_run(&request.request_id) {
            if run.load != request.model || run.prompt != request.prompt {
                let message = "the id belongs to another request";
                return Err(engine_error(EngineErrorKind::BadRequest, message));
            }
            run.attach(sink, resume_from);
            return Ok(events);
        }
        if resume_from > 0 {
            let message = "no attempt of this id";
            return Err(engine_error(EngineErrorKind::NotResumable, message));
        }
        let mut run = self.admit(request)?;
        run.attach(sink, 0);
        let position = self
            .waiting
            .partition_point(|other| other.priority <= run.priority);
        self.waiting.insert(position, run);
        Ok(events)
    }

    /// Checks that a new request can wait for the batch, and records it.
    fn admit(&mut self, request: CompletionRequest) -> Result<Run, EngineError> {
        let Some(adapter) = self.loads.resident(&request.model) else {
            let message = format!("no load {}", request.model);
            return Err(engine_error(EngineErrorKind::UnknownModel, &message));
        };
        if self.waiting.len() >= self.settings.max_waiting as usize {
            return Err(engine_error(
                EngineErrorKind::Overloaded,
                "the queue is full",
            ));
        }
        let record_index = self.ledger.runs.len();
        self.ledger.runs.push(RunRecord {
            attempt: Arc::clone(&request.request_id),
            load: Arc::clone(&request.model),
            adapter: adapter.clone(),
            prompt: Arc::clone(&request.prompt),
            arrived: SystemTime::now(),
            started: false,
            generated: 0,
            end: None,
        });
        Ok(Run::new(request, adapter, record_index))
    }

    /// Ends the attempt of this id, if it still runs.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.end_where(RunEnd::Cancelled, |run| *run.id == *id);
    }

    /// Ends all runs on a load and returns how many of them had a listener.
    pub(crate) fn break_runs_of(&mut self, load: &str) -> u32 {
        let attached = self.attached_runs(load);
        self.end_where(RunEnd::Broken, |run| *run.load == *load);
        attached
    }

    /// Counts the live runs on a load that somebody listens to.
    fn attached_runs(&self, load: &str) -> u32 {
        let runs = self.waiting.iter().chain(&self.batch);
        let count = runs.filter(|r| *r.load == *load && r.attached()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Replaces the faults in force.
    pub(crate) fn set_faults(&mut self, mut faults: EngineFaults) {
        if mem::take(&mut faults.restart) {
            self.restart();
        }
        self.faults = faults;
    }

    /// Restarts empty.
    pub(crate) fn restart(&mut self) {
        self.end_where(RunEnd::Broken, |_| true);
        self.finished.clear();
        self.loads = Loads::default();
        self.prefix_cache = PrefixCache::new(self.settings.cache_blocks);
        self.max_fence = 0;
        self.incarnation += 1;
    }

    /// Fills the batch and returns the time that its next step takes, if it has one.
    pub(crate) fn begin_step(&mut self, now: Instant) -> Option<Duration> {
        self.abandon_expired(now);
        if self.reports.is_due(now) {
            let report = self.load_report();
            self.reports.push(now, report);
        }
        if self.faults.stalled {
            return None;
        }
        let prefill_us = self.fill_batch();
        let extra = u64::try_from(self.batch.len().checked_sub(1)?).unwrap_or(u64::MAX);
        let step_us = self.settings.step_us + self.settings.fill_us * extra + prefill_us;
        Some(Duration::from_micros(step_us) + self.faults.slow_step.get())
    }

    /// Generates a token for each run of the batch.
    pub(crate) fn end_step(&mut self, now: Instant) {
        self.ledger.steps += 1;
        self.ledger.fill_sum += self.batch.len() as u64;
        let crossed = self.inject_crossed_token();
        for run in &mut self.batch {
            let wrong = self.faults.wrong_tokens > 0;
            self.faults.wrong_tokens -= u32::from(wrong);
            run.generate_token(wrong);
            self.ledger.runs[run.record_index].generated = run.generated;
        }
        if crossed {
            swap_sinks(&mut self.batch);
        }
        for mut run in self.batch.extract_if(.., |run| run.finished()) {
            self.ledger.runs[run.record_index].end = Some(RunEnd::Finished);
            run.detached_at = Some(now);
            self.finished.push(run);
        }
        self.inject_broken_runs();
    }

    /// Answers with the load report of some time ago.
    pub(crate) fn delayed_report(&mut self, now: Instant) -> EngineLoad {
        let lag = self.settings.report_lag.get();
        self.reports.delayed(now, lag)
    }

    /// Returns how many load reports are kept.
    pub(crate) fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Moves waiting runs into the batch and returns the cost of their prefill in microseconds.
    fn fill_batch(&mut self) -> u64 {
        let room = (self.settings.max_batch as usize).saturating_sub(self.batch.len());
        let count = room.min(self.waiting.len());
        let mut bytes = 0;
        for mut run in self.waiting.drain(..count) {
            let cached = self
                .prefix_cache
                .lookup_and_insert(&run.adapter, &run.prompt);
            bytes += (run.prompt.len() - cached) as u64;
            self.ledger.prefix_hits += cached as u64;
            self.ledger.runs[run.record_index].started = true;
            run.started = true;
            self.batch.push(run);
        }
        self.ledger.prefilled += bytes;
        bytes * self.settings.prefill_us
    }

    /// Swaps the callers of two runs that go on after this step, as the faults ask.
    fn inject_crossed_token(&mut self) -> bool {
        let continues = |run: &Run| run.generated + 1 < run.max_tokens;
        let possible = self.batch.len() > 1 && self.batch[..2].iter().all(continues);
        let cross = possible && self.faults.cross_tokens > 0;
        if cross {
            self.faults.cross_tokens -= 1;
            swap_sinks(&mut self.batch);
        }
        cross
    }

    /// Breaks off runs as the faults ask.
    fn inject_broken_runs(&mut self) {
        while self.faults.break_runs > 0 && !self.batch.is_empty() {
            self.faults.break_runs -= 1;
            let run = self.batch.swap_remove(0);
            self.ledger.runs[run.record_index].end = Some(RunEnd::Broken);
        }
    }

    /// Ends attempts that nobody resumed in time.
    fn abandon_expired(&mut self, now: Instant) {
        for run in self.waiting.iter_mut().chain(&mut self.batch) {
            if !run.attached() {
                run.detached_at.get_or_insert(now);
            }
        }
        let window = self.settings.resume_window.get();
        let expired = |run: &Run| run.detached_at.is_some_and(|at| now - at >= window);
        self.end_where(RunEnd::Abandoned, expired);
        self.finished.retain(|run| !expired(run));
    }

    /// Ends the live runs that `select` picks.
    fn end_where(&mut self, end: RunEnd, select: impl Fn(&Run) -> bool) {
        for runs in [&mut self.waiting, &mut self.batch] {
            for run in runs.extract_if(.., |run| select(run)) {
                self.ledger.runs[run.record_index].end = Some(end);
            }
        }
    }

    /// Finds an attempt that can be resumed.
    fn find_run(&mut self, id: &str) -> Option<&mut Run> {
        let runs = self.waiting.iter_mut().chain(&mut self.batch);
        runs.chain(&mut self.finished).find(|run| *run.id == *id)
    }

    /// Describes the engine as it is now.
    fn load_report(&self) -> EngineLoad {
        let count = |runs: &[Run]| u32::try_from(runs.len()).unwrap_or(u32::MAX);
        EngineLoad {
            incarnation: self.incarnation,
            slots: self.settings.slots,
            running: count(&self.batch),
            waiting: count(&self.waiting),
            max_batch: self.settings.max_batch,
            max_fence: self.max_fence,
            residents: self.loads.residents(|load| self.attached_runs(load)),
        }
    }
}

/// Swaps the callers of the first two runs.
fn swap_sinks(batch: &mut [Run]) {
    if let [first, second, ..] = batch {
        mem::swap(&mut first.sink, &mut second.sink);
    }
}
