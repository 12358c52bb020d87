//! [`Store`]: a simple model of the weight store with its limit on the rate of transfers.

use std::collections::VecDeque;

use caraway_types::{Incarnation, LoadName};

use super::scenario::SECOND;

/// Transfers that may start at once after a pause: the size of the token bucket.
const BURST_TRANSFERS: f64 = 2.0;
/// Duration of a transfer at full speed, in microseconds.
const TRANSFER_US: u64 = SECOND / 4;
/// Concurrent transfers up to which each has full speed; also the limit on transfers in
/// flight or queued.
pub(crate) const FULL_SPEED_TRANSFERS: usize = 16;
/// Loads that the permits of all zones together allow in one window; see [`Store::window_us`].
const WINDOW_LOADS: usize = 3;

/// A transfer of an adapter to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) engine: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) load: LoadName,
}

/// A simple model of the weight store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    /// Transfers per second that may start.
    rate: f64,
    /// Fill of the token bucket.
    tokens: f64,
    /// Time of the last refill, in microseconds.
    refilled_at: u64,
    /// Transfers that wait for their start.
    queue: VecDeque<Transfer>,
    /// Number of transfers in flight.
    pub(crate) in_flight: usize,
    /// Factor on the duration of a transfer; 1 is full speed.
    pub(crate) slowdown: u64,
    /// Whether transfers fail.
    pub(crate) down: bool,
    /// Times of the orders in the last window, in microseconds.
    order_times: VecDeque<u64>,
}

impl Store {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: BURST_TRANSFERS,
            refilled_at: 0,
            queue: VecDeque::new(),
            in_flight: 0,
            slowdown: 1,
            down: false,
            order_times: VecDeque::new(),
        }
    }

    /// Queues a transfer; returns whether the order keeps to the store's limits.
    pub(crate) fn submit(&mut self, now: u64, transfer: Transfer) -> bool {
        self.queue.push_back(transfer);
        self.order_times.push_back(now);
        let window_us = self.window_us();
        while self
            .order_times
            .front()
            .is_some_and(|t| t + window_us <= now)
        {
            self.order_times.pop_front();
        }
        self.order_times.len() <= WINDOW_LOADS
            && self.in_flight + self.queue.len() <= FULL_SPEED_TRANSFERS
    }

    /// Returns the time in which the store's rate allows [`WINDOW_LOADS`] loads, in microseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the window is about a second"
    )]
    fn window_us(&self) -> u64 {
        (WINDOW_LOADS as f64 / self.rate * SECOND as f64) as u64
    }

    /// Starts the next transfer if the rate allows it now; returns it with its duration in
    /// microseconds.
    pub(crate) fn start_next(&mut self, now: u64) -> Option<(Transfer, u64)> {
        self.refill(now);
        if self.queue.is_empty() || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        let concurrency = self.in_flight.max(FULL_SPEED_TRANSFERS) as u64;
        let duration = TRANSFER_US * self.slowdown * concurrency / FULL_SPEED_TRANSFERS as u64;
        self.queue.pop_front().map(|t| (t, duration))
    }

    /// Returns the microseconds until the next transfer can start; `None` when none waits.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the time is under a second"
    )]
    pub(crate) fn time_to_start(&self) -> Option<u64> {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        (!self.queue.is_empty()).then(|| (missing_tokens / self.rate * 1e6) as u64 + 1)
    }

    /// Returns whether a transfer submitted now would start at once.
    pub(crate) fn can_start_now(&mut self, now: u64) -> bool {
        self.refill(now);
        self.queue.is_empty() && self.tokens >= 1.0
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "times between refills are short"
    )]
    fn refill(&mut self, now: u64) {
        let elapsed_s = (now - self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(BURST_TRANSFERS);
        self.refilled_at = now;
    }
}
