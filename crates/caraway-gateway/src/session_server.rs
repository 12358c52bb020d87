//! The holder's side of sessions, which other instances open (see
//! [`Session`](crate::session::Session)).

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_accounts::Draw;
use caraway_http::Payload;
use caraway_placement::{PlacementId, PlacementRequest, SourceId};
use caraway_types::{Incarnation, Millis, Ticket, ZoneId};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    call_results,
    endpoint_limits::{self, LimitSource},
    endpoint_signals::{EndpointIncarnation, on_draining},
    event::emit,
    frame::{self, FrameReader, FrameTooLong, FromHolder, LimitFrame, Received, ToHolder},
    held_zone::{self, HeldZone, Peer, PeerState},
    quota_frame::DrawFrame,
    session::{HEARTBEAT_TIMEOUT, Outgoing},
    shared::{Holder, Shared},
    topics,
};

/// Path prefix of sessions, followed by the name of the zone.
pub(crate) const SESSION_PATH: &str = "/session/";

/// Header with the incarnation that answers, so that an instance that tries to reach an earlier one
/// learns that its process has ended.
const INCARNATION_HEADER: HeaderName = HeaderName::from_static("caraway-run");

/// Header with the build of the instance that sends it; builds before 0.2 send none.
const BUILD_HEADER: HeaderName = HeaderName::from_static("caraway-build");
/// The build of this program.
pub(crate) const BUILD: &str = env!("CARGO_PKG_VERSION");

/// Returns the build in the headers of an answer or a request; `None` if it is not stated.
pub(crate) fn build_of(headers: &HeaderMap) -> Option<&str> {
    headers.get(BUILD_HEADER)?.to_str().ok()
}

/// States the build of this program in the headers of an answer or a request.
pub(crate) fn set_build(headers: &mut HeaderMap) {
    headers.insert(BUILD_HEADER, HeaderValue::from_static(BUILD));
}

/// Returns the incarnation in the headers of an answer; `None` if there is none or it is invalid.
pub(crate) fn incarnation_of(headers: &HeaderMap) -> Option<Incarnation> {
    headers.get(INCARNATION_HEADER)?.to_str().ok()?.parse().ok()
}

/// Accepts a session for a zone that this instance holds, and answers 404 for any other.
pub(crate) fn handle(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Payload> {
    let zone = request.uri().path().strip_prefix(SESSION_PATH);
    let held = zone.and_then(|z| shared.held_zone(z));
    let mut response = Response::new(Payload::empty());
    let incarnation = HeaderValue::from(shared.incarnation);
    response
        .headers_mut()
        .insert(INCARNATION_HEADER, incarnation);
    set_build(response.headers_mut());
    match held {
        Some(held) if request.method() == Method::POST => {
            let (outgoing, frames) = held_zone::frame_queue();
            *response.body_mut() = Payload::Stream(frames);
            let session = ServerSession {
                shared: shared.clone(),
                held,
                outgoing,
                build: build_of(request.headers()).map(Into::into),
                source: None,
            };
            tokio::task::spawn_local(session.serve(request.into_body()));
        }
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// A session that another instance has opened to this one.
struct ServerSession {
    shared: Rc<Shared>,
    held: Rc<HeldZone>,
    outgoing: Outgoing,
    /// The instance's build, if it states it.
    build: Option<Arc<str>>,
    /// The source of the instance's requests and its own zone, once its first frame has arrived.
    source: Option<(SourceId, ZoneId)>,
}

impl ServerSession {
    /// Handles the instance's frames until the session ends.
    async fn serve(mut self, mut body: Incoming) {
        let mut reader = FrameReader::default();
        // An instance sends at least its pings.
        while let Ok(Some(Ok(chunk))) = timeout(HEARTBEAT_TIMEOUT * 2, body.frame()).await {
            reader.feed(&chunk.into_data().unwrap_or_default());
            if self.read_frames(&mut reader).is_err() {
                emit!(self.shared, warn, SessionLost; "held_zone" => &*self.held.zone,
                    "why" => "an instance sent an invalid frame");
                break;
            }
        }
        if let Some((source, _)) = self.source {
            self.held.remove_peer(&self.shared, source);
        }
    }

    fn read_frames(&mut self, reader: &mut FrameReader) -> Result<(), FrameTooLong> {
        while let Some(received) = reader.next::<ToHolder>()? {
            match received {
                Received::Frame(frame) => self.on_frame(frame),
                Received::Skipped(skipped) => self.shared.on_skipped_frame(&skipped),
            }
        }
        Ok(())
    }

    fn on_frame(&mut self, frame: ToHolder) {
        if let ToHolder::Hello {
            holder,
            zone,
            weakness,
            known,
            era,
        } = frame
        {
            if zone == self.held.zone {
                topics::send_missed(&self.shared, &self.outgoing, &known, era);
            }
            self.on_hello(holder, zone, weakness);
            return;
        }
        let Some((source, zone)) = &self.source else {
            return;
        };
        let (source, held, shared) = (*source, &self.held, &self.shared);
        let id = |ticket| PlacementId { source, ticket };
        match frame {
            ToHolder::Hello { .. } => {}
            ToHolder::Ask {
                ticket,
                service,
                model,
                tokens,
                priority,
                goal,
                deadline,
                avoid,
                account,
            } => {
                held.with_placer(shared, |placer, now: Instant| {
                    let request = PlacementRequest {
                        service,
                        account,
                        model,
                        tokens,
                        priority,
                        goal: now + goal.get(),
                        deadline: now + deadline.get(),
                        exclude: avoid,
                    };
                    placer.on_request(now, id(ticket), request);
                });
            }
            ToHolder::Running {
                ticket,
                endpoint,
                model,
            } => {
                held.with_placer(shared, |placer, _| {
                    placer.register_run(id(ticket), &endpoint, &model);
                });
            }
            ToHolder::End { ticket, end } => {
                held.with_placer(shared, |p, now| p.on_request_end(now, id(ticket), end));
            }
            ToHolder::Stall { ticket } => {
                held.with_placer(shared, |placer, now| placer.on_stall(now, id(ticket)));
            }
            ToHolder::Leaving { endpoint, born } => {
                let incarnation = EndpointIncarnation {
                    endpoint,
                    started_ms: born,
                };
                on_draining(shared, &incarnation);
            }
            ToHolder::Limit(limit) => {
                endpoint_limits::on_frame(shared, &limit, LimitSource::Instance);
            }
            ToHolder::Permit {
                ticket,
                limit,
                max_wait,
            } => self.reply_with_permit(ticket, &limit, max_wait.get()),
            ToHolder::Ping {
                served,
                holds,
                leaving,
                sent,
                limits,
                cut,
                read,
                results,
            } => {
                call_results::on_reported(shared, Shared::now(), &results);
                let state = PeerState {
                    holds,
                    leaving,
                    cut,
                    has_old_registry: !served,
                    read_at: read.and_then(|age| Shared::now().checked_sub(age.get())),
                };
                self.on_ping(source, zone, sent, &limits, state);
            }
            ToHolder::Draw { draws } => self.reply_to_draws(draws),
            ToHolder::Records(records) => topics::on_records(shared, &records),
        }
    }

    /// Adds the instance to those that are connected to the zone's holder.
    fn on_hello(&mut self, holder: Holder, zone: ZoneId, weakness: f64) {
        emit!(self.shared, info, PeerConnected; "held_zone" => &*self.held.zone,
            "peer" => &*holder.instance, "build" => self.build.as_deref());
        let build = self.build.take();
        let peer = Peer::new(zone.clone(), holder, weakness, build, self.outgoing.clone());
        self.source = Some((self.held.add_peer(&self.shared, peer), zone));
    }

    /// Replies to a request for a permit.
    fn reply_with_permit(&self, ticket: Ticket, limit: &LimitFrame, max_wait: Duration) {
        endpoint_limits::on_frame(&self.shared, limit, LimitSource::Instance);
        let endpoint = &limit.endpoint;
        let permit = self.held.acquire_permit(&self.shared, endpoint, max_wait);
        let reply = FromHolder::permit_reply(ticket, permit);
        // If the queue is full, the request uses the instance's own share.
        self.outgoing.try_send(Ok(frame::encode(&reply))).ok();
    }

    /// Replies to draws from the zone's quota pool.
    fn reply_to_draws(&self, draws: Vec<DrawFrame>) {
        let draws: Vec<Draw> = draws.into_iter().map(Into::into).collect();
        let replies = self.held.draw(&draws);
        if replies.is_empty() {
            return;
        }
        let reply = FromHolder::Allowance {
            replies: replies.into_iter().map(Into::into).collect(),
        };
        // If the queue is full, the instance takes the holder for unreachable.
        self.outgoing.try_send(Ok(frame::encode(&reply))).ok();
    }

    /// Answers a ping of an instance of `zone`.
    fn on_ping(
        &self,
        source: SourceId,
        zone: &ZoneId,
        sent: Millis,
        limits: &[LimitFrame],
        state: PeerState,
    ) {
        let shared = &self.shared;
        self.held.set_peer_state(source, state);
        for limit in limits {
            endpoint_limits::on_frame(shared, limit, LimitSource::Instance);
        }
        if !state.has_old_registry {
            topics::on_peer_registry_read(shared);
        }
        let mut pong = self.held.pong(shared, zone, Some(sent));
        if let FromHolder::Pong { helpers, .. } = &mut pong
            && state.is_cut()
        {
            *helpers = self.held.helpers_with(shared);
        }
        let pong = frame::encode(&pong);
        // If the queue is full, the other end times out and ends the session.
        self.outgoing.try_send(Ok(pong)).ok();
    }
}
