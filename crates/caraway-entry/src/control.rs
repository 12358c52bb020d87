//! The control thread: owns the [`Node`], feeds it inputs and executes its outputs.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
};

use caraway_node::{Done, Input, Node, Output};
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
    /// When the message was received that led to the current outputs. Orders carry this time, so
    /// that one delayed by a pause of the process is not sent after its permission may have expired.
    decided: std::time::Instant,
}

impl ControlThread {
    /// Creates the thread's state from the node, the inbox and the rings to other threads.
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

    /// Handles messages and ticks until [`Control::Stop`] arrives or the ring is closed.
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

    /// Publishes the node's readiness and hand-over status to the other threads. Called only on
    /// ticks, because it checks every replica of the zone.
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

    /// Executes the outputs, and the further outputs that doing so leads to.
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
            Output::Stop { ticket } => {
                // The request's handler was dropped with its connection to the engine, which cancels
                // the attempt.
                self.waiting.remove(&ticket);
                let now = Instant::now().into_std();
                let input = Input::Finished(ticket, Done::Cancelled);
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
            // The caller left before the verdict reached its handler.
            let now = Instant::now().into_std();
            self.node
                .handle(now, Input::Cancel(ticket), &mut self.outputs);
        }
    }

    /// Queues an order for the orders thread. When the ring is full, reports the order to the node as
    /// not sent.
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
