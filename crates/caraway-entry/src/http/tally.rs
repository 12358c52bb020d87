//! [`Tally`] times one request and counts its end.

use std::{sync::Arc, time::Duration};

use caraway_burn::Sample;
use caraway_types::{AccountId, Certainty, Class, Refusal};
use tokio::time::Instant;

use super::{ask::Ask, gate::Gate};
use crate::{burn::BurnMessage, events::emit, metrics::Outcome, shared::Shared};

/// Times one request and counts its end.
#[derive(Debug)]
pub(crate) struct Tally {
    shared: Arc<Shared>,
    account: AccountId,
    class: Class,
    /// Whether it counts for objectives; a request that a peer passed on counts there.
    own: bool,
    start: Instant,
    stall: Duration,
    first: Option<Duration>,
    last: Instant,
    gap: Option<Duration>,
}

impl Tally {
    /// Starts with the request's arrival.
    pub(crate) fn new(gate: &Gate, ask: &Ask) -> Self {
        Self {
            shared: Arc::clone(&gate.shared),
            account: Arc::clone(&ask.account),
            class: ask.class,
            own: ask.via.is_none(),
            start: ask.start,
            stall: Duration::ZERO,
            first: None,
            last: ask.start,
            gap: None,
        }
    }

    /// Counts the first verdict.
    pub(crate) fn verdict(&mut self) {
        self.stall = self.start.elapsed();
        self.shared.metrics.record_verdict(self.class, self.stall);
    }

    /// Counts a token.
    pub(crate) fn token(&mut self) {
        let now = Instant::now();
        let wait = now.saturating_duration_since(self.last);
        self.last = now;
        if self.first.is_none() {
            self.first = Some(wait);
            self.shared.metrics.record_first_token(self.class, wait);
        } else {
            self.gap = self.gap.max(Some(wait));
            self.shared.metrics.record_next_token(self.class, wait);
        }
    }

    /// Counts the end.
    pub(crate) fn end(self, outcome: Outcome) {
        self.shared.metrics.record_request(self.class, outcome);
        if !self.own || outcome == Outcome::CallerLeft {
            return;
        }
        let sample = Sample {
            account: self.account,
            class: self.class,
            answered: outcome == Outcome::Complete,
            first_token: self.first,
            longest_gap: self.gap,
            whole: self.start.elapsed(),
            stall: self.stall,
        };
        if self
            .shared
            .rings
            .burn
            .push(BurnMessage::Sample(sample))
            .is_err()
        {
            emit!(self.shared.log, warn, RingFull; "ring" => "burn");
        }
    }

    /// Counts and logs a refusal.
    pub(crate) fn refused(self, ask: &Ask, refusal: &Refusal) {
        emit!(self.shared.log, info, Refused;
            "request" => &*ask.request, "adapter" => %ask.adapter, "refusal" => %refusal);
        let outcome = match refusal.certainty {
            Certainty::NotRun => Outcome::NotRun,
            Certainty::InDoubt => Outcome::InDoubt,
        };
        self.end(outcome);
    }
}
