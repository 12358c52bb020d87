//! The control thread: owns the [`Node`] and carries its outputs out.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
};

use caraway_node::{AttemptOutcome, Input, Node, Output};
use caraway_ring::{Receiver, Sender};
use caraway_types::{EndpointId, FencingToken, LoadName, Ticket};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    events::emit,
    orders::{Action, Order},
    peers::Beat,
    shared::{Control, Shared, Verdict},
};

/// The control thread's state.
pub(crate) struct ControlThread {
    shared: Arc<Shared>,
    node: Node,
    inbox: Receiver<Control>,
    orders: Sender<Order>,
    beats: Sender<Beat>,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    outputs: Vec<Output>,
    /// When the inputs were taken that the outputs follow from, at the earliest.
    decided: std::time::Instant,
}

impl ControlThread {
    /// Joins the node with the rings.
    pub(crate) fn new(
        shared: Arc<Shared>,
        node: Node,
        inbox: Receiver<Control>,
        orders: Sender<Order>,
        beats: Sender<Beat>,
    ) -> Self {
        Self {
            shared,
            node,
            inbox,
            orders,
            beats,
            waiting: HashMap::new(),
            outputs: Vec::new(),
            decided: Instant::now().into_std(),
        }
    }

    /// Decides until told to stop.
    pub(crate) async fn run(mut self) {
        let mut tick = tokio::time::interval(self.shared.settings.times.tick_ms.get());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = self.inbox.recv() => message,
                _ = tick.tick() => Some(Control::Input(Input::Tick)),
            };
            let ticked = matches!(message, Some(Control::Input(Input::Tick)));
            match message {
                None | Some(Control::Stop) => return,
                Some(message) => self.take(message),
            }
            self.carry_out();
            if ticked {
                self.publish();
            }
        }
    }

    /// Lets the other threads see what the node knows of itself; once a tick, as it looks at every
    /// replica of the zone.
    fn publish(&self) {
        let now = Instant::now().into_std();
        let ready = self.node.is_ready(now);
        self.shared.ready.store(ready, Ordering::Release);
        let handed_over = self.node.handed_over();
        self.shared
            .handed_over
            .store(handed_over, Ordering::Release);
    }

    fn take(&mut self, message: Control) {
        let now = Instant::now().into_std();
        self.decided = now;
        match message {
            Control::Submit(submission, reply) => {
                self.waiting.insert(submission.ticket, reply);
                self.node
                    .handle(now, Input::Submit(submission), &mut self.outputs);
            }
            Control::Again(ticket, done, reply) => {
                self.waiting.insert(ticket, reply);
                self.node
                    .handle(now, Input::Finished(ticket, done), &mut self.outputs);
            }
            Control::Input(input) => {
                if let Input::Cancel(ticket) = input {
                    self.waiting.remove(&ticket);
                }
                self.node.handle(now, input, &mut self.outputs);
            }
            Control::Config(state) => self.node.set_config(now, state, &mut self.outputs),
            Control::Stop => {}
        }
    }

    /// Carries outputs out, and those that this leads to.
    fn carry_out(&mut self) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out_one(output);
            }
        }
    }

    fn carry_out_one(&mut self, output: Output) {
        match output {
            Output::Start {
                ticket,
                attempt,
                endpoint,
                load,
            } => self.answer(
                ticket,
                Verdict::Start {
                    attempt,
                    endpoint,
                    load,
                },
            ),
            Output::Forward { ticket, peer } => self.answer(ticket, Verdict::Forward(peer)),
            Output::Refuse { ticket, refusal } => self.answer(ticket, Verdict::Refuse(refusal)),
            Output::Cancel { ticket } => {
                // The handler is gone and its connection with it, which cancels the attempt.
                self.waiting.remove(&ticket);
                let now = Instant::now().into_std();
                let input = Input::Finished(ticket, AttemptOutcome::Cancelled);
                self.node.handle(now, input, &mut self.outputs);
            }
            Output::Load {
                endpoint,
                load,
                adapter,
                fence,
            } => self.order(endpoint, load, fence, Action::Load(adapter)),
            Output::Unload {
                endpoint,
                load,
                fence,
            } => self.order(endpoint, load, fence, Action::Unload),
            Output::Gossip { peer, gossip } => {
                if self.beats.push(Beat { peer, gossip }).is_err() {
                    emit!(self.shared.log, warn, RingFull; "ring" => "peers");
                }
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        let started = matches!(verdict, Verdict::Start { .. } | Verdict::Forward(_));
        let heard = match self.waiting.remove(&ticket) {
            Some(reply) => reply.send(verdict).is_ok(),
            None => false,
        };
        if started && !heard {
            // The caller left while the verdict was on its way.
            let now = Instant::now().into_std();
            self.node
                .handle(now, Input::Cancel(ticket), &mut self.outputs);
        }
    }

    /// Passes an order on; one that finds no place did not reach the engine.
    fn order(&mut self, endpoint: EndpointId, load: LoadName, fence: FencingToken, action: Action) {
        let order = Order {
            endpoint,
            load,
            fence,
            decided: self.decided,
            action,
        };
        if let Err(caraway_ring::Full(order)) = self.orders.push(order) {
            emit!(self.shared.log, warn, RingFull; "ring" => "orders");
            let now = Instant::now().into_std();
            self.node.handle(now, order.not_sent(), &mut self.outputs);
        }
    }
}
