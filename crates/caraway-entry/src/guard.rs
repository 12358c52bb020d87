//! [`Guard`] reports the end of a request to the node exactly once, however its handler ends.

use std::sync::{Arc, atomic::Ordering};

use caraway_node::{Done, Input, Submission};
use caraway_types::{Reason, Refusal, Ticket};
use tokio::sync::oneshot;

use crate::{
    events::emit,
    shared::{Control, Shared, Verdict},
};

/// Counts a request as in flight while it lives. Dropping it before [`Self::finish`] cancels the
/// request.
#[derive(Debug)]
pub(crate) struct Guard {
    shared: Arc<Shared>,
    ticket: Ticket,
    open: bool,
}

impl Guard {
    /// Submits a request and waits for the verdict.
    pub(crate) async fn submit(shared: &Arc<Shared>, submission: Submission) -> (Self, Verdict) {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        let mut guard = Self {
            shared: Arc::clone(shared),
            ticket: submission.ticket,
            open: true,
        };
        let (reply, verdict) = oneshot::channel();
        let verdict = guard.ask(Control::Submit(submission, reply), verdict).await;
        (guard, verdict)
    }

    /// Ends an attempt that did not run and waits for another verdict.
    pub(crate) async fn again(&mut self, done: Done) -> Verdict {
        let (reply, verdict) = oneshot::channel();
        let message = Control::Again(self.ticket, done, reply);
        self.ask(message, verdict).await
    }

    /// Reports how the request ended.
    pub(crate) fn finish(mut self, done: Done) {
        self.close(Input::Finished(self.ticket, done));
    }

    async fn ask(&mut self, message: Control, verdict: oneshot::Receiver<Verdict>) -> Verdict {
        let sent = self.shared.rings.control.push(message).is_ok();
        let verdict = if sent { verdict.await.ok() } else { None };
        let verdict = verdict.unwrap_or_else(|| {
            emit!(self.shared.log, warn, RingFull; "ring" => "control");
            Verdict::Refuse(Refusal::not_run(
                Reason::QueueFull,
                "the instance is overloaded",
            ))
        });
        if let Verdict::Refuse(_) = verdict {
            // The node keeps no state of a request that it refused, so no end must be reported.
            self.open = false;
        }
        verdict
    }

    fn close(&mut self, input: Input) {
        if self.open {
            self.open = false;
            self.push(input);
        }
    }

    /// Sends the end of the request to the control thread, retrying while the ring is full. If it
    /// were lost, the request's adapter would stay pinned for ever.
    fn push(&self, input: Input) {
        let mut message = Control::Input(input);
        while let Err(caraway_ring::Full(back)) = self.shared.rings.control.push(message) {
            if self.shared.rings.control.is_closed() {
                return;
            }
            message = back;
            std::thread::yield_now();
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.close(Input::Cancel(self.ticket));
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
