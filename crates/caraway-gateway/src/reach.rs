//! Finds out whether this instance has lost its way to all endpoints, and tells the zones' holders.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use caraway_http::{Acceptance, ConnectTimeouts, PooledConnection, check_acceptance};
use caraway_reach::{Helpers, Reach, Reachability, Trouble};
use caraway_types::EndpointId;
use rand::seq::SliceRandom;
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{Instant, timeout_at},
};

use crate::{event::emit, shared::Shared};

/// Why a request was not sent by an instance that reaches no endpoint, for log lines and metric labels.
pub(crate) const CUT_OFF: &str = "this instance reaches no endpoint";
/// Number of endpoints that are probed at once.
const PROBED_ENDPOINTS: usize = 3;

/// What this instance knows of its way to the endpoints.
#[derive(Debug, Default)]
pub(crate) struct ReachState {
    reachability: RefCell<Reachability>,
    /// The instances that help while this one is cut off.
    pub(crate) helpers: RefCell<Helpers>,
    /// Notified when the way is lost.
    lost: Notify,
    /// Notified when instances that help have become known.
    pub(crate) helpers_known: Notify,
}

/// Why no connection to an endpoint is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// This instance reaches no endpoint.
    CutOff,
    /// The endpoint can't be reached.
    Unreachable,
}

impl ReachState {
    /// Returns what this instance reaches.
    pub(crate) fn reach(&self) -> Reach {
        self.reachability.borrow().reach(Shared::now())
    }

    /// Returns whether the trouble with endpoints may be this instance's own.
    pub(crate) fn is_suspect(&self) -> bool {
        self.reachability.borrow().is_suspect()
    }

    /// Forgets an endpoint that has left or restarted.
    pub(crate) fn forget(&self, endpoint: &str) {
        self.reachability.borrow_mut().forget(endpoint);
    }
}

/// Takes an idle connection to an endpoint, or opens one. Gives up as soon as it is known that this
/// instance reaches no endpoint.
///
/// # Errors
///
/// Returns why no connection is available.
pub(crate) async fn connect(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    addr: SocketAddr,
) -> Result<PooledConnection, ConnectFailure> {
    let mut lost = std::pin::pin!(shared.reach.lost.notified());
    lost.as_mut().enable();
    match shared.reach.reach() {
        Reach::Open => {}
        Reach::EstablishedOnly if shared.pool.has_idle(endpoint, addr) => {}
        Reach::EstablishedOnly | Reach::Cut => return Err(ConnectFailure::CutOff),
    }
    let taken = tokio::select! {
        taken = shared.pool.take(endpoint, addr) => taken,
        () = lost => return Err(ConnectFailure::CutOff),
    };
    taken.map_err(|_| {
        on_trouble(shared, endpoint, Trouble::Connect);
        ConnectFailure::Unreachable
    })
}

/// Records that a connection broke before it had an answer; `is_reused` is whether it had one to an
/// earlier request.
pub(crate) fn on_break(shared: &Rc<Shared>, endpoint: &EndpointId, is_reused: bool) {
    let trouble = if is_reused {
        Trouble::Answer
    } else {
        Trouble::Connect
    };
    on_trouble(shared, endpoint, trouble);
}

/// Records an answer of an endpoint; `is_reused` is whether its connection has had one before. A new
/// connection alone shows nothing, as something between may have accepted it.
pub(crate) fn on_answer(shared: &Rc<Shared>, endpoint: &EndpointId, is_reused: bool) {
    update(shared, |r, now| {
        r.on_answer(now, endpoint);
        if !is_reused {
            r.on_connected(now, endpoint);
        }
    });
}

/// Waits for a response of an endpoint; records trouble with the endpoint when there is none by
/// `silent_at`, and goes on waiting.
pub(crate) async fn watch_silence<T>(
    shared: &Rc<Shared>,
    endpoint: &EndpointId,
    silent_at: Instant,
    response: impl Future<Output = T>,
) -> T {
    let mut response = std::pin::pin!(response);
    if let Ok(response) = timeout_at(silent_at, response.as_mut()).await {
        return response;
    }
    on_trouble(shared, endpoint, Trouble::Answer);
    response.await
}

/// Records trouble with an endpoint.
pub(crate) fn on_trouble(shared: &Rc<Shared>, endpoint: &EndpointId, trouble: Trouble) {
    update(shared, |r, now| r.on_trouble(now, endpoint, trouble));
    probe_if_due(shared);
}

/// Probes endpoints if this instance may be cut off and a probe is due. Called periodically as well.
pub(crate) fn probe_if_due(shared: &Rc<Shared>) {
    if !shared.reach.is_suspect() {
        return;
    }
    let probed = choose_probed(shared);
    let now = Shared::now();
    if probed.is_empty() || !shared.reach.reachability.borrow_mut().try_begin_probe(now) {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let reached = probe(probed).await;
        update(&shared, |r, now| r.on_probe(now, reached.as_ref()));
    });
}

/// Chooses the endpoints to probe at random, of different services as far as there are any, as all
/// endpoints of one may be down; those in trouble come last.
fn choose_probed(shared: &Shared) -> Vec<(EndpointId, SocketAddr)> {
    let directory = shared.directory.borrow();
    let mut ready: Vec<_> = directory.all().filter(|e| e.is_ready()).collect();
    ready.shuffle(&mut rand::rng());
    let reachability = shared.reach.reachability.borrow();
    let mut counts: HashMap<(bool, &str), usize> = HashMap::new();
    ready.sort_by_cached_key(|e| {
        let is_troubled = reachability.is_troubled(&e.id);
        let count = counts.entry((is_troubled, &e.service)).or_default();
        *count += 1;
        (is_troubled, *count)
    });
    let probed = ready.into_iter().take(PROBED_ENDPOINTS);
    probed.map(|e| (e.id.clone(), e.addr)).collect()
}

/// Returns the first endpoint that accepts a connection.
async fn probe(endpoints: Vec<(EndpointId, SocketAddr)>) -> Option<EndpointId> {
    let mut checks = JoinSet::new();
    for (endpoint, addr) in endpoints {
        checks.spawn_local(async move {
            let acceptance = check_acceptance(addr, &ConnectTimeouts::default()).await;
            (acceptance == Acceptance::Accepting).then_some(endpoint)
        });
    }
    while let Some(check) = checks.join_next().await {
        if let Ok(Some(endpoint)) = check {
            return Some(endpoint);
        }
    }
    None
}

/// Changes the state, and logs and tells the holders when it has changed what this instance reaches.
fn update(shared: &Rc<Shared>, change: impl FnOnce(&mut Reachability, std::time::Instant)) {
    let now = Shared::now();
    let (before, after) = {
        let mut reachability = shared.reach.reachability.borrow_mut();
        let before = reachability.reach(now);
        change(&mut reachability, now);
        (before, reachability.reach(now))
    };
    let (was_open, is_open) = (before == Reach::Open, after == Reach::Open);
    if was_open == is_open {
        return;
    }
    emit!(shared, warn, ReachChanged; "reach" => format!("{after:?}"));
    if is_open {
        shared.reach.helpers.borrow_mut().clear();
    } else {
        shared.reach.lost.notify_waiters();
        // The holders' answers name the instances that help.
        for held in shared.held_zones() {
            shared.on_helpers(&held.zone, held.helpers());
        }
    }
    shared.ping_holders();
}

impl Shared {
    /// Records the instances that help, as the holder of a zone lists them.
    pub(crate) fn on_helpers(&self, zone: &caraway_types::ZoneId, helpers: Vec<SocketAddr>) {
        if self.reach.reach() == Reach::Open {
            return;
        }
        self.reach.helpers.borrow_mut().set(zone, helpers);
        self.reach.helpers_known.notify_waiters();
    }
}
