//! A zone of three instances and one replica in abstract time steps, for exhaustive and random
//! search. Nodes do the worst that their rights allow.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_members::{
    EndpointInfo, Heartbeat, ListedMember, Me, MemberEvent, MemberSettings, Members, Right,
};
use caraway_types::{EndpointId, FencingToken, Millis};

/// Length of a step; the lease is four steps and the guard three.
pub(crate) const STEP: Duration = Duration::from_millis(500);
/// Steps that an order takes at most, unless the network holds it back.
const ORDER_STEPS: u32 = 3;
/// Steps for which instances use their loads, and then do not, in turn; loads are then idle as
/// long as loads of others must be before they are evicted.
const BUSY_STEPS: u32 = 3;
/// Steps from when an instance stops to serve until its last request ends.
const DRAIN_STEPS: u32 = 6;
/// Steps without a sign of an instance after which the list drops it.
const LIST_STEPS: u32 = 4;
const NODES: usize = 3;

/// Part of the mechanism that a search can do without, to see it find a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Without {
    /// Nothing is left out.
    Nothing,
    /// The engine checks no tokens although the settings say so.
    EngineCheck,
    /// Nodes use every load on the engine.
    Usable,
    /// Nodes evict loads of others without asking.
    Cleared,
    /// Nodes use loads however long they were idle.
    IdleLimit,
    /// Nodes ask for their right only when they acquire.
    Right,
}

/// What a search runs.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) settings: MemberSettings,
    /// What the settings say of the engine.
    pub(crate) checks_fencing: bool,
    pub(crate) without: Without,
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
            without: Without::Nothing,
        }
    }

    pub(crate) fn without(self, without: Without) -> Self {
        Self { without, ..self }
    }

    fn engine_checks(&self) -> bool {
        self.checks_fencing && self.without != Without::EngineCheck
    }

    fn lacks(&self, part: Without) -> bool {
        self.without == part
    }
}

/// A fault or a request, applied at the start of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Fault {
    /// Stops an instance for some steps.
    Freeze(usize, u32),
    /// Loses all messages between two instances for some steps.
    Cut(usize, usize, u32),
    /// Loses the messages from one instance to another for some steps.
    CutOneWay(usize, usize, u32),
    /// Delays what an instance sends in this step.
    Delay(usize, u32),
    /// Holds back the orders that an instance gives in this step.
    Stick(usize, u32),
    /// Cuts an instance from its peers and the list for some steps.
    Isolate(usize, u32),
    /// Ends an instance.
    Kill(usize),
    /// Starts an instance anew that was killed, or in place of the running one.
    Restart(usize),
    /// Asks an instance to leave.
    Leave(usize),
    /// Makes the list drop an instance that lives.
    Drop(usize),
    /// Stops the list for good.
    ListOut,
    /// Empties the engine.
    EngineRestart,
}

/// A load on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Load {
    /// The token of the holder that loaded it.
    fence: FencingToken,
    /// Tells the loads of one holder apart; no name comes twice.
    number: u32,
    /// Whether that holder serves with it; otherwise it loads and evicts it in turn.
    serving: bool,
}

/// One instance with what its shell knows.
#[derive(Clone, Debug, Hash)]
struct Node {
    members: Members,
    alive: bool,
    frozen_until: u32,
    offline_until: u32,
    seen: u32,
    incarnation: u64,
    pins: BTreeSet<Load>,
    lost_at: Option<u32>,
    held: bool,
    loads: u32,
    last_full: Option<u32>,
}

#[derive(Clone, Debug, Hash)]
struct Message {
    at: u32,
    to: usize,
    beat: Arc<Heartbeat>,
}

#[derive(Clone, Copy, Debug, Hash)]
struct Order {
    at: u32,
    from: usize,
    incarnation: u64,
    fence: FencingToken,
    load: Load,
    unload: bool,
}

/// The whole state.
#[derive(Clone, Debug, Hash)]
pub(crate) struct World {
    pub(crate) step: u32,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    cuts: BTreeMap<(usize, usize), u32>,
    delays: BTreeMap<usize, u32>,
    sticks: BTreeMap<usize, u32>,
    orders: Vec<Order>,
    /// Each load with when it was last used.
    loads: BTreeMap<Load, u32>,
    max_fence: FencingToken,
    /// Who made each token.
    makers: BTreeMap<FencingToken, (usize, u64)>,
    listed: [bool; NODES],
    /// Whom the list no longer shows although they live.
    banned: [bool; NODES],
    list_out: bool,
    pub(crate) evictions: u32,
    pub(crate) refused: u32,
}

/// Start of the clock; only differences matter.
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
    /// Makes a zone that has run without faults until the replica has a holder with every right.
    pub(crate) fn settled(setup: &Setup) -> Self {
        let mut world = Self {
            step: 0,
            nodes: (0..NODES).map(|n| Node::new(setup, n, 1, 0)).collect(),
            messages: Vec::new(),
            cuts: BTreeMap::new(),
            delays: BTreeMap::new(),
            sticks: BTreeMap::new(),
            orders: Vec::new(),
            loads: BTreeMap::new(),
            max_fence: 0,
            makers: BTreeMap::new(),
            listed: [true; NODES],
            banned: [false; NODES],
            list_out: false,
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

    /// Returns the node with every right, if any.
    pub(crate) fn holder(&self) -> Option<usize> {
        (0..NODES).find(|n| self.right(*n) == Right::Full)
    }

    /// Returns how many live instances may serve and fill.
    pub(crate) fn serving(&self) -> usize {
        (0..NODES).filter(|n| self.right(*n) >= Right::Fill).count()
    }

    /// Runs one step.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub(crate) fn advance(&mut self, setup: &Setup, faults: &[Fault]) -> Result<(), String> {
        self.step += 1;
        for fault in faults {
            self.apply(setup, *fault);
        }
        self.update_list();
        self.note_use();
        self.run_orders(setup)?;
        for n in 0..NODES {
            if self.awake(n) {
                self.run_node(setup, n);
            }
        }
        self.run_orders(setup)?;
        self.check_rights(setup)
    }

    fn note_use(&mut self) {
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

    fn awake(&self, n: usize) -> bool {
        self.nodes[n].alive && self.nodes[n].frozen_until <= self.step
    }

    fn online(&self, n: usize) -> bool {
        self.nodes[n].offline_until <= self.step
    }

    fn right(&self, n: usize) -> Right {
        let node = &self.nodes[n];
        if node.alive {
            node.members.right(self.now(), &replica())
        } else {
            Right::None
        }
    }

    fn apply(&mut self, setup: &Setup, fault: Fault) {
        let step = self.step;
        match fault {
            Fault::Freeze(n, steps) => self.nodes[n].frozen_until = step + steps,
            Fault::Cut(a, b, steps) => {
                self.cuts.insert((a, b), step + steps);
                self.cuts.insert((b, a), step + steps);
            }
            Fault::Isolate(n, steps) => {
                for o in (0..NODES).filter(|o| *o != n) {
                    self.cuts.insert((n, o), step + steps);
                    self.cuts.insert((o, n), step + steps);
                }
                self.nodes[n].offline_until = step + steps;
            }
            Fault::CutOneWay(a, b, steps) => {
                self.cuts.insert((a, b), step + steps);
            }
            Fault::Delay(n, steps) => {
                self.delays.insert(n, steps);
            }
            Fault::Stick(n, steps) => {
                self.sticks.insert(n, steps);
            }
            Fault::Kill(n) => {
                self.nodes[n].alive = false;
                self.nodes[n].pins.clear();
            }
            Fault::Restart(n) => {
                let incarnation = self.nodes[n].incarnation + 1;
                self.nodes[n] = Node::new(setup, n, incarnation, step);
                self.banned[n] = false;
            }
            Fault::Leave(n) if self.awake(n) => {
                let now = self.now();
                self.nodes[n].members.leave(now);
            }
            Fault::Leave(_) => {}
            Fault::Drop(n) => self.banned[n] = true,
            Fault::ListOut => self.list_out = true,
            Fault::EngineRestart => {
                self.loads.clear();
                self.max_fence = 0;
                self.nodes.iter_mut().for_each(|n| n.pins.clear());
            }
        }
    }

    fn update_list(&mut self) {
        for n in 0..NODES {
            if self.awake(n) && self.online(n) {
                self.nodes[n].seen = self.step;
                self.listed[n] = !self.banned[n];
            } else if self.step - self.nodes[n].seen > LIST_STEPS {
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
        if !self.list_out && self.online(n) {
            let listing = self.listing();
            self.nodes[n].members.on_listing(now, &listing);
        }
        for fence in self.reported(setup) {
            self.nodes[n].members.on_fence(now, &replica(), fence);
        }
        let events = self.nodes[n].members.tick(now);
        for event in events {
            self.take_event(n, &event);
        }
        self.finish_loss(n);
        self.act(setup, n);
        self.send_beats(n);
    }

    /// Returns the tokens that the engine's report shows.
    fn reported(&self, setup: &Setup) -> BTreeSet<FencingToken> {
        let kept = setup.checks_fencing.then_some(self.max_fence);
        let names = self.loads.keys().map(|l| l.fence);
        names.chain(kept).collect()
    }

    fn deliver(&mut self, n: usize) {
        let (now, step) = (self.now(), self.step);
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |m| m.to == n && m.at <= step)
            .collect();
        for message in due {
            self.nodes[n].members.on_heartbeat(now, &message.beat);
        }
    }

    fn take_event(&mut self, n: usize, event: &MemberEvent) {
        let node = &mut self.nodes[n];
        match event {
            MemberEvent::Acquired { fence, .. } => {
                node.held = true;
                node.lost_at = None;
                let maker = (n, node.incarnation);
                let known = self.makers.insert(*fence, maker);
                assert!(known.is_none(), "token {fence:x} was made twice");
            }
            MemberEvent::Lost { .. } => {
                node.held = false;
                node.lost_at = Some(self.step);
            }
            _ => {}
        }
    }

    /// Reports the end of orders when none is under way, and of requests some steps later.
    fn finish_loss(&mut self, n: usize) {
        let now = self.now();
        let under_way = self
            .orders
            .iter()
            .any(|o| o.from == n && o.incarnation == self.nodes[n].incarnation);
        let node = &mut self.nodes[n];
        let Some(lost) = node.lost_at else {
            return;
        };
        if under_way {
            return;
        }
        node.last_full = None;
        node.members.orders_done(now, &replica());
        if self.step >= lost + DRAIN_STEPS {
            node.pins.clear();
            node.lost_at = None;
            node.members.drained(now, &replica());
        }
    }

    /// Serves everything that it may, and evicts everything that it may.
    fn act(&mut self, setup: &Setup, n: usize) {
        let right = if !setup.lacks(Without::Right) {
            self.right(n)
        } else if self.nodes[n].held {
            Right::Full
        } else {
            Right::None
        };
        let Some(fence) = self.nodes[n].members.fence(&replica()) else {
            return;
        };
        if right == Right::None {
            return;
        }
        let usable = |l: &Load| {
            let earlier = setup.lacks(Without::Usable);
            let asked = self.nodes[n].members.usable(&replica(), l.fence);
            earlier || asked && (l.fence != fence || l.serving)
        };
        let limit = self.nodes[n].members.idle_limit(self.now(), &replica());
        let fresh = |used: u32| {
            let idle = STEP * (self.step - used);
            setup.lacks(Without::IdleLimit) || limit.is_none_or(|l| idle <= l)
        };
        let wanted = (self.step / BUSY_STEPS).is_multiple_of(2);
        let loads = self
            .loads
            .iter()
            .filter(|(l, used)| usable(l) && fresh(**used));
        let pins = loads.map(|(l, _)| *l).filter(|_| wanted).collect();
        self.nodes[n].pins = pins;
        if !self.serves(n, fence) {
            let load = self.new_load(n, fence, true);
            self.order(n, fence, load, false);
        }
        if right == Right::Full {
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

    /// Tells whether a holder has a load to serve with, or has ordered one.
    fn serves(&self, n: usize, fence: FencingToken) -> bool {
        let own = |l: &Load| l.fence == fence && l.serving;
        let ordered = |o: &Order| o.from == n && !o.unload && own(&o.load);
        self.loads.keys().any(own) || self.orders.iter().any(ordered)
    }

    /// Evicts the own loads that it does not serve with for a new one, and loads of others once cleared and
    /// reported as idle.
    fn evict(&mut self, setup: &Setup, n: usize, fence: FencingToken) {
        let cleared = self.nodes[n].members.cleared(self.now(), &replica());
        let lawless = |l: &Load| setup.lacks(Without::Cleared) && l.fence != fence;
        let idle_limit = setup.settings.idle.get();
        let idle = |used: u32| STEP * (self.step - used) >= idle_limit;
        let spare = |l: &Load| l.fence == fence && !l.serving;
        let free = |l: &Load, used: u32| l.fence != fence && cleared && idle(used);
        let may = |l: &Load, used: u32| spare(l) || lawless(l) || free(l, used);
        let loads = self.loads.iter().filter(|(l, used)| may(l, **used));
        let targets: Vec<Load> = loads.map(|(l, _)| *l).collect();
        let spare = self.new_load(n, fence, false);
        self.order(n, fence, spare, false);
        for load in targets {
            self.nodes[n].pins.remove(&load);
            self.order(n, fence, load, true);
        }
    }

    fn order(&mut self, n: usize, fence: FencingToken, load: Load, unload: bool) {
        let late = self.sticks.get(&n).copied().unwrap_or(0);
        let order = Order {
            at: self.step + late,
            from: n,
            incarnation: self.nodes[n].incarnation,
            fence,
            load,
            unload,
        };
        self.orders.push(order);
    }

    fn run_orders(&mut self, setup: &Setup) -> Result<(), String> {
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

    fn send_beats(&mut self, n: usize) {
        let now = self.now();
        let late = self.delays.remove(&n).unwrap_or(0);
        self.sticks.remove(&n);
        let due = self.nodes[n].members.due(now);
        for peer in due {
            let beat = Arc::new(self.nodes[n].members.heartbeat_to(now, &peer));
            let to = (0..NODES).find(|o| name(*o) == peer).expect("a node");
            let cut = self.cuts.get(&(n, to)).is_some_and(|end| *end > self.step);
            if !cut {
                let at = self.step + late;
                self.messages.push(Message { at, to, beat });
            }
        }
    }

    /// On an engine that does not check, no two instances may have eviction orders under way,
    /// also when a frozen one were to act this instant.
    fn check_rights(&mut self, setup: &Setup) -> Result<(), String> {
        let (now, step) = (self.now(), self.step);
        for node in self.nodes.iter_mut().filter(|n| n.alive) {
            let right = node.members.right(now, &replica());
            let acts = right == Right::Full || setup.lacks(Without::Right) && node.held;
            if acts {
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
        let me = Me {
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
            members: Members::new(me, setup.settings.clone(), vec![engine], now),
            alive: true,
            frozen_until: 0,
            offline_until: 0,
            seen: step,
            incarnation,
            pins: BTreeSet::new(),
            lost_at: None,
            held: false,
            loads: 0,
            last_full: None,
        }
    }
}
