//! The holder's side of sessions.

use std::{rc::Rc, time::Instant};

use caraway_http::Payload;
use caraway_placement::{PlacementId, PlacementRequest, SourceId};
use caraway_types::{Incarnation, ZoneId};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    desk::{self, Desk, Source},
    endpoint_signals::{EndpointIncarnation, on_draining},
    event::emit,
    follow,
    frame::{self, BadFrame, FrameReader, ToHolder},
    session::{Outgoing, SILENCE_LIMIT},
    shared::Shared,
};

/// Path of sessions; the zone's name follows.
pub(crate) const SESSION_PATH: &str = "/session/";

/// Names the run of the program that answers, so that who looks for an earlier run's zone learns
/// that it is over.
const RUN_HEADER: HeaderName = HeaderName::from_static("caraway-run");

/// Returns the run that an answer names.
pub(crate) fn run_of(headers: &HeaderMap) -> Option<Incarnation> {
    headers.get(RUN_HEADER)?.to_str().ok()?.parse().ok()
}

/// Takes a session.
pub(crate) fn handle(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Payload> {
    let zone = request.uri().path().strip_prefix(SESSION_PATH);
    let desk = zone.and_then(|z| shared.desk(z));
    let mut response = Response::new(Payload::empty());
    let run = HeaderValue::from(shared.incarnation);
    response.headers_mut().insert(RUN_HEADER, run);
    match desk {
        Some(desk) if request.method() == Method::POST => {
            let (outgoing, frames) = desk::frames();
            *response.body_mut() = Payload::Stream(frames);
            let asker = Asker {
                shared: shared.clone(),
                desk,
                outgoing,
                source: None,
            };
            tokio::task::spawn_local(asker.serve(request.into_body()));
        }
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// An instance that asks this one.
struct Asker {
    shared: Rc<Shared>,
    desk: Rc<Desk>,
    outgoing: Outgoing,
    source: Option<(SourceId, ZoneId)>,
}

impl Asker {
    /// Takes the instance's frames until the session ends.
    async fn serve(mut self, mut body: Incoming) {
        let mut reader = FrameReader::default();
        // An instance speaks at least at each of its signs of life.
        while let Ok(Some(Ok(chunk))) = timeout(SILENCE_LIMIT * 2, body.frame()).await {
            reader.feed(&chunk.into_data().unwrap_or_default());
            if self.take_frames(&mut reader).is_err() {
                emit!(self.shared, warn, SessionLost; "held_zone" => &*self.desk.zone,
                    "why" => "an instance sent what is no frame");
                break;
            }
        }
        if let Some((source, _)) = self.source {
            self.desk.drop_source(&self.shared, source);
        }
    }

    fn take_frames(&mut self, reader: &mut FrameReader) -> Result<(), BadFrame> {
        while let Some(frame) = reader.next::<ToHolder>()? {
            self.on_frame(frame);
        }
        Ok(())
    }

    fn on_frame(&mut self, frame: ToHolder) {
        if let ToHolder::Hello {
            holder,
            zone,
            weakness,
            known,
        } = frame
        {
            let frames = self.outgoing.clone();
            if zone == self.desk.zone {
                follow::catch_up(&self.shared, &frames, &known);
            }
            let asker = Source::new(zone.clone(), holder, weakness, frames);
            let source = self.desk.add_source(asker);
            self.source = Some((source, zone));
            return;
        }
        let Some((source, zone)) = &self.source else {
            return;
        };
        let (source, desk, shared) = (*source, &self.desk, &self.shared);
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
            } => {
                let id = PlacementId { source, ticket };
                desk.with(shared, |placer, now: Instant| {
                    let ask = PlacementRequest {
                        service,
                        model,
                        tokens,
                        priority,
                        goal: now + goal.get(),
                        deadline: now + deadline.get(),
                        exclude: avoid,
                    };
                    placer.on_request(now, id, ask);
                });
            }
            ToHolder::Running {
                ticket,
                endpoint,
                model,
            } => {
                let id = PlacementId { source, ticket };
                desk.with(shared, |placer, _| placer.adopt_run(id, &endpoint, &model));
            }
            ToHolder::End { ticket, end } => {
                let id = PlacementId { source, ticket };
                desk.with(shared, |placer, now| placer.on_request_end(now, id, end));
            }
            ToHolder::Stall { ticket } => {
                let id = PlacementId { source, ticket };
                desk.with(shared, |placer, now| placer.on_stall(now, id));
            }
            ToHolder::Leaving { endpoint, born } => {
                on_draining(
                    shared,
                    &EndpointIncarnation {
                        endpoint,
                        started_ms: born,
                    },
                );
            }
            ToHolder::Ping {
                served,
                holds,
                leaving,
                sent,
            } => {
                desk.set_state(source, holds, leaving);
                if served {
                    follow::on_peer_served(shared);
                }
                let pong = frame::encode(&desk.pong(shared, zone, Some(sent)));
                // A full queue ends the session at the other end by its silence.
                self.outgoing.try_send(Ok(pong)).ok();
            }
            ToHolder::Records(records) => follow::on_records(shared, &records),
        }
    }
}
