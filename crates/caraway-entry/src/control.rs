//! The control thread: owns the [`Node`], feeds it inputs and executes its outputs.

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
    peers::OutgoingGossip,
    shared::{ControlMessage, RoutingDecision, Shared},
};

/// The control thread's state.
pub(crate) struct ControlThread {
    shared: Arc<Shared>,
    node: Node,
    inbox: Receiver<ControlMessage>,
    orders: Sender<Order>,
    gossip: Sender<OutgoingGossip>,
    pending: HashMap<Ticket, oneshot::Sender<RoutingDecision>>,
    outputs: Vec<Output>,
    /// When the message was received that led to the current outputs. Orders carry this time, so
    /// that one delayed by a pause of the process is not sent after its permission may have
    /// expired.
    decided_at: std::time::Instant,
}

impl ControlThread {
    /// Creates the thread's state from the node, the inbox and the rings to other threads.
    pub(crate) fn new(
        shared: Arc<Shared>,
        node: Node,
        inbox: Receiver<ControlMessage>,
        orders: Sender<Order>,
        gossip: Sender<OutgoingGossip>,
    ) -> Self {
        Self {
            shared,
            node,
            inbox,
            orders,
            gossip,
            pending: HashMap::new(),
            outputs: Vec::new(),
            decided_at: Instant::now().into_std(),
        }
    }

    /// Handles messages and ticks until [`ControlMessage::Stop`] arrives or the ring is closed.
    pub(crate) async fn run(mut self) {
        let mut tick = tokio::time::interval(self.shared.settings.times.tick_ms.get());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = self.inbox.recv() => message,
                _ = tick.tick() => Some(ControlMessage::Input(Input::Tick)),
            };
            let ticked = matches!(message, Some(ControlMessage::Input(Input::Tick)));
            match message {
                None | Some(ControlMessage::Stop) => return,
                Some(message) => self.on_message(message),
            }
            self.execute_outputs();
            if ticked {
                self.publish_status();
            }
        }
    }

    /// Publishes the node's readiness and hand-over status to the other threads. Called only on
    /// ticks, because it checks every replica of the zone.
    fn publish_status(&self) {
        let now = Instant::now().into_std();
        let ready = self.node.is_ready(now);
        self.shared.ready.store(ready, Ordering::Release);
        let handed_over = self.node.handed_over();
        self.shared
            .handed_over
            .store(handed_over, Ordering::Release);
    }

    fn on_message(&mut self, message: ControlMessage) {
        let now = Instant::now().into_std();
        self.decided_at = now;
        match message {
            ControlMessage::Submit(submission, reply) => {
                self.pending.insert(submission.ticket, reply);
                self.node
                    .handle(now, Input::Submit(submission), &mut self.outputs);
            }
            ControlMessage::Retry(ticket, outcome, reply) => {
                self.pending.insert(ticket, reply);
                self.node
                    .handle(now, Input::Finished(ticket, outcome), &mut self.outputs);
            }
            ControlMessage::Input(input) => {
                if let Input::Cancel(ticket) = input {
                    self.pending.remove(&ticket);
                }
                self.node.handle(now, input, &mut self.outputs);
            }
            ControlMessage::Config(state) => self.node.set_config(now, state, &mut self.outputs),
            ControlMessage::Stop => {}
        }
    }

    /// Executes the outputs, and the further outputs that doing so leads to.
    fn execute_outputs(&mut self) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.execute_output(output);
            }
        }
    }

    fn execute_output(&mut self, output: Output) {
        match output {
            Output::Start {
                ticket,
                attempt,
                endpoint,
                load,
            } => self.send_decision(
                ticket,
                RoutingDecision::Start {
                    attempt,
                    endpoint,
                    load,
                },
            ),
            Output::Forward { ticket, peer } => {
                self.send_decision(ticket, RoutingDecision::Forward(peer));
            }
            Output::Refuse { ticket, refusal } => {
                self.send_decision(ticket, RoutingDecision::Refuse(refusal));
            }
            Output::Cancel { ticket } => {
                // The request's handler was dropped with its connection to the engine, which
                // cancels the attempt.
                self.pending.remove(&ticket);
                let now = Instant::now().into_std();
                let input = Input::Finished(ticket, AttemptOutcome::Cancelled);
                self.node.handle(now, input, &mut self.outputs);
            }
            Output::Load {
                endpoint,
                load,
                adapter,
                fence,
            } => self.queue_order(endpoint, load, fence, Action::Load(adapter)),
            Output::Unload {
                endpoint,
                load,
                fence,
            } => self.queue_order(endpoint, load, fence, Action::Unload),
            Output::Gossip { peer, gossip } => {
                if self.gossip.push(OutgoingGossip { peer, gossip }).is_err() {
                    emit!(self.shared.log, warn, RingFull; "ring" => "peers");
                }
            }
        }
    }

    fn send_decision(&mut self, ticket: Ticket, decision: RoutingDecision) {
        let started = matches!(
            decision,
            RoutingDecision::Start { .. } | RoutingDecision::Forward(_)
        );
        let delivered = match self.pending.remove(&ticket) {
            Some(reply) => reply.send(decision).is_ok(),
            None => false,
        };
        if started && !delivered {
            // The caller left before the decision reached its handler.
            let now = Instant::now().into_std();
            self.node
                .handle(now, Input::Cancel(ticket), &mut self.outputs);
        }
    }

    /// Queues an order for the orders thread. When the ring is full, reports the order to the node
    /// as not sent.
    fn queue_order(
        &mut self,
        endpoint: EndpointId,
        load: LoadName,
        fence: FencingToken,
        action: Action,
    ) {
        let order = Order {
            endpoint,
            load,
            fence,
            decided_at: self.decided_at,
            action,
        };
        if let Err(caraway_ring::PushError(order)) = self.orders.push(order) {
            emit!(self.shared.log, warn, RingFull; "ring" => "orders");
            let now = Instant::now().into_std();
            self.node
                .handle(now, order.into_not_sent(), &mut self.outputs);
        }
    }
}
