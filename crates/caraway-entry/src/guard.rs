//! [`RequestGuard`] reports the end of a request to the node exactly once, however its handler
//! ends.

use std::sync::{Arc, atomic::Ordering};

use caraway_node::{AttemptOutcome, Input, Submission};
use caraway_types::{Reason, Refusal, Ticket};
use tokio::sync::oneshot;

use crate::{
    events::emit,
    shared::{ControlMessage, RoutingDecision, Shared},
};

/// Counts a request as in flight while it lives. Dropping it before [`Self::finish`] cancels the
/// request.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    /// Whether the node still waits for the end of the request.
    open: bool,
}

impl RequestGuard {
    /// Submits a request and waits for the decision.
    pub(crate) async fn submit(
        shared: &Arc<Shared>,
        submission: Submission,
    ) -> (Self, RoutingDecision) {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        let mut guard = Self {
            shared: Arc::clone(shared),
            ticket: submission.ticket,
            open: true,
        };
        let (reply, decision) = oneshot::channel();
        let decision = guard
            .request_decision(ControlMessage::Submit(submission, reply), decision)
            .await;
        (guard, decision)
    }

    /// Reports how an attempt without a complete answer ended, and waits for another decision.
    pub(crate) async fn retry(&mut self, outcome: AttemptOutcome) -> RoutingDecision {
        let (reply, decision) = oneshot::channel();
        let message = ControlMessage::Retry(self.ticket, outcome, reply);
        self.request_decision(message, decision).await
    }

    /// Reports how the request ended.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(Input::Finished(self.ticket, outcome));
    }

    async fn request_decision(
        &mut self,
        message: ControlMessage,
        decision: oneshot::Receiver<RoutingDecision>,
    ) -> RoutingDecision {
        let sent = self.shared.rings.control.push(message).is_ok();
        let decision = if sent { decision.await.ok() } else { None };
        let decision = decision.unwrap_or_else(|| {
            emit!(self.shared.log, warn, RingFull; "ring" => "control");
            RoutingDecision::Refuse(Refusal::not_run(
                Reason::QueueFull,
                "the instance is overloaded",
            ))
        });
        if let RoutingDecision::Refuse(_) = decision {
            // The node keeps no state of a request that it refused, so no end must be reported.
            self.open = false;
        }
        decision
    }

    fn end(&mut self, input: Input) {
        if self.open {
            self.open = false;
            self.send(input);
        }
    }

    /// Sends the end of the request to the control thread, retrying while the ring is full. If it
    /// were lost, the request's adapter would stay pinned forever.
    fn send(&self, input: Input) {
        let mut message = ControlMessage::Input(input);
        while let Err(caraway_ring::PushError(returned)) = self.shared.rings.control.push(message) {
            if self.shared.rings.control.is_closed() {
                return;
            }
            message = returned;
            std::thread::yield_now();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end(Input::Cancel(self.ticket));
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
