//! Obtains an endpoint for a request: from the placer of an availability zone, or from the registry
//! of endpoints when no placer can be reached. The instance that holds a zone runs its placer.

use std::{
    cell::Cell, collections::HashMap, net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration,
};

use caraway_placement::{
    AnnouncedVersions, PlacementRequest, RefuseReason, RequestOutcome, ZoneLoad,
};
use caraway_routes::{CallOutcome, ModelRef, TokenCount};
use caraway_types::{AccountId, EndpointId, Ticket, ZoneId};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    frame::{FromHolder, ToHolder},
    shared::{RunningRequest, Shared},
};

/// Retry delay for a caller that found no endpoint: instances learn of new endpoints within this
/// time.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for a zone's next holder after a hand-over. A hand-over takes about 100 ms, most of
/// which is spent waiting for the previous holder's orders to end.
const NEXT_HOLDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the holder of any zone when none can be reached: a zone whose holder was killed
/// is claimed within 400 ms, and the record of the claim is read within 200 ms.
const FIRST_HOLDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of times that one request waits for the next holder of a zone.
const MAX_HOLDER_CHANGES: u32 = 2;

/// A placer's decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request may be sent to an endpoint.
    Granted {
        /// The chosen endpoint.
        endpoint: EndpointId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// Start time of the endpoint's incarnation; `None` if unknown.
        started_ms: Option<u64>,
        /// Whether the request waited for a load or a slot.
        waited: bool,
    },
    /// The request gets no endpoint.
    Refused {
        /// Why the request was refused.
        reason: RefuseReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
        /// Number of requests that wait at the placer.
        waiting: usize,
    },
    /// The placer became unreachable, its instance holds the zone no longer, or the granted
    /// endpoint was removed from the registry. The placement may be requested again.
    Lost,
}

/// What a request needs of an endpoint; the [`PlacementRequest`] to a placer is made from it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRequest {
    pub(crate) service: Arc<str>,
    pub(crate) account: Option<AccountId>,
    pub(crate) model: ModelRef,
    pub(crate) tokens: TokenCount,
    pub(crate) priority: u8,
    /// Latest time at which the first event of the answer is on time.
    pub(crate) goal: Instant,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// An endpoint that was chosen for a request.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) endpoint: EndpointId,
    pub(crate) addr: SocketAddr,
    /// Start time of the endpoint's incarnation; `None` if unknown.
    pub(crate) started_ms: Option<u64>,
    /// Whether the request waited for a load or a slot.
    pub(crate) waited: bool,
    /// The zone whose placer granted the endpoint; `None` if this instance chose it without a
    /// placer.
    pub(crate) zone: Option<ZoneId>,
    /// When the endpoint was granted or chosen.
    pub(crate) given_at: Instant,
    pub(crate) grant: GrantGuard,
}

/// The reason why a request got no endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacementFailure {
    pub(crate) reason: RefuseReason,
    pub(crate) retry_after: Duration,
    /// The zone whose placer was asked last, and the number of requests that wait there; `None` if
    /// no placer decided on the request.
    pub(crate) last_zone: Option<(ZoneId, usize)>,
}

/// Reports the end of a request, on drop, to the zone's placer or to the load balancer, whichever
/// chose the endpoint.
#[derive(Debug)]
pub(crate) struct GrantGuard {
    shared: Rc<Shared>,
    ticket: Ticket,
    grantor: Grantor,
    outcome: Cell<RequestOutcome>,
}

#[derive(Debug)]
enum Grantor {
    /// The zone's placer. The zone's holder may change while the request runs.
    Zone(ZoneId),
    /// This instance's load balancer, without a placer.
    LoadBalancer(EndpointId),
}

impl GrantGuard {
    /// Sets the outcome that is reported; [`RequestOutcome::Done`] unless set.
    pub(crate) fn set_outcome(&self, outcome: RequestOutcome) {
        self.outcome.set(outcome);
    }

    /// Reports to the zone's placer that the endpoint makes no progress with the request.
    pub(crate) fn report_stall(&self) {
        let Grantor::Zone(zone) = &self.grantor else {
            return;
        };
        let ticket = self.ticket;
        if let Some(held) = self.shared.held_zone(zone) {
            held.report_local_stall(&self.shared, ticket);
        } else if let Some(session) = self.shared.session(zone) {
            session.send(&ToHolder::Stall { ticket });
        }
    }

    /// Reports the end of the request to the zone's current holder.
    fn report_end(&self, zone: &ZoneId) {
        let (ticket, outcome) = (self.ticket, self.outcome.get());
        self.shared.remove_running(zone, ticket);
        if let Some(held) = self.shared.held_zone(zone) {
            held.report_local_end(&self.shared, ticket, outcome);
        } else if let Some(session) = self.shared.session(zone) {
            session.cancel(ticket);
            session.send(&ToHolder::End {
                ticket,
                end: outcome,
            });
        }
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        match &self.grantor {
            Grantor::Zone(zone) => self.report_end(zone),
            Grantor::LoadBalancer(endpoint) => {
                let call_outcome = match self.outcome.get() {
                    RequestOutcome::Done | RequestOutcome::NotSent => CallOutcome::Unrelated,
                    RequestOutcome::NotHeld | RequestOutcome::Refused => CallOutcome::Refused,
                    RequestOutcome::Failed => CallOutcome::Broken,
                    RequestOutcome::Unreachable => CallOutcome::Unreachable,
                };
                let mut load_balancer = self.shared.load_balancer.borrow_mut();
                load_balancer.on_end(Shared::now(), endpoint, call_outcome);
            }
        }
    }
}

impl Decision {
    /// Converts the decision into the frame that is sent to the requesting instance.
    pub(crate) fn into_frame(self, ticket: Ticket, pressure: f64, load: ZoneLoad) -> FromHolder {
        let (wait, free) = (Some(load.expected_wait.into()), Some(load.free_slots));
        match self {
            Self::Granted {
                endpoint,
                addr,
                started_ms,
                waited,
            } => FromHolder::Grant {
                ticket,
                endpoint,
                addr,
                waited,
                pressure,
                born: started_ms,
                wait,
                free,
            },
            Self::Refused {
                reason,
                retry_after,
                waiting,
            } => FromHolder::Refuse {
                ticket,
                reason,
                after: retry_after.into(),
                waiting,
                wait,
                free,
            },
            Self::Lost => FromHolder::Refuse {
                ticket,
                reason: RefuseReason::NoEndpoint,
                after: NO_ENDPOINT_RETRY_AFTER.into(),
                waiting: 0,
                wait,
                free,
            },
        }
    }
}

impl Shared {
    fn record_running(&self, zone: &ZoneId, ticket: Ticket, request: RunningRequest) {
        let mut requests = self.running_requests.borrow_mut();
        let of_zone: &mut HashMap<Ticket, RunningRequest> =
            requests.entry(zone.clone()).or_default();
        of_zone.insert(ticket, request);
    }

    fn remove_running(&self, zone: &ZoneId, ticket: Ticket) {
        if let Some(of_zone) = self.running_requests.borrow_mut().get_mut(zone) {
            of_zone.remove(&ticket);
        }
    }
}

/// Obtains an endpoint for a request, none of `exclude`.
///
/// Requests it from the placer of the zone that is selected for the adapter, then from the other
/// zones' placers. If none grants one, chooses an endpoint on which the adapter is resident
/// according to the registry. If the endpoints' rate limits leave no room in any zone before the
/// request's goal, waits in the last zone, for at most as long as the caller.
pub(crate) async fn place(
    shared: &Rc<Shared>,
    request: &EndpointRequest,
    exclude: &[EndpointId],
) -> Result<Placement, PlacementFailure> {
    let mut zones = shared.candidate_zones(&request.service);
    if zones.is_empty() {
        if let Some(placement) = choose_resident(shared, request, exclude) {
            return Ok(placement);
        }
        if shared.has_ready_endpoint(&request.service, |_| true)
            && wait_for_holder(shared, request, None, FIRST_HOLDER_TIMEOUT).await
        {
            zones = shared.candidate_zones(&request.service);
        }
    }
    let mut refusal = None;
    let mut holder_changes = 0;
    while let Some(zone) = choose_zone(shared, request, &zones) {
        match request_from(shared, request, exclude, &zone).await {
            Ok(placement) => return Ok(placement),
            Err(Some(failure)) if failure.reason == RefuseReason::Deadline => return Err(failure),
            Err(Some(failure)) => refusal = Some(failure),
            Err(None) if holder_changes < MAX_HOLDER_CHANGES => {
                holder_changes += 1;
                if wait_for_holder(shared, request, Some(&zone), NEXT_HOLDER_TIMEOUT).await {
                    continue;
                }
            }
            Err(None) => {}
        }
        zones.retain(|z| z.zone != zone);
    }
    if let Some(placement) = choose_resident(shared, request, exclude) {
        return Ok(placement);
    }
    let failure = refusal.unwrap_or(PlacementFailure {
        reason: RefuseReason::NoEndpoint,
        retry_after: NO_ENDPOINT_RETRY_AFTER,
        last_zone: None,
    });
    match &failure.last_zone {
        Some((zone, _)) if failure.reason == RefuseReason::Limited => {
            let late = EndpointRequest {
                goal: request.deadline,
                ..request.clone()
            };
            let placed = request_from(shared, &late, exclude, zone).await;
            placed.map_err(|later| later.unwrap_or(failure))
        }
        _ => Err(failure),
    }
}

/// Waits until the placer of `zone` is reachable, or that of any zone if `None`, for at most
/// `timeout`. Returns false if none is reachable by then.
async fn wait_for_holder(
    shared: &Shared,
    request: &EndpointRequest,
    zone: Option<&ZoneId>,
    timeout: Duration,
) -> bool {
    let wait_until = request.deadline.min(Instant::now() + timeout);
    loop {
        let mut notified = pin!(shared.holder_reachable.notified());
        // Registers for notifications before the check, so that none in between is missed.
        notified.as_mut().enable();
        let is_reachable = match zone {
            Some(zone) => shared.is_reachable(zone),
            None => !shared.candidate_zones(&request.service).is_empty(),
        };
        if is_reachable || timeout_at(wait_until, notified).await.is_err() {
            return is_reachable;
        }
    }
}

fn choose_zone(
    shared: &Shared,
    request: &EndpointRequest,
    zones: &[caraway_placement::ZoneCandidate],
) -> Option<ZoneId> {
    let instances = shared.zone_instances();
    let mut zone_selector = shared.zone_selector.borrow_mut();
    zone_selector.choose(
        Shared::now(),
        &request.model,
        &shared.site.zone,
        instances,
        zones,
    )
}

/// Requests an endpoint from one zone's placer. `Err(None)` means that the placer was unreachable.
async fn request_from(
    shared: &Rc<Shared>,
    request: &EndpointRequest,
    exclude: &[EndpointId],
    zone: &ZoneId,
) -> Result<Placement, Option<PlacementFailure>> {
    let ticket = shared.next_ticket();
    let decision_rx = if let Some(held) = shared.held_zone(zone) {
        let placement_request = PlacementRequest {
            service: request.service.clone(),
            account: request.account.clone(),
            model: request.model.clone(),
            tokens: request.tokens,
            priority: request.priority,
            goal: request.goal.into_std(),
            deadline: request.deadline.into_std(),
            exclude: exclude.to_vec(),
        };
        held.request_local(shared, ticket, placement_request)
    } else if let Some(session) = shared.session(zone) {
        let now = Instant::now();
        let frame = ToHolder::Ask {
            ticket,
            service: request.service.clone(),
            model: request.model.clone(),
            tokens: request.tokens,
            priority: request.priority,
            goal: request.goal.saturating_duration_since(now).into(),
            deadline: request.deadline.saturating_duration_since(now).into(),
            avoid: exclude.to_vec(),
            account: request.account.clone(),
        };
        session.request_placement(ticket, &frame)
    } else {
        return Err(None);
    };
    // Created before the wait, so that the placer also learns of a caller that leaves meanwhile.
    let grant = GrantGuard {
        shared: shared.clone(),
        ticket,
        grantor: Grantor::Zone(zone.clone()),
        outcome: Cell::new(RequestOutcome::Done),
    };
    match wait_for_decision(decision_rx, request.deadline).await {
        Decision::Granted {
            endpoint,
            addr,
            started_ms,
            waited,
        } => {
            let running = RunningRequest {
                endpoint: endpoint.clone(),
                model: request.model.clone(),
            };
            shared.record_running(zone, ticket, running);
            Ok(Placement {
                endpoint,
                addr,
                started_ms,
                waited,
                zone: Some(zone.clone()),
                given_at: Instant::now(),
                grant,
            })
        }
        Decision::Refused {
            reason,
            retry_after,
            waiting,
        } => Err(Some(PlacementFailure {
            reason,
            retry_after,
            last_zone: Some((zone.clone(), waiting)),
        })),
        Decision::Lost => Err(None),
    }
}

async fn wait_for_decision(
    decision_rx: oneshot::Receiver<Decision>,
    deadline: Instant,
) -> Decision {
    match timeout_at(deadline, decision_rx).await {
        Ok(Ok(decision)) => decision,
        Ok(Err(_)) => Decision::Lost,
        Err(_) => Decision::Refused {
            reason: RefuseReason::Deadline,
            retry_after: Duration::ZERO,
            waiting: 0,
        },
    }
}

/// Chooses an endpoint on which the newest known version of the adapter is resident, without a
/// placer.
fn choose_resident(
    shared: &Rc<Shared>,
    request: &EndpointRequest,
    exclude: &[EndpointId],
) -> Option<Placement> {
    let newest_version = {
        let versions = shared.announced_versions.borrow();
        let newest = versions
            .get(&request.model)
            .and_then(AnnouncedVersions::newest);
        newest.unwrap_or(0)
    };
    let directory = shared.directory.borrow();
    let is_resident = |e: &caraway_routes::Endpoint| match &request.model.adapter {
        None => e.has_model(&request.model.model),
        Some(adapter) => e
            .adapter_version(&request.model.model, adapter)
            .is_some_and(|v| v >= newest_version),
    };
    let candidates = directory
        .of_service(&request.service)
        .filter(|e| is_resident(e) && shared.has_solo_permit(e));
    let endpoint = shared.load_balancer.borrow_mut().choose(
        Shared::now(),
        &shared.site.zone,
        candidates,
        exclude,
    )?;
    shared.use_solo_permit(&endpoint);
    Some(Placement {
        endpoint: endpoint.id.clone(),
        addr: endpoint.addr,
        started_ms: endpoint.started_ms,
        waited: false,
        zone: None,
        given_at: Instant::now(),
        grant: GrantGuard {
            shared: shared.clone(),
            ticket: shared.next_ticket(),
            grantor: Grantor::LoadBalancer(endpoint.id.clone()),
            outcome: Cell::new(RequestOutcome::Done),
        },
    })
}
