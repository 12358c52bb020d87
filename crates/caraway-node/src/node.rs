//! [`Node`]: the decisions of one entry instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_slots::{LoadState, Replica, Seen, Snapshot};
use caraway_types::{
    AdapterRef, AttemptId, EndpointId, Fence, InstanceId, LoadName, Reason, Refusal, Ticket, ZoneId,
};

use crate::{
    Done, EndpointKind, EndpointSettings, EngineReport, Gossip, Input, ListedMember, LoadResult,
    NodeSettings, Output, Residents, Submission,
};

/// A load that failed is not tried again before this time is over.
const LOAD_BACKOFF: Duration = Duration::from_millis(500);
/// Fencing token of every order.
const FENCE: Fence = 1;

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Place {
    Waiting,
    Running {
        endpoint: EndpointId,
        load: LoadName,
    },
    Forwarded(InstanceId),
}

#[derive(Clone, Debug)]
struct Job {
    submission: Submission,
    place: Place,
}

#[derive(Clone, Debug)]
struct Engine {
    settings: EndpointSettings,
    replica: Replica,
    running: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    zone: ZoneId,
    heard: Option<Instant>,
    leaving: bool,
    residents: BTreeMap<EndpointId, Vec<AdapterRef>>,
}

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    engines: BTreeMap<EndpointId, Engine>,
    peers: BTreeMap<InstanceId, Peer>,
    jobs: BTreeMap<Ticket, Job>,
    backoff: BTreeMap<AdapterRef, Instant>,
    leaving: bool,
    attempts: AttemptId,
    loads: u64,
    gossiped: Option<Instant>,
}

impl Node {
    /// Makes a node that knows its settings only.
    #[must_use]
    pub fn new(settings: NodeSettings, _now: Instant) -> Self {
        let engines = settings
            .endpoints
            .iter()
            .filter(|e| e.kind == EndpointKind::Engine && e.zone == settings.zone)
            .map(|e| (e.id.clone(), Engine::new(e)))
            .collect();
        Self {
            settings,
            engines,
            peers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            backoff: BTreeMap::new(),
            leaving: false,
            attempts: 0,
            loads: 0,
            gossiped: None,
        }
    }

    /// Takes an input and appends what the shell must do.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(submission) => self.on_submit(submission, out),
            Input::Cancel(ticket) => self.on_cancel(ticket, out),
            Input::Finished(ticket, done) => self.on_finished(now, ticket, done, out),
            Input::Loaded(endpoint, load, result) => {
                self.on_loaded(now, &endpoint, &load, result, out);
            }
            Input::Unloaded(endpoint, load, done) => {
                self.on_unloaded(now, &endpoint, &load, done);
            }
            Input::Report(endpoint, report) => self.on_report(now, &endpoint, &report),
            Input::Gossip(gossip) => self.on_gossip(now, gossip),
            Input::Listing(members) => self.on_listing(&members),
            Input::Tick => {}
            Input::Leave => self.leaving = true,
        }
        self.expire(now, out);
        self.dispatch(now, out);
        self.order_loads(now, out);
        self.gossip(now, out);
    }

    fn on_submit(&mut self, submission: Submission, out: &mut Vec<Output>) {
        let ticket = submission.ticket;
        if self.leaving {
            let refusal = Refusal::not_run(Reason::Leaving, "the instance is stopping");
            out.push(Output::Refuse { ticket, refusal });
            return;
        }
        let place = Place::Waiting;
        self.jobs.insert(ticket, Job { submission, place });
    }

    fn on_cancel(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        match self.jobs.get(&ticket).map(|j| &j.place) {
            Some(Place::Waiting) => {
                self.jobs.remove(&ticket);
            }
            Some(_) => out.push(Output::Stop { ticket }),
            None => {}
        }
    }

    fn on_finished(&mut self, now: Instant, ticket: Ticket, done: Done, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        if let Place::Running { endpoint, load } = &job.place
            && let Some(engine) = self.engines.get_mut(endpoint)
        {
            engine.running = engine.running.saturating_sub(1);
            engine.replica.unpin(now, load);
            if done == Done::NotResident {
                engine.replica.remove(now, load);
            }
        }
        match done {
            Done::NotRun | Done::NotResident => job.place = Place::Waiting,
            Done::Complete | Done::Cancelled => {
                self.jobs.remove(&ticket);
            }
            Done::Failed => {
                self.jobs.remove(&ticket);
                let refusal = Refusal::in_doubt(Reason::EndpointFailed, "the endpoint failed");
                out.push(Output::Refuse { ticket, refusal });
            }
        }
    }

    fn on_loaded(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        result: LoadResult,
        out: &mut Vec<Output>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        match result {
            LoadResult::Resident => engine.replica.loaded(now, load),
            LoadResult::Unknown => engine.replica.doubt(now, load),
            LoadResult::SlotsFull | LoadResult::Stale(_) | LoadResult::Failed => {
                if let Some(lost) = engine.replica.remove(now, load) {
                    self.backoff
                        .insert(lost.adapter.clone(), now + LOAD_BACKOFF);
                    if result == LoadResult::Failed {
                        self.refuse_waiting(&lost.adapter, out);
                    }
                }
            }
        }
    }

    fn refuse_waiting(&mut self, adapter: &AdapterRef, out: &mut Vec<Output>) {
        let lost: Vec<Ticket> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.place == Place::Waiting && j.submission.adapter == *adapter)
            .map(|(t, _)| *t)
            .collect();
        for ticket in lost {
            self.jobs.remove(&ticket);
            let refusal = Refusal::not_run(Reason::LoadFailed, "the adapter could not be loaded")
                .after(LOAD_BACKOFF);
            out.push(Output::Refuse { ticket, refusal });
        }
    }

    fn on_unloaded(&mut self, now: Instant, endpoint: &EndpointId, load: &LoadName, done: bool) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            if done {
                engine.replica.remove(now, load);
            } else {
                engine.replica.doubt(now, load);
            }
        }
    }

    fn on_report(&mut self, now: Instant, endpoint: &EndpointId, report: &EngineReport) {
        let held = self.holds();
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.replica.settle(now, &report.snapshot(), held);
        }
    }

    fn on_gossip(&mut self, now: Instant, gossip: Gossip) {
        let peer = self.peers.entry(gossip.from).or_insert_with(|| Peer {
            zone: gossip.zone,
            heard: None,
            leaving: false,
            residents: BTreeMap::new(),
        });
        peer.heard = Some(now);
        peer.residents = gossip
            .residents
            .into_iter()
            .map(|r| (r.endpoint, r.adapters))
            .collect();
    }

    fn on_listing(&mut self, members: &[ListedMember]) {
        for m in members {
            if m.endpoint || m.id == self.settings.id {
                continue;
            }
            let peer = self.peers.entry(m.id.clone()).or_insert_with(|| Peer {
                zone: m.zone.clone(),
                heard: None,
                leaving: false,
                residents: BTreeMap::new(),
            });
            peer.leaving |= m.leaving;
        }
        let listed: BTreeSet<&InstanceId> = members.iter().map(|m| &m.id).collect();
        self.peers
            .retain(|id, p| p.heard.is_some() || listed.contains(id));
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let timeout = self.settings.peer_timeout.get();
        self.peers.iter().filter(move |(_, p)| {
            p.heard
                .is_some_and(|t| now.saturating_duration_since(t) < timeout)
        })
    }

    fn holder(&self, now: Instant) -> InstanceId {
        self.live(now)
            .filter(|(id, p)| p.zone == self.settings.zone && **id < self.settings.id)
            .map(|(id, _)| id.clone())
            .next()
            .unwrap_or_else(|| self.settings.id.clone())
    }

    fn holds(&self) -> bool {
        self.gossiped
            .is_none_or(|t| self.holder(t) == self.settings.id)
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        let late: Vec<Ticket> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.place == Place::Waiting && j.submission.deadline <= now)
            .map(|(t, _)| *t)
            .collect();
        for ticket in late {
            self.jobs.remove(&ticket);
            let refusal = Refusal::not_run(Reason::Deadline, "the deadline has passed");
            out.push(Output::Refuse { ticket, refusal });
        }
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<Output>) {
        let holder = self.holder(now);
        let waiting: Vec<Ticket> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.place == Place::Waiting)
            .map(|(t, _)| *t)
            .collect();
        for ticket in waiting {
            if holder == self.settings.id {
                self.start(now, ticket, out);
            } else {
                self.forward(ticket, &holder, out);
            }
        }
    }

    fn start(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let adapter = &job.submission.adapter;
        for (id, engine) in &mut self.engines {
            let Some(load) = engine.replica.resident(adapter).cloned() else {
                continue;
            };
            if engine.running >= engine.settings.max_batch || !engine.replica.pin(now, &load) {
                continue;
            }
            engine.running += 1;
            self.attempts += 1;
            job.place = Place::Running {
                endpoint: id.clone(),
                load: load.clone(),
            };
            out.push(Output::Start {
                ticket,
                attempt: self.attempts,
                endpoint: id.clone(),
                load,
            });
            return;
        }
    }

    fn forward(&mut self, ticket: Ticket, peer: &InstanceId, out: &mut Vec<Output>) {
        if let Some(job) = self.jobs.get_mut(&ticket)
            && job.submission.via.is_none()
        {
            job.place = Place::Forwarded(peer.clone());
            out.push(Output::Forward {
                ticket,
                peer: peer.clone(),
            });
        }
    }

    fn order_loads(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.holder(now) != self.settings.id {
            return;
        }
        let wanted: BTreeSet<AdapterRef> = self
            .jobs
            .values()
            .filter(|j| j.place == Place::Waiting)
            .map(|j| j.submission.adapter.clone())
            .collect();
        for adapter in wanted {
            let expected = |e: &Engine| e.replica.expected(&adapter).is_some();
            let waits = self.backoff.get(&adapter).is_some_and(|t| *t > now);
            if waits || self.engines.values().any(expected) {
                continue;
            }
            self.order_load(now, &adapter, out);
        }
    }

    fn order_load(&mut self, now: Instant, adapter: &AdapterRef, out: &mut Vec<Output>) {
        if let Some((id, engine)) = self.engines.iter_mut().find(|(_, e)| e.replica.free() > 0) {
            self.loads += 1;
            let load: LoadName = format!("{adapter}#{FENCE:x}.{}", self.loads).into();
            engine.replica.load(now, load.clone(), adapter.clone());
            out.push(Output::Load {
                endpoint: id.clone(),
                load,
                adapter: adapter.clone(),
                fence: FENCE,
            });
            return;
        }
        let unloads = |e: &Engine| {
            e.replica
                .loads()
                .any(|(_, l)| l.state == LoadState::Unloading)
        };
        if self.engines.values().any(unloads) {
            return;
        }
        let victim = self
            .engines
            .iter()
            .flat_map(|(id, e)| e.replica.loads().map(move |(n, l)| (l, id, n)))
            .filter(|(l, ..)| l.is_idle())
            .min_by_key(|(l, ..)| l.used)
            .map(|(_, id, n)| (id.clone(), n.clone()));
        if let Some((endpoint, load)) = victim
            && let Some(engine) = self.engines.get_mut(&endpoint)
            && engine.replica.evict(now, &load)
        {
            out.push(Output::Unload {
                endpoint,
                load,
                fence: FENCE,
            });
        }
    }

    fn gossip(&mut self, now: Instant, out: &mut Vec<Output>) {
        let interval = self.settings.gossip_interval.get();
        if self
            .gossiped
            .is_some_and(|t| now.saturating_duration_since(t) < interval)
        {
            return;
        }
        self.gossiped = Some(now);
        let residents = self.engines.iter().map(|(id, e)| e.residents(id)).collect();
        let gossip = Gossip {
            from: Arc::clone(&self.settings.id),
            zone: Arc::clone(&self.settings.zone),
            incarnation: self.settings.incarnation,
            residents,
        };
        for peer in self.peers.keys() {
            out.push(Output::Gossip {
                peer: peer.clone(),
                gossip: gossip.clone(),
            });
        }
    }
}

impl Engine {
    fn new(settings: &EndpointSettings) -> Self {
        Self {
            settings: settings.clone(),
            replica: Replica::new(settings.slots),
            running: 0,
        }
    }

    fn residents(&self, id: &EndpointId) -> Residents {
        Residents {
            endpoint: id.clone(),
            adapters: self
                .replica
                .loads()
                .filter(|(_, l)| l.state == LoadState::Resident)
                .map(|(_, l)| l.adapter.clone())
                .collect(),
        }
    }
}

impl EngineReport {
    fn snapshot(&self) -> Snapshot {
        let seen = |r: &crate::ReportedLoad| Seen {
            name: r.name.clone(),
            adapter: r.adapter.clone(),
            running: r.running,
        };
        Snapshot {
            incarnation: self.incarnation,
            slots: self.slots,
            loads: self.residents.iter().map(seen).collect(),
        }
    }
}
