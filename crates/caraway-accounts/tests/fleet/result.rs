//! What ran, against the bound of the quotas and against one central bucket.

use std::collections::VecDeque;

use super::{
    CONFIG_APPLY,
    load::{Load, Request},
};
use crate::common::BOUNDS;

/// Time from which admitted requests are compared; pools start empty.
const WARM_UP: f64 = 1.0;

/// What a run showed.
pub(crate) struct Outcome {
    accounts: Vec<AccountOutcome>,
    pub(crate) refused: u64,
    pub(crate) timed_out: u64,
    pub(crate) refunded: u64,
    pub(crate) draws: u64,
    pub(crate) granted: f64,
    pub(crate) time: f64,
    pub(crate) instances: usize,
    pub(crate) asked: u64,
}

#[derive(Clone, Debug, Default)]
struct AccountOutcome {
    /// Time and cost of each run.
    runs: Vec<(f64, f64)>,
    /// A central bucket with the whole quota, and what it admits.
    level: f64,
    filled_at: f64,
    within: f64,
    admitted: f64,
}

impl Outcome {
    pub(crate) fn new(load: &Load) -> Self {
        Self {
            accounts: vec![AccountOutcome::default(); load.accounts.len()],
            refused: 0,
            timed_out: 0,
            refunded: 0,
            draws: 0,
            granted: 0.0,
            time: 0.0,
            instances: 0,
            asked: 0,
        }
    }

    /// Records a request, and whether it is within the quota.
    pub(crate) fn ask(&mut self, load: &Load, request: &Request, now: f64) {
        self.asked += 1;
        let quota = load.known(request.account, now).quota.expect("a quota");
        let account = &mut self.accounts[request.account];
        let filled = account.level + (now - account.filled_at) * quota.rate;
        account.level = filled.min(quota.burst);
        account.filled_at = now;
        if account.level > 0.0 {
            account.level -= request.cost;
            if now >= WARM_UP {
                account.within += request.cost;
            }
        }
    }

    pub(crate) fn run(&mut self, request: &Request, now: f64) {
        let account = &mut self.accounts[request.account];
        account.runs.push((now, request.cost));
        if now >= WARM_UP {
            account.admitted += request.cost;
        }
    }

    /// Returns what an account asked for within its quota, and what was admitted of it.
    pub(crate) fn admitted(&self, account: usize) -> (f64, f64) {
        let account = &self.accounts[account];
        (account.within, account.admitted)
    }

    /// Returns the largest cost of a window, as a part of its bound.
    pub(crate) fn use_of_bound(&self, load: &Load) -> f64 {
        let window = BOUNDS.window.as_secs_f64();
        let mut most: f64 = 0.0;
        for (i, account) in self.accounts.iter().enumerate() {
            let (mut sum, mut recent) = (0.0, VecDeque::new());
            for (at, cost) in &account.runs {
                sum += cost;
                recent.push_back((at, cost));
                while recent
                    .front()
                    .is_some_and(|(first, _)| **first <= at - window)
                {
                    let (_, cost) = recent.pop_front().expect("checked");
                    sum -= cost;
                }
                let limit = load.limit(i, at - window, CONFIG_APPLY);
                most = most.max(sum / limit);
            }
        }
        most
    }

    /// Returns draws per second and instance.
    pub(crate) fn draw_rate(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "counts")]
        let rate = self.draws as f64 / self.time / self.instances as f64;
        rate
    }
}
