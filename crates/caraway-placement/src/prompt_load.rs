//! [`PromptLoad`]: the prompts that an endpoint has to read, and the tokens that it holds.

use std::time::{Duration, Instant};

use caraway_routes::TokenCount;

/// The prompts that were sent to an endpoint and that it has to read, and the tokens that it holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptLoad {
    /// Estimated time at which it has read them.
    read_at: Option<Instant>,
    /// Estimated time at which it has read the last long one.
    long_read_at: Option<Instant>,
    /// When a prompt was last sent there.
    last_start: Option<Instant>,
    /// Tokens of the runs that have not ended.
    held: u64,
}

impl PromptLoad {
    /// Accounts for a prompt that takes `reading` to read.
    pub(crate) fn add(&mut self, now: Instant, reading: Duration, is_long: bool) {
        self.last_start = Some(now);
        let read_at = self.read_at.map_or(now, |at| at.max(now)) + reading;
        self.read_at = Some(read_at);
        if is_long {
            self.long_read_at = Some(read_at);
        }
    }

    /// Accounts for the tokens of a run.
    pub(crate) fn hold(&mut self, tokens: u64) {
        self.held = self.held.saturating_add(tokens);
    }

    /// Accounts for the end of a run with these tokens.
    pub(crate) fn release(&mut self, tokens: u64) {
        self.held = self.held.saturating_sub(tokens);
    }

    /// Returns whether `tokens` fit in the memory besides those of the runs.
    pub(crate) fn fits(&self, tokens: u64, capacity: Option<u32>) -> bool {
        capacity.is_none_or(|c| self.held.saturating_add(tokens) <= u64::from(c))
    }

    /// Returns the time until it has read all prompts.
    pub(crate) fn unread(&self, now: Instant) -> Duration {
        let read_at = self.read_at.map(|at| at.saturating_duration_since(now));
        read_at.unwrap_or_default()
    }

    /// Returns when a prompt was last sent there.
    pub(crate) fn last_start(&self) -> Option<Instant> {
        self.last_start
    }

    /// Returns whether it has a long prompt to read.
    pub(crate) fn has_unread_long(&self, now: Instant) -> bool {
        self.long_read_at.is_some_and(|at| at > now)
    }

    /// Returns when it has read the long prompt, and when all prompts but those that take `rest`.
    pub(crate) fn read_times(&self, rest: Duration) -> impl Iterator<Item = Instant> + use<> {
        let rest_at = self.read_at.and_then(|at| at.checked_sub(rest));
        rest_at.into_iter().chain(self.long_read_at)
    }
}

/// Returns the tokens that a request takes in the memory of an endpoint with `slots`.
///
/// The answer counts at most as much as a slot's part of the memory: callers may state a maximum far
/// above what they get.
pub(crate) fn held_tokens(tokens: TokenCount, capacity: Option<u32>, slots: u32) -> u64 {
    let part = capacity.map_or(0, |c| c / slots.max(1));
    u64::from(tokens.prompt) + u64::from(tokens.output.min(part))
}
