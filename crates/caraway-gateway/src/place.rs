//! Getting an endpoint for a request: from a placer, or from what the registry says.

use std::{
    cell::Cell, collections::HashMap, net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration,
};

use caraway_placement::{PlacementRequest, RefuseReason, RequestOutcome};
use caraway_routes::{CallOutcome, ModelRef, TokenCount};
use caraway_types::{EndpointId, Ticket, ZoneId};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    frame::{FromHolder, ToHolder},
    shared::{Run, Shared},
};

/// When a caller may come back that found no endpoint: an instance hears of new ones within this.
const NO_ENDPOINT_RETURN: Duration = Duration::from_millis(500);
/// Time in which a zone's next holder can be asked after a hand-over, which takes some 100 ms, most
/// of them for the ends of the former one's orders.
const NEXT_HOLDER_WAIT: Duration = Duration::from_millis(300);
/// Time in which the first holder can be asked: a zone whose holder was killed is claimed within
/// 400 ms, and the record is read within 200 ms.
const FIRST_HOLDER_WAIT: Duration = Duration::from_millis(600);
/// Changes of holders that one request follows.
const FOLLOWED: u32 = 2;

/// What a placer answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request may run.
    Granted {
        /// Where.
        endpoint: EndpointId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// Whether it waited for a load or a slot.
        waited: bool,
    },
    /// The request gets no endpoint.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        after: Duration,
        /// Requests that wait at the placer.
        waiting: usize,
    },
    /// The placer can't be asked any more.
    Lost,
}

/// A request that wants an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub(crate) service: Arc<str>,
    pub(crate) model: ModelRef,
    pub(crate) tokens: TokenCount,
    pub(crate) priority: u8,
    /// When the first event is on time.
    pub(crate) goal: Instant,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// An endpoint for a request.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) endpoint: EndpointId,
    pub(crate) addr: SocketAddr,
    /// Whether the request waited for a load or a slot.
    pub(crate) waited: bool,
    /// The zone whose placer granted it; `None` where none could be asked.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) run: RunGuard,
}

/// Why a request gets no endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotPlaced {
    pub(crate) reason: RefuseReason,
    pub(crate) after: Duration,
    /// The zone that was asked last, with the requests that wait there.
    pub(crate) asked: Option<(ZoneId, usize)>,
}

/// Tells who granted the endpoint when the request has ended, also when it is dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    shared: Rc<Shared>,
    ticket: Ticket,
    by: Grantor,
    end: Cell<RequestOutcome>,
}

#[derive(Debug)]
enum Grantor {
    /// The zone's placer; its holder may change while the request runs.
    Zone(ZoneId),
    /// This instance chose by itself.
    Own(EndpointId),
}

impl RunGuard {
    /// Sets how the request ended; otherwise it counts as done.
    pub(crate) fn set_end(&self, end: RequestOutcome) {
        self.end.set(end);
    }

    /// Tells the zone's placer that the endpoint gives no sign of the request.
    pub(crate) fn stall(&self) {
        let Grantor::Zone(zone) = &self.by else {
            return;
        };
        let ticket = self.ticket;
        if let Some(desk) = self.shared.desk(zone) {
            desk.stall_own(&self.shared, ticket);
        } else if let Some(session) = self.shared.session(zone) {
            session.send(&ToHolder::Stall { ticket });
        }
    }

    /// Tells whoever holds the zone now that the request has ended.
    fn end_at(&self, zone: &ZoneId) {
        let (ticket, end) = (self.ticket, self.end.get());
        self.shared.forget_run(zone, ticket);
        if let Some(desk) = self.shared.desk(zone) {
            desk.end_own(&self.shared, ticket, end);
        } else if let Some(session) = self.shared.session(zone) {
            session.forget(ticket);
            session.send(&ToHolder::End { ticket, end });
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        match &self.by {
            Grantor::Zone(zone) => self.end_at(zone),
            Grantor::Own(endpoint) => {
                let verdict = match self.end.get() {
                    RequestOutcome::Done | RequestOutcome::NotSent => CallOutcome::Unrelated,
                    RequestOutcome::NotHeld | RequestOutcome::Refused => CallOutcome::Refused,
                    RequestOutcome::Failed => CallOutcome::Broken,
                    RequestOutcome::Unreachable => CallOutcome::Unreachable,
                };
                let mut chooser = self.shared.chooser.borrow_mut();
                chooser.on_end(Shared::now(), endpoint, verdict);
            }
        }
    }
}

impl Decision {
    /// Makes the frame that tells the decision.
    pub(crate) fn into_frame(self, ticket: Ticket, pressure: f64) -> FromHolder {
        match self {
            Self::Granted {
                endpoint,
                addr,
                waited,
            } => FromHolder::Grant {
                ticket,
                endpoint,
                addr,
                waited,
                pressure,
            },
            Self::Refused {
                reason,
                after,
                waiting,
            } => FromHolder::Refuse {
                ticket,
                reason,
                after: after.into(),
                waiting,
            },
            Self::Lost => FromHolder::Refuse {
                ticket,
                reason: RefuseReason::NoEndpoint,
                after: NO_ENDPOINT_RETURN.into(),
                waiting: 0,
            },
        }
    }
}

impl Shared {
    fn note_run(&self, zone: &ZoneId, ticket: Ticket, run: Run) {
        let mut runs = self.runs.borrow_mut();
        let zone: &mut HashMap<Ticket, Run> = runs.entry(zone.clone()).or_default();
        zone.insert(ticket, run);
    }

    fn forget_run(&self, zone: &ZoneId, ticket: Ticket) {
        if let Some(zone) = self.runs.borrow_mut().get_mut(zone) {
            zone.remove(&ticket);
        }
    }
}

/// Gets an endpoint for a request, none of `avoid`.
///
/// Asks the placer of the adapter's zone; where that can't be reached, another zone's; where none
/// can be, takes an endpoint that holds the adapter as the registry says.
pub(crate) async fn place(
    shared: &Rc<Shared>,
    want: &Want,
    avoid: &[EndpointId],
) -> Result<Placed, NotPlaced> {
    let mut zones = shared.open_zones(&want.service);
    if zones.is_empty() {
        if let Some(placed) = resident(shared, want, avoid) {
            return Ok(placed);
        }
        if shared.has_ready(&want.service, |_| true)
            && has_holder(shared, want, None, FIRST_HOLDER_WAIT).await
        {
            zones = shared.open_zones(&want.service);
        }
    }
    let mut refused = None;
    let mut followed = 0;
    while let Some(zone) = choose_zone(shared, want, &zones) {
        match ask(shared, want, avoid, &zone).await {
            Ok(placed) => return Ok(placed),
            Err(Some(not)) if not.reason == RefuseReason::Deadline => return Err(not),
            Err(Some(not)) => refused = Some(not),
            Err(None) if followed < FOLLOWED => {
                followed += 1;
                if has_holder(shared, want, Some(&zone), NEXT_HOLDER_WAIT).await {
                    continue;
                }
            }
            Err(None) => {}
        }
        zones.retain(|z| z.zone != zone);
    }
    resident(shared, want, avoid).ok_or(refused.unwrap_or(NotPlaced {
        reason: RefuseReason::NoEndpoint,
        after: NO_ENDPOINT_RETURN,
        asked: None,
    }))
}

/// Waits until a zone's placer can be asked, or any zone's, for `limit` at most.
async fn has_holder(shared: &Shared, want: &Want, zone: Option<&ZoneId>, limit: Duration) -> bool {
    let end = want.deadline.min(Instant::now() + limit);
    loop {
        let mut found = pin!(shared.holder_found.notified());
        // What is told from here on is heard.
        found.as_mut().enable();
        let can_ask = match zone {
            Some(zone) => shared.can_ask(zone),
            None => !shared.open_zones(&want.service).is_empty(),
        };
        if can_ask || timeout_at(end, found).await.is_err() {
            return can_ask;
        }
    }
}

fn choose_zone(
    shared: &Shared,
    want: &Want,
    zones: &[caraway_placement::ZoneCandidate],
) -> Option<ZoneId> {
    let peers = shared.zone_peers();
    let mut homes = shared.homes.borrow_mut();
    homes.choose(Shared::now(), &want.model, &shared.site.zone, peers, zones)
}

/// Asks one zone's placer; an error without a reason means that it could not be asked.
async fn ask(
    shared: &Rc<Shared>,
    want: &Want,
    avoid: &[EndpointId],
    zone: &ZoneId,
) -> Result<Placed, Option<NotPlaced>> {
    let ticket = shared.ticket();
    let told = if let Some(desk) = shared.desk(zone) {
        let ask = PlacementRequest {
            service: want.service.clone(),
            model: want.model.clone(),
            tokens: want.tokens,
            priority: want.priority,
            goal: want.goal.into_std(),
            deadline: want.deadline.into_std(),
            exclude: avoid.to_vec(),
        };
        desk.ask_own(shared, ticket, ask)
    } else if let Some(session) = shared.session(zone) {
        let now = Instant::now();
        let frame = ToHolder::Ask {
            ticket,
            service: want.service.clone(),
            model: want.model.clone(),
            tokens: want.tokens,
            priority: want.priority,
            goal: want.goal.saturating_duration_since(now).into(),
            deadline: want.deadline.saturating_duration_since(now).into(),
            avoid: avoid.to_vec(),
        };
        session.ask(ticket, &frame)
    } else {
        return Err(None);
    };
    // Tells the placer also when the caller leaves while it waits.
    let run = RunGuard {
        shared: shared.clone(),
        ticket,
        by: Grantor::Zone(zone.clone()),
        end: Cell::new(RequestOutcome::Done),
    };
    match decision(told, want.deadline).await {
        Decision::Granted {
            endpoint,
            addr,
            waited,
        } => {
            let noted = Run {
                endpoint: endpoint.clone(),
                model: want.model.clone(),
            };
            shared.note_run(zone, ticket, noted);
            Ok(Placed {
                endpoint,
                addr,
                waited,
                zone: Some(zone.clone()),
                run,
            })
        }
        Decision::Refused {
            reason,
            after,
            waiting,
        } => Err(Some(NotPlaced {
            reason,
            after,
            asked: Some((zone.clone(), waiting)),
        })),
        Decision::Lost => Err(None),
    }
}

async fn decision(told: oneshot::Receiver<Decision>, deadline: Instant) -> Decision {
    match timeout_at(deadline, told).await {
        Ok(Ok(decision)) => decision,
        Ok(Err(_)) => Decision::Lost,
        Err(_) => Decision::Refused {
            reason: RefuseReason::Deadline,
            after: Duration::ZERO,
            waiting: 0,
        },
    }
}

/// Takes an endpoint that holds the adapter, without asking a placer.
fn resident(shared: &Rc<Shared>, want: &Want, avoid: &[EndpointId]) -> Option<Placed> {
    let newest = shared.newest.borrow().get(&want.model).copied();
    let newest = newest.map_or(0, |n| n.version);
    let directory = shared.directory.borrow();
    let holds = |e: &caraway_routes::Endpoint| match &want.model.adapter {
        None => e.has_model(&want.model.model),
        Some(adapter) => e
            .adapter_version(&want.model.model, adapter)
            .is_some_and(|v| v >= newest),
    };
    let candidates = directory.of_service(&want.service).filter(|e| holds(e));
    let endpoint =
        shared
            .chooser
            .borrow_mut()
            .choose(Shared::now(), &shared.site.zone, candidates, avoid)?;
    Some(Placed {
        endpoint: endpoint.id.clone(),
        addr: endpoint.addr,
        waited: false,
        zone: None,
        run: RunGuard {
            shared: shared.clone(),
            ticket: shared.ticket(),
            by: Grantor::Own(endpoint.id.clone()),
            end: Cell::new(RequestOutcome::Done),
        },
    })
}
