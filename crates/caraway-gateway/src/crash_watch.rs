//! Finds out which endpoints crashed, and which requests they ran.
//!
//! When a request breaks off, this instance checks whether the endpoint still accepts connections. If
//! not, it reports the crash with the requests that could be its cause; see [`crash_records`].

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use caraway_http::{Acceptance, ConnectTimeouts, check_acceptance};
use caraway_quarantine::{
    CrashEvidence, CrashReport, EvidenceSettings, Quarantine, RequestDigest, SegmentId, Suspect,
};
use caraway_reach::{Reach, Trouble};
use caraway_types::{EndpointId, RequestId};
use tokio::time::{Instant, sleep};

use crate::{
    crash_records, endpoint_signals::EndpointIncarnation, reach, request::Call,
    share_limiter::ShareLimiter, shared::Shared, topics,
};

/// Time in which the requests that break off at a crash are collected.
const COLLECT_TIME: Duration = Duration::from_millis(5);
/// Largest delay of a report, in which another instance may report the same.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(10);
/// Time in which probes show whether this instance reaches any endpoint: the timeout of a connection
/// and the pause between two probes.
const PROBE_TIME: Duration = Duration::from_millis(650);
/// Number of requests of which a report has the ids and segments.
const MAX_REPORTED: usize = 64;
/// Events of an attempt from which on it has made progress: a crash at the first event may still be
/// due to the request.
pub(crate) const PROGRESS_EVENTS: u64 = 2;

/// What this instance knows of requests that crash endpoints.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    pub(crate) evidence: RefCell<CrashEvidence>,
    /// Requests that broke off at endpoints that are being checked.
    broken: RefCell<HashMap<EndpointId, Vec<BrokenRequest>>>,
    /// Suspects whose progress is to be shared unless another instance shares it first.
    pub(crate) unshared_progress: RefCell<HashSet<(Arc<str>, Suspect)>>,
    /// Quarantines that are to be shared unless another instance shares them first, by their keys;
    /// `None` for those that have ended.
    pub(crate) unshared_quarantines: RefCell<HashMap<Arc<str>, Option<Quarantine>>>,
    /// Number of records that are being shared.
    pub(crate) sharing: Cell<usize>,
    pub(crate) share_limiter: RefCell<ShareLimiter>,
}

/// A request that broke off.
#[derive(Debug)]
struct BrokenRequest {
    id: RequestId,
    digest: RequestDigest,
    /// The shared segments of its prompt if it had made no progress.
    segments: Vec<SegmentId>,
    sent_at: Instant,
}

impl CrashWatch {
    /// Creates the state of a starting instance; `jitter` is a random number of the instance.
    pub(crate) fn new(jitter: f64) -> Self {
        let settings = EvidenceSettings {
            jitter,
            ..EvidenceSettings::default()
        };
        Self {
            evidence: RefCell::new(CrashEvidence::new(settings)),
            broken: RefCell::default(),
            unshared_progress: RefCell::default(),
            unshared_quarantines: RefCell::default(),
            sharing: Cell::new(0),
            share_limiter: RefCell::default(),
        }
    }

    /// Returns whether a report would add nothing to what is known.
    pub(crate) fn is_known(&self, report: &CrashReport) -> bool {
        self.evidence.borrow().is_known(Shared::now(), report)
    }

    /// Returns the quarantine that keeps a request from the endpoints of its service.
    pub(crate) fn quarantine(&self, call: &Call) -> Option<Quarantine> {
        let evidence = self.evidence.borrow();
        let segments = call.head.shared_segments();
        let has = |suspect| match suspect {
            Suspect::Segment(id) => segments.iter().any(|s| s.id == id),
            Suspect::Request(digest) => digest == call.digest,
        };
        evidence
            .quarantine(Shared::now(), &call.service, has)
            .cloned()
    }
}

/// Draws the conclusions from the crashes that are known by now.
pub(crate) fn draw_conclusions(shared: &Rc<Shared>) {
    let is_current = topics::is_registry_current(shared);
    let verdicts = {
        let mut evidence = shared.crash_watch.evidence.borrow_mut();
        evidence.on_tick(Shared::now(), is_current)
    };
    for verdict in verdicts {
        crash_records::on_verdict(shared, verdict);
    }
}

/// Records that a request has made progress at an engine, so that its segments are not suspect.
pub(crate) fn on_progress(shared: &Rc<Shared>, call: &Call) {
    let segments = call.head.shared_segments().iter();
    record_progress(shared, call, segments.map(|s| Suspect::Segment(s.id)));
}

/// Records that an endpoint has run a request to its end, so that it is not suspect.
pub(crate) fn on_end(shared: &Rc<Shared>, call: &Call) {
    record_progress(shared, call, [Suspect::Request(call.digest)].into_iter());
}

fn record_progress(shared: &Rc<Shared>, call: &Call, suspects: impl Iterator<Item = Suspect>) {
    let in_danger = {
        let mut evidence = shared.crash_watch.evidence.borrow_mut();
        evidence.record_progress(Shared::now(), &call.service, suspects)
    };
    for suspect in in_danger {
        crash_records::on_own_progress(shared, &call.service, suspect, Instant::now());
    }
}

/// Handles a request that broke off at an endpoint; `made_progress` is whether its segments are not suspect.
pub(crate) fn on_break(
    shared: &Rc<Shared>,
    call: &Call,
    incarnation: &EndpointIncarnation,
    sent_at: Instant,
    made_progress: bool,
) {
    reach::on_trouble(shared, &incarnation.endpoint, Trouble::Answer);
    let segments = call.head.shared_segments().iter().map(|s| s.id);
    let request = BrokenRequest {
        id: call.head.id.clone(),
        digest: call.digest,
        segments: segments.filter(|_| !made_progress).collect(),
        sent_at,
    };
    let mut broken = shared.crash_watch.broken.borrow_mut();
    if let Some(requests) = broken.get_mut(&incarnation.endpoint) {
        requests.push(request);
        return;
    }
    broken.insert(incarnation.endpoint.clone(), vec![request]);
    let check = check_endpoint(shared.clone(), call.service.clone(), incarnation.clone());
    tokio::task::spawn_local(check);
}

/// Checks whether an endpoint has crashed, and reports that.
async fn check_endpoint(shared: Rc<Shared>, service: Arc<str>, incarnation: EndpointIncarnation) {
    let broke_at = Instant::now();
    sleep(COLLECT_TIME).await;
    // An endpoint that drains or is no longer listed has stopped as planned.
    let addr = {
        let directory = shared.directory.borrow();
        let endpoint = directory.get(&incarnation.endpoint);
        endpoint.filter(|e| e.is_ready()).map(|e| e.addr)
    };
    let has_crashed = match addr {
        Some(addr) => {
            check_acceptance(addr, &ConnectTimeouts::default()).await == Acceptance::Refusing
        }
        None => false,
    };
    let mut requests = {
        let mut broken = shared.crash_watch.broken.borrow_mut();
        broken.remove(&incarnation.endpoint).unwrap_or_default()
    };
    if !has_crashed || is_cut_off(&shared).await {
        return;
    }
    sleep(MAX_REPORT_DELAY.mul_f64(Shared::random_fraction())).await;
    // Those without progress are the likelier causes.
    requests.sort_by_key(|r| r.segments.is_empty());
    requests.truncate(MAX_REPORTED);
    let report = crash_report(&shared, service, &incarnation, &requests, broke_at);
    if !report.suspects.is_empty() || !report.proven.is_empty() {
        crash_records::on_own_crash(&shared, report, broke_at);
    }
}

/// Returns whether an endpoint refuses connections because this instance reaches none, which looks like
/// a crash of all of them.
async fn is_cut_off(shared: &Shared) -> bool {
    if shared.reach.is_suspect() {
        sleep(PROBE_TIME).await;
    }
    shared.reach.reach() != Reach::Open
}

/// Returns the report of a crash.
fn crash_report(
    shared: &Shared,
    service: Arc<str>,
    incarnation: &EndpointIncarnation,
    requests: &[BrokenRequest],
    broke_at: Instant,
) -> CrashReport {
    let candidates = requests.iter().flat_map(|request| {
        let sent_at = request.sent_at.into_std();
        let segments = request.segments.iter().map(|s| Suspect::Segment(*s));
        let suspects = segments.chain([Suspect::Request(request.digest)]);
        suspects.map(move |s| (s, sent_at))
    });
    let evidence = shared.crash_watch.evidence.borrow();
    let (suspects, proven) = evidence.classify(&service, candidates);
    CrashReport {
        service,
        endpoint: incarnation.endpoint.clone(),
        started_ms: incarnation.started_ms,
        age: broke_at.elapsed().into(),
        suspects,
        proven,
        requests: requests.iter().map(|r| r.id.clone()).collect(),
    }
}
