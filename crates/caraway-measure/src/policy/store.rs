//! [`Store`]: a small fake of the rate-limited weight store.

use std::collections::VecDeque;

use caraway_types::{Incarnation, LoadName};

use super::scenario::SECOND;

/// Transfers that may start at once after a pause.
const BURST: f64 = 2.0;
/// Time of a transfer at full speed, in microseconds.
const TRANSFER: u64 = SECOND / 4;
/// Transfers at full speed.
pub(crate) const FULL_SPEED: usize = 16;
/// What the permits of all zones allow in one window; see [`Store::window`].
const WINDOW_STARTS: usize = 3;

/// A transfer of an adapter to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    pub(crate) engine: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) load: LoadName,
}

/// A small fake of the rate-limited weight store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    rate: f64,
    tokens: f64,
    filled: u64,
    queue: VecDeque<Transfer>,
    pub(crate) transit: usize,
    /// Factor on the time of a transfer.
    pub(crate) slow: u64,
    /// Whether transfers fail.
    pub(crate) down: bool,
    /// Recent orders, in microseconds.
    orders: VecDeque<u64>,
}

impl Store {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: BURST,
            filled: 0,
            queue: VecDeque::new(),
            transit: 0,
            slow: 1,
            down: false,
            orders: VecDeque::new(),
        }
    }

    /// Queues a transfer; true when the order keeps to the store's limits.
    pub(crate) fn order(&mut self, now: u64, transfer: Transfer) -> bool {
        self.queue.push_back(transfer);
        self.orders.push_back(now);
        let window = self.window();
        while self.orders.front().is_some_and(|t| t + window <= now) {
            self.orders.pop_front();
        }
        self.orders.len() <= WINDOW_STARTS && self.transit + self.queue.len() <= FULL_SPEED
    }

    /// The span in which the store's rate allows [`WINDOW_STARTS`] loads, in microseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the span is a second or so"
    )]
    fn window(&self) -> u64 {
        (WINDOW_STARTS as f64 / self.rate * SECOND as f64) as u64
    }

    /// Starts the next transfer if the rate allows it now and returns it with its duration.
    pub(crate) fn start(&mut self, now: u64) -> Option<(Transfer, u64)> {
        self.fill(now);
        if self.queue.is_empty() || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        self.transit += 1;
        let share = self.transit.max(FULL_SPEED) as u64;
        let time = TRANSFER * self.slow * share / FULL_SPEED as u64;
        self.queue.pop_front().map(|t| (t, time))
    }

    /// Returns how long until the next start, when something waits.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the span is under a second"
    )]
    pub(crate) fn wait(&self) -> Option<u64> {
        let missing = (1.0 - self.tokens).max(0.0);
        (!self.queue.is_empty()).then(|| (missing / self.rate * 1e6) as u64 + 1)
    }

    /// Tells whether an order now would start at once.
    pub(crate) fn ready(&mut self, now: u64) -> bool {
        self.fill(now);
        self.queue.is_empty() && self.tokens >= 1.0
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are short")]
    fn fill(&mut self, now: u64) {
        let span = (now - self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + span * self.rate).min(BURST);
        self.filled = now;
    }
}
