//! A model of a zone with three instances and one replica that advances in fixed time steps, for
//! exhaustive and random search. The nodes use and evict every load that their permission allows.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_members::{
    EndpointInfo, Heartbeat, Identity, ListedMember, MemberEvent, MemberSettings, Members,
    Permission,
};
use caraway_types::{EndpointId, FencingToken, Millis};

/// Duration of a step; the lease is four steps and the guard three.
pub(crate) const STEP: Duration = Duration::from_millis(500);
/// Maximum number of steps that an order takes, unless a fault delays it.
const ORDER_STEPS: u32 = 3;
/// Number of steps for which instances alternately use their loads and leave them idle; an idle
/// phase is as long as inherited loads must be idle before they are evicted.
const USE_STEPS: u32 = 3;
/// Number of steps from the loss of the replica until the last request ends.
const DRAIN_STEPS: u32 = 6;
/// Number of steps without contact after which the list drops an instance.
const LIST_TIMEOUT_STEPS: u32 = 4;
const NODES: usize = 3;

/// A safeguard of the protocol that can be disabled, to show that the search finds a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// All safeguards are enabled.
    None,
    /// The engine does not check tokens although the settings say that it does.
    EngineCheck,
    /// Nodes use every load on the engine, whatever [`Members::usable`] returns.
    UsableCheck,
    /// Nodes evict inherited loads, whatever [`Members::may_evict_inherited`] returns.
    EvictionCheck,
    /// Nodes use loads however long they were idle, ignoring [`Members::idle_limit`].
    IdleLimit,
    /// Nodes assume full permission from acquiring the replica until losing it.
    Permission,
}

/// Settings of a search.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) settings: MemberSettings,
    /// Whether the settings say that the engine checks fencing tokens.
    pub(crate) checks_fencing: bool,
    pub(crate) disabled: Safeguard,
}

impl Setup {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        let settings = MemberSettings {
            beat: Millis::new(500),
            beat_rate: 100,
            lease: Millis::new(2_000),
            guard: Millis::new(1_500),
            idle: Millis::new(2_000),
            ..MemberSettings::default()
        };
        Self {
            settings,
            checks_fencing,
            disabled: Safeguard::None,
        }
    }

    pub(crate) fn without(self, disabled: Safeguard) -> Self {
        Self { disabled, ..self }
    }

    fn engine_checks(&self) -> bool {
        self.checks_fencing && self.disabled != Safeguard::EngineCheck
    }

    fn is_disabled(&self, safeguard: Safeguard) -> bool {
        self.disabled == safeguard
    }
}

/// A fault or a request to leave, applied at the start of a step. Instances are numbered from 0,
/// and durations are in steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Fault {
    /// Pauses an instance for some steps.
    Pause(usize, u32),
    /// Loses all messages between two instances for some steps.
    Partition(usize, usize, u32),
    /// Loses the messages from one instance to another for some steps.
    PartitionOneWay(usize, usize, u32),
    /// Delays the heartbeats that an instance sends in this step.
    DelayHeartbeats(usize, u32),
    /// Delays the orders that an instance sends in this step.
    DelayOrders(usize, u32),
    /// Disconnects an instance from its peers and the list for some steps.
    Isolate(usize, u32),
    /// Kills an instance.
    Kill(usize),
    /// Starts a new incarnation of an instance, whether it was killed or is running.
    Restart(usize),
    /// Requests an instance to leave.
    Leave(usize),
    /// Makes the list drop a live instance.
    Delist(usize),
    /// Makes the list permanently unavailable.
    ListOutage,
    /// Restarts the engine, which loses its loads and the largest token it has seen.
    EngineRestart,
}

/// A load on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Load {
    /// The token of the holder that ordered it.
    fence: FencingToken,
    /// Distinguishes the loads of one holder; never used twice.
    number: u32,
    /// Whether that holder serves with it; otherwise it loads it only to evict it again.
    serving: bool,
}

/// One instance, and what the program around its [`Members`] would keep.
#[derive(Clone, Debug, Hash)]
struct Node {
    members: Members,
    alive: bool,
    paused_until: u32,
    /// Step until which it has no contact with the list.
    offline_until: u32,
    /// Step of its last contact with the list.
    last_seen: u32,
    incarnation: u64,
    /// The loads that its requests use.
    pins: BTreeSet<Load>,
    /// Step in which it lost the replica, until it has drained.
    lost_at: Option<u32>,
    held: bool,
    /// Number of loads that it has ordered.
    loads: u32,
    /// Last step in which it had full permission, until the orders of that time are finished.
    last_full: Option<u32>,
}

#[derive(Clone, Debug, Hash)]
struct Message {
    /// Step from which it can be delivered.
    at: u32,
    to: usize,
    heartbeat: Arc<Heartbeat>,
}

#[derive(Clone, Copy, Debug, Hash)]
struct Order {
    /// Step in which the engine executes it.
    at: u32,
    from: usize,
    incarnation: u64,
    fence: FencingToken,
    load: Load,
    /// Whether it unloads `load`; otherwise it loads it.
    unload: bool,
}

/// The state of the whole model.
#[derive(Clone, Debug, Hash)]
pub(crate) struct World {
    pub(crate) step: u32,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    /// Step until which messages from one instance to another are lost.
    partitions: BTreeMap<(usize, usize), u32>,
    /// Steps by which an instance's heartbeats in this step are delayed.
    heartbeat_delays: BTreeMap<usize, u32>,
    /// Steps by which an instance's orders in this step are delayed.
    order_delays: BTreeMap<usize, u32>,
    orders: Vec<Order>,
    /// The loads on the engine, each with the step in which it was last used.
    loads: BTreeMap<Load, u32>,
    /// Largest token that the engine has seen.
    max_fence: FencingToken,
    /// Instance and incarnation that issued each token.
    issuers: BTreeMap<FencingToken, (usize, u64)>,
    listed: [bool; NODES],
    /// Live instances that a fault has removed from the list.
    delisted: [bool; NODES],
    list_outage: bool,
    pub(crate) evictions: u32,
    pub(crate) refused: u32,
}

/// Returns the time of step 0, the same for all worlds of a process; only differences matter.
pub(crate) fn start() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *START.get_or_init(Instant::now)
}

fn replica() -> EndpointId {
    "engine".into()
}

fn name(node: usize) -> Arc<str> {
    ["a", "b", "c"][node].into()
}

impl World {
    /// Returns a zone that has run without faults until the replica has a holder with full
    /// permission.
    pub(crate) fn with_holder(setup: &Setup) -> Self {
        let mut world = Self {
            step: 0,
            nodes: (0..NODES).map(|n| Node::new(setup, n, 1, 0)).collect(),
            messages: Vec::new(),
            partitions: BTreeMap::new(),
            heartbeat_delays: BTreeMap::new(),
            order_delays: BTreeMap::new(),
            orders: Vec::new(),
            loads: BTreeMap::new(),
            max_fence: 0,
            issuers: BTreeMap::new(),
            listed: [true; NODES],
            delisted: [false; NODES],
            list_outage: false,
            evictions: 0,
            refused: 0,
        };
        for _ in 0..16 {
            world.advance(setup, &[]).expect("no fault, no violation");
        }
        assert!(world.holder().is_some(), "the replica has a holder");
        world.step = 16;
        world
    }

    /// Returns the node with full permission, if any.
    pub(crate) fn holder(&self) -> Option<usize> {
        (0..NODES).find(|n| self.permission(*n) == Permission::Full)
    }

    /// Returns how many live instances may serve and load.
    pub(crate) fn serving(&self) -> usize {
        (0..NODES)
            .filter(|n| self.permission(*n) >= Permission::LoadOnly)
            .count()
    }

    /// Runs one step.
    ///
    /// # Errors
    ///
    /// Returns a description of the violated invariant.
    pub(crate) fn advance(&mut self, setup: &Setup, faults: &[Fault]) -> Result<(), String> {
        self.step += 1;
        for fault in faults {
            self.apply(setup, *fault);
        }
        self.update_list();
        self.record_use();
        self.execute_orders(setup)?;
        for n in 0..NODES {
            if self.is_running(n) {
                self.run_node(setup, n);
            }
        }
        self.execute_orders(setup)?;
        self.check_permissions(setup)
    }

    fn record_use(&mut self) {
        let step = self.step;
        for (load, used) in &mut self.loads {
            if self.nodes.iter().any(|n| n.pins.contains(load)) {
                *used = step;
            }
        }
    }

    fn now(&self) -> Instant {
        start() + STEP * self.step
    }

    fn is_running(&self, n: usize) -> bool {
        self.nodes[n].alive && self.nodes[n].paused_until <= self.step
    }

    fn is_online(&self, n: usize) -> bool {
        self.nodes[n].offline_until <= self.step
    }

    fn permission(&self, n: usize) -> Permission {
        let node = &self.nodes[n];
        if node.alive {
            node.members.permission(self.now(), &replica())
        } else {
            Permission::None
        }
    }

    fn apply(&mut self, setup: &Setup, fault: Fault) {
        let step = self.step;
        match fault {
            Fault::Pause(n, steps) => self.nodes[n].paused_until = step + steps,
            Fault::Partition(a, b, steps) => {
                self.partitions.insert((a, b), step + steps);
                self.partitions.insert((b, a), step + steps);
            }
            Fault::Isolate(n, steps) => {
                for o in (0..NODES).filter(|o| *o != n) {
                    self.partitions.insert((n, o), step + steps);
                    self.partitions.insert((o, n), step + steps);
                }
                self.nodes[n].offline_until = step + steps;
            }
            Fault::PartitionOneWay(a, b, steps) => {
                self.partitions.insert((a, b), step + steps);
            }
            Fault::DelayHeartbeats(n, steps) => {
                self.heartbeat_delays.insert(n, steps);
            }
            Fault::DelayOrders(n, steps) => {
                self.order_delays.insert(n, steps);
            }
            Fault::Kill(n) => {
                self.nodes[n].alive = false;
                self.nodes[n].pins.clear();
            }
            Fault::Restart(n) => {
                let incarnation = self.nodes[n].incarnation + 1;
                self.nodes[n] = Node::new(setup, n, incarnation, step);
                self.delisted[n] = false;
            }
            Fault::Leave(n) if self.is_running(n) => {
                let now = self.now();
                self.nodes[n].members.leave(now);
            }
            Fault::Leave(_) => {}
            Fault::Delist(n) => self.delisted[n] = true,
            Fault::ListOutage => self.list_outage = true,
            Fault::EngineRestart => {
                self.loads.clear();
                self.max_fence = 0;
                self.nodes.iter_mut().for_each(|n| n.pins.clear());
            }
        }
    }

    fn update_list(&mut self) {
        for n in 0..NODES {
            if self.is_running(n) && self.is_online(n) {
                self.nodes[n].last_seen = self.step;
                self.listed[n] = !self.delisted[n];
            } else if self.step - self.nodes[n].last_seen > LIST_TIMEOUT_STEPS {
                self.listed[n] = false;
            }
        }
    }

    fn listing(&self) -> Vec<ListedMember> {
        let member = |n: usize| ListedMember {
            id: name(n),
            zone: "z".into(),
            incarnation: 1,
            leaving: false,
            endpoint: false,
        };
        (0..NODES).filter(|n| self.listed[*n]).map(member).collect()
    }

    fn run_node(&mut self, setup: &Setup, n: usize) {
        self.deliver(n);
        let now = self.now();
        if !self.list_outage && self.is_online(n) {
            let listing = self.listing();
            self.nodes[n].members.on_listing(now, &listing);
        }
        for fence in self.reported_fences(setup) {
            self.nodes[n].members.on_fence(now, &replica(), fence);
        }
        let events = self.nodes[n].members.tick(now);
        for event in events {
            self.on_event(n, &event);
        }
        self.report_finished(n);
        self.act(setup, n);
        self.send_heartbeats(n);
    }

    /// Returns the tokens that the engine's report contains.
    fn reported_fences(&self, setup: &Setup) -> BTreeSet<FencingToken> {
        let max_fence = setup.checks_fencing.then_some(self.max_fence);
        let fences = self.loads.keys().map(|l| l.fence);
        fences.chain(max_fence).collect()
    }

    fn deliver(&mut self, n: usize) {
        let (now, step) = (self.now(), self.step);
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |m| m.to == n && m.at <= step)
            .collect();
        for message in due {
            self.nodes[n].members.on_heartbeat(now, &message.heartbeat);
        }
    }

    fn on_event(&mut self, n: usize, event: &MemberEvent) {
        let node = &mut self.nodes[n];
        match event {
            MemberEvent::Acquired { fence, .. } => {
                node.held = true;
                node.lost_at = None;
                let issuer = (n, node.incarnation);
                let known = self.issuers.insert(*fence, issuer);
                assert!(known.is_none(), "token {fence:x} was issued twice");
            }
            MemberEvent::Lost { .. } => {
                node.held = false;
                node.lost_at = Some(self.step);
            }
            _ => {}
        }
    }

    /// After a loss, reports to `Members` that the orders are finished once none is in flight, and
    /// that the requests are some steps later.
    fn report_finished(&mut self, n: usize) {
        let now = self.now();
        let in_flight = self
            .orders
            .iter()
            .any(|o| o.from == n && o.incarnation == self.nodes[n].incarnation);
        let node = &mut self.nodes[n];
        let Some(lost) = node.lost_at else {
            return;
        };
        if in_flight {
            return;
        }
        node.last_full = None;
        node.members.on_orders_done(now, &replica());
        if self.step >= lost + DRAIN_STEPS {
            node.pins.clear();
            node.lost_at = None;
            node.members.on_drained(now, &replica());
        }
    }

    /// Uses and evicts every load that the node may use or evict.
    fn act(&mut self, setup: &Setup, n: usize) {
        let permission = if !setup.is_disabled(Safeguard::Permission) {
            self.permission(n)
        } else if self.nodes[n].held {
            Permission::Full
        } else {
            Permission::None
        };
        let Some(fence) = self.nodes[n].members.fence(&replica()) else {
            return;
        };
        if permission == Permission::None {
            return;
        }
        let may_use = |l: &Load| {
            let any = setup.is_disabled(Safeguard::UsableCheck);
            let usable = self.nodes[n].members.usable(&replica(), l.fence);
            any || usable && (l.fence != fence || l.serving)
        };
        let limit = self.nodes[n].members.idle_limit(self.now(), &replica());
        let is_recent = |used: u32| {
            let idle = STEP * (self.step - used);
            setup.is_disabled(Safeguard::IdleLimit) || limit.is_none_or(|l| idle <= l)
        };
        let in_use = (self.step / USE_STEPS).is_multiple_of(2);
        let loads = self
            .loads
            .iter()
            .filter(|(l, used)| may_use(l) && is_recent(**used));
        let pins = loads.map(|(l, _)| *l).filter(|_| in_use).collect();
        self.nodes[n].pins = pins;
        if !self.has_load(n, fence) {
            let load = self.new_load(n, fence, true);
            self.order(n, fence, load, false);
        }
        if permission == Permission::Full {
            self.evict(setup, n, fence);
        }
    }

    fn new_load(&mut self, n: usize, fence: FencingToken, serving: bool) -> Load {
        self.nodes[n].loads += 1;
        Load {
            fence,
            number: self.nodes[n].loads,
            serving,
        }
    }

    /// Returns whether a holder has a load to serve with, or has ordered one.
    fn has_load(&self, n: usize, fence: FencingToken) -> bool {
        let own = |l: &Load| l.fence == fence && l.serving;
        let ordered = |o: &Order| o.from == n && !o.unload && own(&o.load);
        self.loads.keys().any(own) || self.orders.iter().any(ordered)
    }

    /// Orders one new load to evict later, and evicts the node's own loads that it does not serve
    /// with and the inherited loads that it may evict, once they are idle.
    fn evict(&mut self, setup: &Setup, n: usize, fence: FencingToken) {
        let may_evict_inherited = self.nodes[n]
            .members
            .may_evict_inherited(self.now(), &replica());
        let unchecked = |l: &Load| setup.is_disabled(Safeguard::EvictionCheck) && l.fence != fence;
        let idle_limit = setup.settings.idle.get();
        let idle = |used: u32| STEP * (self.step - used) >= idle_limit;
        let spare = |l: &Load| l.fence == fence && !l.serving;
        let evictable = |l: &Load, used: u32| l.fence != fence && may_evict_inherited && idle(used);
        let may_unload = |l: &Load, used: u32| spare(l) || unchecked(l) || evictable(l, used);
        let loads = self.loads.iter().filter(|(l, used)| may_unload(l, **used));
        let targets: Vec<Load> = loads.map(|(l, _)| *l).collect();
        let new_load = self.new_load(n, fence, false);
        self.order(n, fence, new_load, false);
        for load in targets {
            self.nodes[n].pins.remove(&load);
            self.order(n, fence, load, true);
        }
    }

    fn order(&mut self, n: usize, fence: FencingToken, load: Load, unload: bool) {
        let delay = self.order_delays.get(&n).copied().unwrap_or(0);
        let order = Order {
            at: self.step + delay,
            from: n,
            incarnation: self.nodes[n].incarnation,
            fence,
            load,
            unload,
        };
        self.orders.push(order);
    }

    fn execute_orders(&mut self, setup: &Setup) -> Result<(), String> {
        let step = self.step;
        let due: Vec<Order> = self.orders.extract_if(.., |o| o.at <= step).collect();
        for order in due {
            self.execute(setup, order)?;
        }
        Ok(())
    }

    fn execute(&mut self, setup: &Setup, order: Order) -> Result<(), String> {
        if setup.engine_checks() && order.fence < self.max_fence {
            self.refused += 1;
            return Ok(());
        }
        if setup.checks_fencing && order.fence < self.max_fence {
            return Err(format!(
                "stale order executed on a checking engine: {order:?}"
            ));
        }
        self.max_fence = self.max_fence.max(order.fence);
        if !order.unload {
            self.loads.entry(order.load).or_insert(self.step);
            return Ok(());
        }
        let pinned = |(n, node): (usize, &Node)| n != order.from && node.pins.contains(&order.load);
        if self.nodes.iter().enumerate().any(pinned) {
            return Err(format!("pinned load unloaded: {order:?}"));
        }
        self.evictions += u32::from(self.loads.remove(&order.load).is_some());
        Ok(())
    }

    fn send_heartbeats(&mut self, n: usize) {
        let now = self.now();
        let delay = self.heartbeat_delays.remove(&n).unwrap_or(0);
        self.order_delays.remove(&n);
        let due = self.nodes[n].members.due_peers(now);
        for peer in due {
            let heartbeat = Arc::new(self.nodes[n].members.heartbeat_to(now, &peer));
            let to = (0..NODES).find(|o| name(*o) == peer).expect("a node");
            let is_cut = self
                .partitions
                .get(&(n, to))
                .is_some_and(|end| *end > self.step);
            if !is_cut {
                let at = self.step + delay;
                self.messages.push(Message { at, to, heartbeat });
            }
        }
    }

    /// Checks that on an engine that does not check tokens, no two instances can have eviction
    /// orders in flight, even if a paused instance acted now.
    fn check_permissions(&mut self, setup: &Setup) -> Result<(), String> {
        let (now, step) = (self.now(), self.step);
        for node in self.nodes.iter_mut().filter(|n| n.alive) {
            let permission = node.members.permission(now, &replica());
            let may_evict = permission == Permission::Full
                || setup.is_disabled(Safeguard::Permission) && node.held;
            if may_evict {
                node.last_full = Some(step);
            }
        }
        let recent = |n: &&Node| n.last_full.is_some_and(|at| at + ORDER_STEPS >= step);
        let evicting = self.nodes.iter().filter(recent).count();
        if setup.checks_fencing || evicting < 2 {
            return Ok(());
        }
        let last: Vec<_> = self.nodes.iter().map(|n| n.last_full).collect();
        Err(format!("two instances may evict at step {step}: {last:?}"))
    }
}

impl Node {
    fn new(setup: &Setup, n: usize, incarnation: u64, step: u32) -> Self {
        let identity = Identity {
            id: name(n),
            zone: "z".into(),
            incarnation,
        };
        let engine = EndpointInfo {
            id: replica(),
            zone: "z".into(),
            checks_fencing: setup.checks_fencing,
        };
        let now = start() + STEP * step;
        Self {
            members: Members::new(identity, setup.settings.clone(), vec![engine], now),
            alive: true,
            paused_until: 0,
            offline_until: 0,
            last_seen: step,
            incarnation,
            pins: BTreeSet::new(),
            lost_at: None,
            held: false,
            loads: 0,
            last_full: None,
        }
    }
}
