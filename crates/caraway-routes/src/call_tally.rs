//! [`CallTally`]: the results of the calls to an endpoint, and the comparison of those of one service.

use std::time::{Duration, Instant};

use crate::CallOutcome;

/// Time constant with which results lose their weight. A changed endpoint has to show within a second.
const TIME_CONSTANT: Duration = Duration::from_millis(600);
/// Least number of calls of an endpoint that are compared.
const MIN_CALLS: f64 = 3.0;
/// Least difference between two failure rates that counts, in standard errors and as such. Chance
/// exceeds three standard errors in one of 700 comparisons.
const FAILURE_ERRORS: f64 = 3.0;
const FAILURE_MARGIN: f64 = 0.1;
/// Multiple of another endpoint's answer time from which on an endpoint is slow: about half way, by
/// ratio, between one that runs at half of the speed and one that takes 7.5 times as long.
const SLOW_RATIO: f64 = 4.0;
/// The same multiple below which a slow endpoint is no longer slow.
const RECOVERED_RATIO: f64 = 2.0;

/// The results of calls to an endpoint, which lose their weight with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallTally {
    /// Number of calls.
    pub calls: f64,
    /// Number of those that failed.
    pub failed: f64,
    /// Sum of the times that the answers took, in seconds.
    pub answer_time: f64,
    updated_at: Option<Instant>,
}

impl CallTally {
    /// Creates a tally of calls, as another instance states it. Values that can't be a tally's are
    /// taken for none.
    #[must_use]
    pub fn new(calls: f64, failed: f64, answer_time: f64) -> Self {
        let sum = calls + failed + answer_time;
        if !sum.is_finite() || calls < 0.0 || failed < 0.0 || answer_time < 0.0 {
            return Self::default();
        }
        Self {
            calls,
            failed: failed.min(calls),
            answer_time,
            updated_at: None,
        }
    }

    /// Counts a call.
    pub fn on_call(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Unrelated => return,
            CallOutcome::Answered(time) => self.answer_time += time.as_secs_f64(),
            CallOutcome::Failed
            | CallOutcome::Refused
            | CallOutcome::Unreachable
            | CallOutcome::Broken => self.failed += 1.0,
        }
        self.calls += 1.0;
    }

    /// Adds the calls of another tally at `now`.
    pub fn add(&mut self, now: Instant, other: &Self) {
        *self = self.at(now);
        self.calls += other.calls;
        self.failed += other.failed;
        self.answer_time += other.answer_time;
    }

    /// Returns the tally with the weight that its calls have at `now`.
    #[must_use]
    pub fn at(&self, now: Instant) -> Self {
        let since = self.updated_at.unwrap_or(now);
        let age = now.saturating_duration_since(since).as_secs_f64();
        let decayed = self.scaled((-age / TIME_CONSTANT.as_secs_f64()).exp());
        Self {
            updated_at: Some(now),
            ..decayed
        }
    }

    /// Returns the tally with the weight of its calls multiplied by `factor`.
    #[must_use]
    pub(crate) fn scaled(&self, factor: f64) -> Self {
        Self {
            calls: self.calls * factor,
            failed: self.failed * factor,
            answer_time: self.answer_time * factor,
            updated_at: self.updated_at,
        }
    }

    fn failure_rate(&self) -> f64 {
        self.failed / self.calls.max(f64::MIN_POSITIVE)
    }

    /// Returns the mean time of an answer, `None` if there are too few.
    fn mean_time(&self) -> Option<f64> {
        let answered = self.calls - self.failed;
        (answered >= 1.0 && self.answer_time > 0.0).then(|| self.answer_time / answered)
    }

    /// Returns whether an endpoint is worse than another one of its service; `was_worse` is whether
    /// it was before. Healthy endpoints of some services fail 14 in 100 calls, so that only the
    /// difference counts.
    #[must_use]
    pub fn is_worse_than(&self, other: &Self, was_worse: bool) -> bool {
        if self.calls < MIN_CALLS || other.calls < MIN_CALLS {
            return was_worse;
        }
        let ratio = match (self.mean_time(), other.mean_time()) {
            (Some(own), Some(other)) => own / other,
            _ => 1.0,
        };
        let difference = self.failure_rate() - other.failure_rate();
        if was_worse {
            return difference > FAILURE_MARGIN || ratio > RECOVERED_RATIO;
        }
        let calls = self.calls + other.calls;
        // Two more calls, one of which failed, so that few calls without a failure are not certain.
        let mean = (self.failed + other.failed + 1.0) / (calls + 2.0);
        let variance = mean * (1.0 - mean) * (1.0 / self.calls + 1.0 / other.calls);
        let least = (FAILURE_ERRORS * variance.sqrt()).max(FAILURE_MARGIN);
        difference > least || ratio > SLOW_RATIO
    }
}
