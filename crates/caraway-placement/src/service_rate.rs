//! [`ServiceRate`]: how fast the endpoints of a service serve waiting requests.

use std::time::{Duration, Instant};

use crate::DecayingCount;

/// Weight of the newest run in the moving average of run times.
const RUN_TIME_SMOOTHING: f64 = 0.05;
/// Time constant of the rate of new requests.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);
/// Least part of the grants that is expected to be left for late requests; a burst of requests that
/// can be on time does not last.
const LATE_SHARE: f64 = 0.125;
/// Time that is planned for a run, as a multiple of the average. Late requests start close to the
/// last moment, and half of them would not end in time with the average.
const RUN_TIME_MARGIN: f64 = 1.25;
/// Grants per refused caller that returns, so that new callers are served too.
const RETURN_INTERVALS: usize = 2;
/// Weight of the newest request in the moving average of goals.
const GOAL_SMOOTHING: f64 = 0.02;
/// Longest wait that is told apart from longer ones; more than any caller waits.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// How fast the endpoints of a service in one zone serve waiting requests, and which of the callers
/// that were refused return when.
#[derive(Debug, Default)]
pub(crate) struct ServiceRate {
    /// Runs that were granted and have not ended.
    running: u32,
    /// Slots of the usable endpoints.
    slots: u32,
    /// Moving average of the time of a run in seconds; `None` until one has ended.
    run_time: Option<f64>,
    /// Time given to the last caller that was refused.
    last_turn: Option<Instant>,
    /// Moving average of the time from the arrival of a request to its goal.
    usual_goal: Option<Duration>,
    /// Requests that arrived and can be on time.
    arrivals: Option<DecayingCount>,
}

impl ServiceRate {
    /// Records that a request has arrived that can be on time, with this time left until its goal.
    pub(crate) fn on_arrival(&mut self, now: Instant, goal: Duration) {
        let usual = self.usual_goal.map_or(goal, |usual| {
            usual.mul_f64(1.0 - GOAL_SMOOTHING) + goal.mul_f64(GOAL_SMOOTHING)
        });
        self.usual_goal = Some(usual);
        let arrivals = self.arrivals.get_or_insert_with(|| DecayingCount::new(now));
        arrivals.add(now, ARRIVAL_DECAY);
    }

    /// Returns the usual time from the arrival of a request to its goal.
    pub(crate) fn usual_goal(&self) -> Option<Duration> {
        self.usual_goal
    }

    /// Sets the number of slots of the usable endpoints.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Records that a run was granted.
    pub(crate) fn on_grant(&mut self) {
        self.running += 1;
    }

    /// Records that a run has ended; `elapsed` is the time that it took, if known.
    pub(crate) fn on_end(&mut self, elapsed: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(elapsed) = elapsed.map(|e| e.as_secs_f64()) else {
            return;
        };
        let old = self.run_time.unwrap_or(elapsed);
        self.run_time = Some(old + RUN_TIME_SMOOTHING * (elapsed - old));
    }

    /// Returns the least time until `ahead` waiting requests have been granted; zero if it is not
    /// known.
    ///
    /// The rate of grants is at most the number of slots divided by the time of a run; while requests
    /// wait for prompts to be read, some slots are free. The estimate is a lower bound, also for a
    /// request that only some of the endpoints can run.
    pub(crate) fn least_wait(&self, ahead: usize) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let ahead = ahead as f64;
        let interval = self.interval().unwrap_or_default();
        let wait = Duration::try_from_secs_f64(interval.as_secs_f64() * ahead);
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Returns the expected time until `ahead` waiting requests have been granted, if those that can be
    /// on time arrive as they do now and are granted before them; zero if it is not known.
    pub(crate) fn late_wait(&self, now: Instant, ahead: usize) -> Duration {
        let wait = self.least_wait(ahead).as_secs_f64() / self.late_share(now);
        Duration::try_from_secs_f64(wait).map_or(MAX_WAIT, |w| w.min(MAX_WAIT))
    }

    /// Returns the part of the grants that is left for late requests.
    fn late_share(&self, now: Instant) -> f64 {
        let arrivals = self.arrivals.map_or(0.0, |a| a.value(now, ARRIVAL_DECAY));
        let interval = self.interval().unwrap_or_default().as_secs_f64();
        let left = 1.0 - arrivals / ARRIVAL_DECAY.as_secs_f64() * interval;
        left.max(LATE_SHARE)
    }

    /// Returns the time to plan for a run; zero if it is not known.
    pub(crate) fn run_time(&self) -> Duration {
        let run_time = self.run_time.unwrap_or_default() * RUN_TIME_MARGIN;
        Duration::try_from_secs_f64(run_time).unwrap_or_default()
    }

    /// Returns the average time between two grants; `None` if it is not known.
    fn interval(&self) -> Option<Duration> {
        let runs = self.running.max(self.slots);
        let run_time = self.run_time.filter(|_| runs > 0)?;
        Duration::try_from_secs_f64(run_time / f64::from(runs)).ok()
    }

    /// Returns the time after which a caller that is refused now may return: once the requests that
    /// wait have been served, each caller that is refused in its own turn.
    pub(crate) fn next_turn(&mut self, now: Instant, waiting: usize) -> Duration {
        let served_at = now + self.late_wait(now, waiting);
        let last = self.last_turn.map_or(served_at, |at| at.max(served_at));
        let turn = (last + self.least_wait(RETURN_INTERVALS)).min(now + MAX_WAIT);
        self.last_turn = Some(turn);
        turn - now
    }
}
