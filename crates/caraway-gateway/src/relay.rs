//! [`Relay`]: passes a stream's events on, and goes on at another endpoint where it may.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use caraway_http::{Aborted, Payload};
use caraway_placement::RequestOutcome;
use caraway_types::EndpointId;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    event::emit,
    executor::millis,
    generate::{Begin, Begun, Progress, Start, begin, may_rerun, want},
    placement::{Placement, place},
    plain::put_back,
    request::{Call, InFlight},
    shared::Shared,
    sse::EventCutter,
};

/// Chunks that wait for a slow caller.
const CHUNK_QUEUE: usize = 4;
/// Time after a caller's deadline in which a stream may still end.
const LATE_LIMIT: Duration = Duration::from_millis(500);

/// Passes a stream's events on to its caller.
#[derive(Debug)]
pub(crate) struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    progress: Progress,
    cutter: EventCutter,
    _in_flight: InFlight,
}

/// Pause between events that is taken where a route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(250);
/// Multiple of the pause that is on time after which a stream may go on elsewhere; callers leave
/// after eight.
const SILENT_PAUSES: u32 = 4;

/// How passing on one endpoint's events ended.
enum Passed {
    Complete,
    CallerLeft,
    TooLate,
    Broken(&'static str),
    /// The stream is silent, and another endpoint takes it over.
    Silent(Box<Placement>),
}

/// What came of a stream while another endpoint was looked for.
enum Found {
    /// The stream went on.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// Another endpoint takes it over.
    Placed(Placement),
    /// None takes it.
    Nobody,
}

impl Relay {
    pub(crate) fn new(
        shared: Rc<Shared>,
        call: Rc<Call>,
        progress: Progress,
        cutter: EventCutter,
        in_flight: InFlight,
    ) -> Self {
        Self {
            shared,
            call,
            progress,
            cutter,
            _in_flight: in_flight,
        }
    }

    async fn run(mut self, mut begun: Begun, out: mpsc::Sender<Result<Bytes, Aborted>>) {
        loop {
            let endpoint = begun.placed.endpoint.clone();
            let mut next = None;
            let why = match self.pass(begun, &out).await {
                Passed::Complete => return,
                Passed::CallerLeft => {
                    emit!(self.shared, info, CallerLeft; "request" => &*self.call.head.id,
                        "events" => self.cutter.events(),
                        "ms" => millis(self.call.arrived.elapsed()));
                    return;
                }
                Passed::TooLate => "the caller's deadline has passed",
                Passed::Broken(why) => why,
                Passed::Silent(placed) => {
                    next = Some(*placed);
                    "the stream is silent"
                }
            };
            emit!(self.shared, info, AttemptFailed; "request" => &*self.call.head.id,
                "endpoint" => &*endpoint, "why" => why, "events" => self.cutter.events(),
                "in_doubt" => true, "ms" => millis(self.call.arrived.elapsed()));
            self.shared.metrics.attempt_failed(why);
            self.progress.avoid.push(endpoint);
            let Some(next) = self.resume(next).await else {
                self.shared.metrics.request("stream", "broken off");
                emit!(self.shared, warn, Failed; "request" => &*self.call.head.id,
                    "kind" => "stream", "status" => 200, "reason" => why,
                    "certainty" => "InDoubt", "events" => self.cutter.events(),
                    "version" => self.call.version,
                    "ms" => millis(self.call.arrived.elapsed()));
                // The caller may have left.
                out.send(Err(Aborted)).await.ok();
                return;
            };
            begun = next;
        }
    }

    /// Goes on at another endpoint after the last whole event, where the route allows it.
    async fn resume(&mut self, placed: Option<Placement>) -> Option<Begun> {
        if placed.is_none() && !may_rerun(&self.shared, &self.call, &self.progress) {
            return None;
        }
        self.cutter.drop_rest();
        let last = self.cutter.last_id().cloned();
        let last = last.as_deref().or(self.call.head.resume_after.as_deref());
        let next = begin(
            &self.shared,
            &self.call,
            &mut self.progress,
            Start::Resumed(last, placed),
        );
        let next = next.await;
        let Ok(Begin::Stream(begun)) = next else {
            return None;
        };
        emit!(self.shared, info, Resumed; "request" => &*self.call.head.id,
            "after" => last.unwrap_or_default(), "endpoint" => &*begun.placed.endpoint,
            "ms" => millis(self.call.arrived.elapsed()));
        Some(*begun)
    }

    async fn pass(&mut self, begun: Begun, out: &mpsc::Sender<Result<Bytes, Aborted>>) -> Passed {
        let Begun {
            placed,
            pooled,
            head,
            first,
            mut body,
            ..
        } = begun;
        let until = self.call.leaves + LATE_LIMIT;
        let pause = self.call.route.max_gap.unwrap_or(DEFAULT_PAUSE) * SILENT_PAUSES;
        let patience = self.call.route.event_timeout() + LATE_LIMIT;
        // Only whole events are progress: a stream that stalls may still send bytes.
        let mut heard = Instant::now();
        let mut can_move = self.call.route.may_rerun();
        let mut chunk = first;
        while let Some(bytes) = chunk {
            if let Some(events) = self.cutter.feed(&bytes) {
                if out.send(Ok(events)).await.is_err() {
                    return Passed::CallerLeft;
                }
                heard = Instant::now();
                can_move = self.call.route.may_rerun();
            } else if self.cutter.is_overlong() {
                placed.grant.set_outcome(RequestOutcome::Failed);
                return Passed::Broken("an event has no end");
            }
            let frame = tokio::select! {
                () = sleep_until(heard + pause), if can_move => {
                    can_move = false;
                    match self.look_elsewhere(&placed.endpoint, &mut body).await {
                        Found::Frame(frame) => frame,
                        Found::Placed(next) => {
                            placed.grant.set_outcome(RequestOutcome::Failed);
                            return Passed::Silent(Box::new(next));
                        }
                        Found::Nobody => {
                            chunk = Some(Bytes::new());
                            continue;
                        }
                    }
                }
                () = sleep_until(heard + patience) => {
                    placed.grant.set_outcome(RequestOutcome::Failed);
                    return Passed::Broken("the stream stalled");
                }
                frame = timeout_at(until, body.frame()) => match frame {
                    Ok(frame) => frame,
                    Err(_) => return Passed::TooLate,
                },
                () = out.closed() => return Passed::CallerLeft,
            };
            chunk = match frame {
                Some(Ok(frame)) => Some(frame.into_data().unwrap_or_default()),
                None => None,
                Some(Err(_)) => {
                    placed.grant.set_outcome(RequestOutcome::Failed);
                    return Passed::Broken("the stream broke off");
                }
            };
        }
        if self.cutter.is_torn() {
            placed.grant.set_outcome(RequestOutcome::Failed);
            return Passed::Broken("the stream ended in the middle of an event");
        }
        put_back(&self.shared, &placed.endpoint, pooled, &head);
        Passed::Complete
    }
}

impl Relay {
    /// Looks for an endpoint that takes a silent stream over, while the stream may still go on: one
    /// that is only slow is not cut off for an endpoint that there isn't.
    async fn look_elsewhere(&self, endpoint: &EndpointId, body: &mut Incoming) -> Found {
        let mut avoid = self.progress.avoid.clone();
        avoid.push(endpoint.clone());
        let want = want(&self.call, Instant::now());
        let avoid = self.shared.avoided(&avoid);
        let placed = tokio::select! {
            placed = place(&self.shared, &want, &avoid) => placed,
            frame = body.frame() => return Found::Frame(frame),
        };
        match placed {
            Ok(placed) if may_rerun(&self.shared, &self.call, &self.progress) => {
                Found::Placed(placed)
            }
            Ok(placed) => {
                placed.grant.set_outcome(RequestOutcome::NotSent);
                Found::Nobody
            }
            Err(_) => Found::Nobody,
        }
    }
}

/// Starts to pass a stream on; returns the body that the caller reads.
pub(crate) fn start(relay: Relay, begun: Begun) -> Payload {
    let (out, events) = mpsc::channel(CHUNK_QUEUE);
    tokio::task::spawn_local(relay.run(begun, out));
    Payload::Stream(events)
}
