//! [`EngineState`]: the state and logic of the engine, without I/O.

use std::{
    mem,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use caraway_types::{FencingToken, Incarnation};
use caraway_wire::engine::{CompletionRequest, EngineError, EngineErrorKind, EngineStatus};
use ntex::util::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::{
    EngineFaults, EngineLedger, EngineSettings, RunEnd, RunRecord, loads::Loads,
    prefix_cache::PrefixCache, report_history::ReportHistory, run::Run,
};

/// State of an engine: its loads, its runs, its active faults and its ledger.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: EngineFaults,
    pub(crate) ledger: EngineLedger,
    pub(crate) incarnation: Incarnation,
    /// Largest fencing token received since the last restart; stays zero if the engine does not
    /// check fencing.
    pub(crate) max_fence: FencingToken,
    pub(crate) loads: Loads,
    reports: ReportHistory,
    prefix_cache: PrefixCache,
    /// Runs that wait for room in the batch, in the order in which they will enter it.
    waiting: Vec<Run>,
    /// Runs that generate one token each step.
    batch: Vec<Run>,
    /// Finished runs whose tokens a caller can still request by resuming.
    finished: Vec<Run>,
}

/// Returns an [`EngineError`] of this kind.
pub(crate) fn engine_error(kind: EngineErrorKind, message: &str) -> EngineError {
    EngineError {
        error: kind,
        message: message.into(),
    }
}

impl EngineState {
    /// Returns an engine without loads, runs or faults, with incarnation 1.
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

    /// Queues a new attempt, or resumes the one with the same id, and returns its event stream.
    ///
    /// # Errors
    ///
    /// Fails if the load is not resident, the queue is full, the id belongs to another request, or
    /// there is no attempt to resume.
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

    /// Checks that the load of a new request is resident and the queue has room, and records the
    /// run in the ledger.
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

    /// Ends the attempt with this id if it is waiting or in the batch.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.end_where(RunEnd::Cancelled, |run| *run.id == *id);
    }

    /// Ends all runs on a load as broken and returns how many of them had a connected caller.
    pub(crate) fn break_runs_of(&mut self, load: &str) -> u32 {
        let attached = self.attached_runs(load);
        self.end_where(RunEnd::Broken, |run| *run.load == *load);
        attached
    }

    /// Counts the waiting and batched runs on a load that have a connected caller.
    fn attached_runs(&self, load: &str) -> u32 {
        let runs = self.waiting.iter().chain(&self.batch);
        let count = runs.filter(|r| *r.load == *load && r.is_attached()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Replaces the active faults; a restart fault takes effect immediately, once.
    pub(crate) fn set_faults(&mut self, mut faults: EngineFaults) {
        if mem::take(&mut faults.restart) {
            self.restart();
        }
        self.faults = faults;
    }

    /// Simulates a restart: ends every run, drops the loads, the finished runs and the
    /// prefix cache, and increases the incarnation.
    pub(crate) fn restart(&mut self) {
        self.end_where(RunEnd::Broken, |_| true);
        self.finished.clear();
        self.loads = Loads::default();
        self.prefix_cache = PrefixCache::new(self.settings.cache_blocks);
        self.max_fence = 0;
        self.incarnation += 1;
    }

    /// Fills the batch and returns the duration of the next step, or `None` if the batch is empty
    /// or stalled.
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

    /// Generates one token for each run of the batch and moves finished runs out of it.
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
        for mut run in self.batch.extract_if(.., |run| run.is_finished()) {
            self.ledger.runs[run.record_index].end = Some(RunEnd::Finished);
            run.detached_at = Some(now);
            self.finished.push(run);
        }
        self.inject_broken_runs();
    }

    /// Returns the load report as it was `report_lag` before `now`, or the oldest one kept.
    pub(crate) fn delayed_report(&mut self, now: Instant) -> EngineStatus {
        let lag = self.settings.report_lag.get();
        self.reports.delayed(now, lag)
    }

    /// Returns the number of load reports kept.
    pub(crate) fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Moves waiting runs into the batch and returns their prefill time in microseconds.
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

    /// Swaps the callers of the first two runs of the batch for this step, if a fault requests it
    /// and both runs continue after the step. Returns whether it did.
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

    /// Ends as many runs of the batch as broken as the active faults request.
    fn inject_broken_runs(&mut self) {
        while self.faults.break_runs > 0 && !self.batch.is_empty() {
            self.faults.break_runs -= 1;
            let run = self.batch.swap_remove(0);
            self.ledger.runs[run.record_index].end = Some(RunEnd::Broken);
        }
    }

    /// Marks runs without a connected caller as detached, ends those that were not resumed within
    /// the resume window, and drops finished runs after the same window.
    fn abandon_expired(&mut self, now: Instant) {
        for run in self.waiting.iter_mut().chain(&mut self.batch) {
            if !run.is_attached() {
                run.detached_at.get_or_insert(now);
            }
        }
        let window = self.settings.resume_window.get();
        let expired = |run: &Run| run.detached_at.is_some_and(|at| now - at >= window);
        self.end_where(RunEnd::Abandoned, expired);
        self.finished.retain(|run| !expired(run));
    }

    /// Ends the waiting and batched runs for which `select` is true.
    fn end_where(&mut self, end: RunEnd, select: impl Fn(&Run) -> bool) {
        for runs in [&mut self.waiting, &mut self.batch] {
            for run in runs.extract_if(.., |run| select(run)) {
                self.ledger.runs[run.record_index].end = Some(end);
            }
        }
    }

    /// Returns the attempt with this id if it waits, runs or finished within the resume window.
    fn find_run(&mut self, id: &str) -> Option<&mut Run> {
        let runs = self.waiting.iter_mut().chain(&mut self.batch);
        runs.chain(&mut self.finished).find(|run| *run.id == *id)
    }

    /// Returns the current load report.
    fn load_report(&self) -> EngineStatus {
        let count = |runs: &[Run]| u32::try_from(runs.len()).unwrap_or(u32::MAX);
        EngineStatus {
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

/// Swaps the event channels of the first two runs.
fn swap_sinks(batch: &mut [Run]) {
    if let [first, second, ..] = batch {
        mem::swap(&mut first.sink, &mut second.sink);
    }
}
