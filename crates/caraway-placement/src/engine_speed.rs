//! [`EngineSpeed`]: the learned speed of an endpoint.

use std::time::{Duration, Instant};

/// Time constant by which runs lose their weight in an estimate.
const DECAY: Duration = Duration::from_secs(1);
/// Highest weight of a single run, except the first one and one that measures an old estimate again.
const MAX_GAIN: f64 = 0.5;
/// Largest factor by which one run may differ from the estimate; callers that state a maximum of
/// tokens far above what they get would otherwise decide it.
const MAX_CHANGE: f64 = 8.0;
/// Multiple of the expected time after which a run in progress counts as slow. Runs differ by less, as
/// their placer knows the prompts that delay them.
const OVERDUE: f64 = 1.5;
/// Bounds of the speed as a multiple of the settings.
const BOUNDS: (f64, f64) = (1.0 / 64.0, 64.0);
/// Relative difference from the other endpoints below which an endpoint counts as equally fast.
const EVEN: f64 = 0.15;
/// Multiple of the standard error below which a difference counts as noise.
const ERRORS: f64 = 2.0;
/// Relative speed below which an endpoint is faulty: between an eighth and the 0.29 of engines that
/// are slow for a while.
const FAULTY: f64 = 0.2;
/// Age of an estimate after which a slow endpoint that runs nothing gets a request to measure it.
const PROBE_AGE: Duration = Duration::from_secs(2);

/// The speed of an endpoint as a multiple of the speed that the settings state, learned from the
/// runs that it completed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineSpeed {
    /// Mean and variance of the logarithm of the speed.
    mean: f64,
    variance: f64,
    /// Decayed number of runs.
    weight: f64,
    /// When a run was last measured.
    updated: Option<Instant>,
    /// The speed relative to the service's other endpoints; 0 until it is known.
    relative: f64,
}

impl EngineSpeed {
    /// Records a run that took `elapsed`, and takes `expected` at the speed of the settings.
    pub(crate) fn record(&mut self, now: Instant, expected: Duration, elapsed: Duration) {
        let speed = expected.as_secs_f64() / elapsed.as_secs_f64();
        if !speed.is_finite() || speed <= 0.0 {
            return;
        }
        let Some(updated) = self.updated else {
            *self = Self {
                mean: speed.clamp(BOUNDS.0, BOUNDS.1).ln(),
                weight: 1.0,
                updated: Some(now),
                ..Self::default()
            };
            return;
        };
        let limit = MAX_CHANGE.ln();
        let change = (speed.ln() - self.mean).clamp(-limit, limit);
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.weight = self.weight * (-age / DECAY.as_secs_f64()).exp() + 1.0;
        let max_gain = if self.is_stale(now) { 1.0 } else { MAX_GAIN };
        let gain = (1.0 / self.weight).min(max_gain);
        self.mean = (self.mean + gain * change).clamp(BOUNDS.0.ln(), BOUNDS.1.ln());
        self.variance += gain * (change * change - self.variance);
        self.updated = Some(now);
    }

    /// Records that a run has taken `elapsed` so far, or was cut off then; `expected` is its time at
    /// the speed of the settings. It shows only that the endpoint is not faster.
    pub(crate) fn record_unfinished(
        &mut self,
        now: Instant,
        expected: Duration,
        elapsed: Duration,
    ) {
        let expected_now = expected.as_secs_f64() / self.absolute();
        if elapsed.as_secs_f64() > expected_now * OVERDUE {
            self.record(now, expected, elapsed);
        }
    }

    /// Returns the logarithm of the speed, if it was measured.
    pub(crate) fn log(&self) -> Option<f64> {
        self.updated.map(|_| self.mean)
    }

    /// Sets the logarithm of the speed of the service's other endpoints.
    pub(crate) fn compare(&mut self, reference: f64) {
        if self.updated.is_none() {
            return;
        }
        let difference = self.mean - reference;
        let error = (self.variance / self.weight.max(1.0)).sqrt();
        let is_even = difference.abs() <= EVEN.max(error * ERRORS);
        self.relative = if is_even { 1.0 } else { difference.exp() };
    }

    /// Returns the speed as a multiple of that of the settings; 1 if it was not measured.
    pub(crate) fn absolute(&self) -> f64 {
        self.log().map_or(1.0, f64::exp)
    }

    /// Returns the speed relative to the other endpoints of the service; exactly 1 if it is not
    /// known or differs by no more than its error.
    pub(crate) fn relative(&self) -> f64 {
        if self.relative > 0.0 {
            self.relative
        } else {
            1.0
        }
    }

    /// Returns whether it is so slow that it is no use to callers.
    pub(crate) fn is_faulty(&self) -> bool {
        self.relative() < FAULTY
    }

    /// Returns whether the estimate is old enough to be measured again.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        age.is_none_or(|a| a >= PROBE_AGE)
    }

    /// Returns the age of the estimate and its standard error, relative to the speed.
    pub(crate) fn quality(&self, now: Instant) -> Option<(Duration, f64)> {
        let updated = self.updated?;
        let error = (self.variance / self.weight.max(1.0)).sqrt();
        Some((now.saturating_duration_since(updated), error))
    }
}
