//! [`RequestMetrics`] measures one request and records its outcome.

use std::{sync::Arc, time::Duration};

use caraway_burn::Sample;
use caraway_types::{AccountId, Certainty, Class, Refusal};
use tokio::time::Instant;

use super::{app_state::AppState, request::ParsedRequest};
use crate::{burn::BurnMessage, events::emit, metrics::Outcome, shared::Shared};

/// Measurements of one request, for the metrics and the service-level objectives.
#[derive(Debug)]
pub(crate) struct RequestMetrics {
    shared: Arc<Shared>,
    account: AccountId,
    class: Class,
    /// Whether the request counts for the objectives here; a forwarded request counts on the peer
    /// that the caller sent it to.
    counts_for_objectives: bool,
    arrived: Instant,
    /// Time from arrival to the first decision.
    decision_wait: Duration,
    /// Time from arrival to the first token.
    first_token: Option<Duration>,
    /// Time of the latest token, or of the arrival before the first one.
    last_token: Instant,
    /// Longest time between two tokens.
    longest_gap: Option<Duration>,
}

impl RequestMetrics {
    /// Creates the measurements of a request, which start at its arrival.
    pub(crate) fn new(app: &AppState, request: &ParsedRequest) -> Self {
        Self {
            shared: Arc::clone(&app.shared),
            account: Arc::clone(&request.account),
            class: request.class,
            counts_for_objectives: request.forwarded_by.is_none(),
            arrived: request.arrived,
            decision_wait: Duration::ZERO,
            first_token: None,
            last_token: request.arrived,
            longest_gap: None,
        }
    }

    /// Records the first decision.
    pub(crate) fn record_decision(&mut self) {
        self.decision_wait = self.arrived.elapsed();
        self.shared
            .metrics
            .record_decision(self.class, self.decision_wait);
    }

    /// Records a token that arrives now.
    pub(crate) fn record_token(&mut self) {
        let now = Instant::now();
        let wait = now.saturating_duration_since(self.last_token);
        self.last_token = now;
        if self.first_token.is_none() {
            self.first_token = Some(wait);
            self.shared.metrics.record_first_token(self.class, wait);
        } else {
            self.longest_gap = self.longest_gap.max(Some(wait));
            self.shared.metrics.record_next_token(self.class, wait);
        }
    }

    /// Records the end of the request; one whose caller left counts for no objective.
    pub(crate) fn record_end(self, outcome: Outcome) {
        self.shared.metrics.record_request(self.class, outcome);
        if !self.counts_for_objectives || outcome == Outcome::CallerLeft {
            return;
        }
        let sample = Sample {
            account: self.account,
            class: self.class,
            answered: outcome == Outcome::Complete,
            first_token: self.first_token,
            longest_gap: self.longest_gap,
            total_time: self.arrived.elapsed(),
            stall: self.decision_wait,
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

    /// Records and logs the end of the request by a refusal.
    pub(crate) fn record_refusal(self, request: &ParsedRequest, refusal: &Refusal) {
        emit!(self.shared.log, info, Refused;
            "request" => &*request.id, "adapter" => %request.adapter, "refusal" => %refusal);
        let outcome = match refusal.certainty {
            Certainty::NotRun => Outcome::NotRun,
            Certainty::InDoubt => Outcome::InDoubt,
        };
        self.record_end(outcome);
    }
}
