//! A simulated engine that reads prompts and decodes tokens in steps.

/// Prompt tokens that an engine reads per step at most.
const STEP_TOKENS: f64 = 2048.0;
/// Time by which each running request lengthens a step, in ms.
const RUN_MS: f64 = 0.03;

/// Speed of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSpeed {
    /// Time of a step without requests, in ms.
    pub(crate) step_ms: f64,
    /// Prompt tokens read per ms.
    pub(crate) tokens_per_ms: f64,
    /// Tokens per event.
    pub(crate) event_tokens: u32,
    /// Multiple of the nominal speed.
    pub(crate) factor: f64,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    ticket: u64,
    unread: f64,
    done: u32,
    output: u32,
}

/// What happened to a request in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    FirstEvent(u64),
    Ended(u64),
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) speed: EngineSpeed,
    runs: Vec<Run>,
    /// Whether a step is in progress, and the tickets that get a token at its end.
    pub(crate) is_stepping: bool,
    decoding: Vec<u64>,
    /// Most prompt and output tokens that it held at once.
    pub(crate) most_tokens: f64,
}

impl Engine {
    pub(crate) fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            runs: Vec::new(),
            is_stepping: false,
            decoding: Vec::new(),
            most_tokens: 0.0,
        }
    }

    pub(crate) fn add(&mut self, ticket: u64, prompt: u32, output: u32, held: f64) {
        let run = Run {
            ticket,
            unread: f64::from(prompt),
            done: 0,
            output: output.max(1),
        };
        self.runs.push(run);
        self.most_tokens = self.most_tokens.max(held);
    }

    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn remove(&mut self, ticket: u64) {
        self.runs.retain(|r| r.ticket != ticket);
    }

    /// Starts a step; returns its time in ms.
    pub(crate) fn start_step(&mut self) -> f64 {
        let mut budget = STEP_TOKENS;
        let mut read = 0.0;
        for run in &mut self.runs {
            let part = run.unread.min(budget);
            run.unread -= part;
            budget -= part;
            read += part;
        }
        let decoding = self.runs.iter().filter(|r| r.unread <= 0.0);
        self.decoding = decoding.map(|r| r.ticket).collect();
        self.is_stepping = true;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let runs = self.runs.len() as f64;
        let step = self.speed.step_ms + RUN_MS * runs + read / self.speed.tokens_per_ms;
        step / self.speed.factor
    }

    /// Ends the step in progress.
    pub(crate) fn end_step(&mut self) -> Vec<Progress> {
        self.is_stepping = false;
        let mut progress = Vec::new();
        let event_tokens = self.speed.event_tokens;
        let decoding = std::mem::take(&mut self.decoding);
        self.runs.retain_mut(|run| {
            if !decoding.contains(&run.ticket) {
                return true;
            }
            run.done += 1;
            if run.done == event_tokens.min(run.output) {
                progress.push(Progress::FirstEvent(run.ticket));
            }
            let has_ended = run.done >= run.output;
            if has_ended {
                progress.push(Progress::Ended(run.ticket));
            }
            !has_ended
        });
        progress
    }
}
