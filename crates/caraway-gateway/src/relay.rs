//! [`Relay`] forwards an endpoint's event stream to the caller and resumes it at another endpoint
//! when it breaks off or falls silent.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use caraway_http::{Payload, ResponseBody, ResponseError, StreamBuffer};
use caraway_placement::RequestOutcome;
use caraway_types::EndpointId;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    crash_watch::{self, PROGRESS_EVENTS},
    event::emit,
    executor::millis,
    generate::{
        AttemptHistory, OpenStream, StartPoint, StreamOutcome, open_stream, placement_request,
        try_acquire_rerun,
    },
    placement::{Placement, place},
    plain::return_connection,
    request::{Call, InFlightGuard},
    shared::Shared,
    sse::EventSplitter,
    stream_origins::{self, StreamStart},
};

/// Time after the caller's deadline in which a stream may still end.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Forwards a stream's events to its caller.
#[derive(Debug)]
pub(crate) struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    history: AttemptHistory,
    splitter: EventSplitter,
    /// Whether the caller has events of this request's stream.
    has_events: bool,
    /// Where the stream began, if it began at this instance.
    start: Option<StreamStart>,
    _in_flight: InFlightGuard,
}

/// Maximum gap between events for routes that set none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(250);
/// Multiple of the maximum gap after which a stream without events counts as silent and may be
/// taken over by another endpoint; callers leave after eight gaps.
const SILENT_GAPS: u32 = 4;

/// Why forwarding the events of one endpoint ended.
enum ForwardEnd {
    /// The whole stream was forwarded.
    Complete,
    CallerDisconnected,
    /// The caller's deadline and the grace after it have passed.
    DeadlinePassed,
    /// The stream failed for this reason.
    Broken(&'static str),
    /// The stream was silent, and this other endpoint takes it over.
    TakenOver(Box<Placement>),
}

/// Result of the search for an endpoint that takes a silent stream over.
enum TakeoverSearch {
    /// The stream continued before another endpoint was found.
    Frame(Option<Result<Frame<Bytes>, ResponseError>>),
    /// This endpoint takes the stream over.
    Placed(Placement),
    /// No endpoint can take the stream over.
    NoEndpoint,
}

/// Whether an attempt has made progress.
struct AttemptProgress {
    /// Number of the stream's events when the attempt began.
    first_event: u64,
    /// Number of pieces of the attempt that completed events.
    pieces: u64,
    is_made: bool,
}

impl AttemptProgress {
    fn new(splitter: &EventSplitter) -> Self {
        Self {
            first_event: splitter.event_count(),
            pieces: 0,
            is_made: false,
        }
    }

    /// Handles events of the attempt; returns true the first time that it has made progress.
    fn on_events(&mut self, splitter: &EventSplitter) -> bool {
        self.pieces += 1;
        // Events need not have ids, by which the splitter counts them.
        let events = self.pieces.max(splitter.event_count() - self.first_event);
        !self.is_made && {
            self.is_made = events >= PROGRESS_EVENTS;
            self.is_made
        }
    }
}

impl Relay {
    pub(crate) fn new(
        shared: Rc<Shared>,
        call: Rc<Call>,
        history: AttemptHistory,
        splitter: EventSplitter,
        in_flight: InFlightGuard,
    ) -> Self {
        Self {
            shared,
            call,
            history,
            splitter,
            has_events: false,
            start: None,
            _in_flight: in_flight,
        }
    }

    /// Binds the stream to the software version that wrote its first event; `start` is `None` if the
    /// registry does not list the endpoint. Returns false if the stream has to begin anew at another
    /// version.
    async fn on_events(&mut self, start: Option<&StreamStart>) -> bool {
        if self.has_events {
            return true;
        }
        if let Some(start) = start.filter(|_| self.history.software.is_none()) {
            if !stream_origins::on_first_event(&self.shared, &self.call, start).await {
                return false;
            }
            self.history.software = Some(start.software.clone());
            self.start = Some(start.clone());
        }
        self.has_events = true;
        true
    }

    /// Forwards the stream, resuming it at other endpoints, until it is complete, its caller has
    /// disconnected or it can't be resumed.
    async fn run(mut self, mut stream: OpenStream, out: StreamBuffer) {
        loop {
            let endpoint = stream.placed.endpoint.clone();
            let mut takeover = None;
            let why = match self.forward(stream, &out).await {
                ForwardEnd::Complete => return,
                ForwardEnd::CallerDisconnected => {
                    emit!(self.shared, info, CallerLeft; "request" => &*self.call.head.id,
                        "events" => self.splitter.event_count(),
                        "ms" => millis(self.call.arrived_at.elapsed()));
                    return;
                }
                ForwardEnd::DeadlinePassed => "the caller's deadline has passed",
                ForwardEnd::Broken(why) => why,
                ForwardEnd::TakenOver(placed) => {
                    takeover = Some(*placed);
                    "the stream is silent"
                }
            };
            emit!(self.shared, info, AttemptFailed; "request" => &*self.call.head.id,
                "endpoint" => &*endpoint, "why" => why, "events" => self.splitter.event_count(),
                "segments" => self.call.segment_ids(), "path" => self.call.uri.path(),
                "digest" => %self.call.digest, "in_doubt" => true,
                "ms" => millis(self.call.arrived_at.elapsed()));
            self.shared.metrics.record_failed_attempt(why);
            self.history.exclude.push(endpoint);
            let Some(resumed) = self.resume(takeover).await else {
                self.shared.metrics.record_request("stream", "broken off");
                emit!(self.shared, warn, RequestFailed; "request" => &*self.call.head.id,
                    "kind" => "stream", "status" => 200, "reason" => why,
                    "certainty" => "InDoubt", "events" => self.splitter.event_count(),
                    "version" => self.call.config_version,
                    "ms" => millis(self.call.arrived_at.elapsed()));
                out.abort().await;
                return;
            };
            stream = resumed;
        }
    }

    /// Resumes the stream at another endpoint after the last whole event: at `placed`, whose retry
    /// has already been taken from the budget, or wherever the route and the budget allow it.
    async fn resume(&mut self, placed: Option<Placement>) -> Option<OpenStream> {
        // What the endpoint's software was is not known, so no other endpoint is known to fit.
        if self.has_events && self.history.software.is_none() {
            return None;
        }
        if self.is_start_in_doubt() {
            return None;
        }
        if placed.is_none() && !try_acquire_rerun(&self.shared, &self.call, &self.history) {
            return None;
        }
        self.splitter.discard_partial();
        let last_id = self.splitter.last_event_id().cloned();
        let last_id = last_id
            .as_deref()
            .or(self.call.head.resume_after.as_deref());
        let result = open_stream(
            &self.shared,
            &self.call,
            &mut self.history,
            StartPoint::Resumed(last_id, placed),
        );
        let result = result.await;
        let Ok(StreamOutcome::Stream(stream)) = result else {
            return None;
        };
        emit!(self.shared, info, StreamResumed; "request" => &*self.call.head.id,
            "after" => last_id.unwrap_or_default(), "endpoint" => &*stream.placed.endpoint,
            "software" => self.shared.software_of(&stream.placed.endpoint).as_deref(),
            "ms" => millis(self.call.arrived_at.elapsed()));
        Some(*stream)
    }

    /// Forwards the events of one endpoint until its stream ends or another endpoint takes it over.
    async fn forward(&mut self, stream: OpenStream, out: &StreamBuffer) -> ForwardEnd {
        let OpenStream {
            placed,
            pooled,
            head,
            first,
            mut body,
            incarnation,
            software,
            sent_at,
            ..
        } = stream;
        let start = software.map(|software| StreamStart {
            incarnation: incarnation.clone(),
            software,
            opened_at: pooled.connection.opened_at(),
        });
        let deadline = self.call.caller_deadline + DEADLINE_GRACE;
        let silence_limit = self.call.route.max_gap.unwrap_or(DEFAULT_MAX_GAP) * SILENT_GAPS;
        let event_timeout = self.call.route.event_timeout() + DEADLINE_GRACE;
        // Only whole events count as progress: a stalled stream may still send bytes.
        let mut last_event_at = Instant::now();
        let mut may_take_over = self.call.route.may_rerun();
        let mut progress = AttemptProgress::new(&self.splitter);
        let mut broken = None;
        let mut chunk = Some(first);
        while let Some(bytes) = chunk {
            if let Some(events) = self.splitter.push(&bytes) {
                if !self.on_events(start.as_ref()).await {
                    self.splitter = EventSplitter::default();
                    return ForwardEnd::Broken("the store does not take the stream's origin");
                }
                if progress.on_events(&self.splitter) {
                    crash_watch::on_progress(&self.shared, &self.call);
                }
                if out.send(events).await.is_err() {
                    return ForwardEnd::CallerDisconnected;
                }
                last_event_at = Instant::now();
                may_take_over = self.call.route.may_rerun();
            } else if self.splitter.is_oversized() {
                placed.grant.set_outcome(RequestOutcome::Failed);
                return ForwardEnd::Broken("an event has no end");
            }
            let frame = tokio::select! {
                () = sleep_until(last_event_at + silence_limit), if may_take_over => {
                    may_take_over = false;
                    match self.find_takeover(&placed.endpoint, &mut body).await {
                        TakeoverSearch::Frame(frame) => frame,
                        TakeoverSearch::Placed(takeover) => {
                            placed.grant.set_outcome(RequestOutcome::Failed);
                            return ForwardEnd::TakenOver(Box::new(takeover));
                        }
                        TakeoverSearch::NoEndpoint => {
                            chunk = Some(Bytes::new());
                            continue;
                        }
                    }
                }
                () = sleep_until(last_event_at + event_timeout) => {
                    placed.grant.set_outcome(RequestOutcome::Failed);
                    return ForwardEnd::Broken("the stream stalled");
                }
                frame = timeout_at(deadline, body.frame()) => match frame {
                    Ok(frame) => frame,
                    Err(_) => return ForwardEnd::DeadlinePassed,
                },
                () = out.closed() => return ForwardEnd::CallerDisconnected,
            };
            chunk = match frame {
                Some(Ok(frame)) => Some(frame.into_data().unwrap_or_default()),
                None => None,
                Some(Err(error)) => {
                    self.call
                        .log_unusable_answer(&self.shared, &placed.endpoint, &error);
                    broken = Some("the stream broke off");
                    None
                }
            };
        }
        if broken.is_none() && self.splitter.has_partial_event() {
            broken = Some("the stream ended in the middle of an event");
        }
        if let Some(why) = broken {
            placed.grant.set_outcome(RequestOutcome::Failed);
            crash_watch::on_break(
                &self.shared,
                &self.call,
                &incarnation,
                sent_at,
                progress.is_made,
            );
            return ForwardEnd::Broken(why);
        }
        return_connection(&self.shared, &placed.endpoint, pooled, &head);
        if !progress.is_made {
            crash_watch::on_progress(&self.shared, &self.call);
        }
        crash_watch::on_end(&self.shared, &self.call);
        ForwardEnd::Complete
    }
}

impl Relay {
    /// Returns whether the software version that began the stream is not certain yet.
    fn is_start_in_doubt(&self) -> bool {
        let start = self.start.as_ref();
        start.is_some_and(|s| s.is_in_doubt(&self.shared, &self.call))
    }

    /// Finds an endpoint that takes a silent stream over. Meanwhile the stream may continue, so
    /// that a merely slow one is not cut off when there is no other endpoint.
    async fn find_takeover(
        &self,
        endpoint: &EndpointId,
        body: &mut ResponseBody,
    ) -> TakeoverSearch {
        if self.is_start_in_doubt() {
            return TakeoverSearch::NoEndpoint;
        }
        let mut history = self.history.clone();
        history.exclude.push(endpoint.clone());
        let placement = placement_request(&self.call, Instant::now());
        let exclude = history.excluded(&self.shared, &self.call);
        let placed = tokio::select! {
            placed = place(&self.shared, &placement, &exclude) => placed,
            frame = body.frame() => return TakeoverSearch::Frame(frame),
        };
        match placed {
            Ok(placed) if try_acquire_rerun(&self.shared, &self.call, &self.history) => {
                TakeoverSearch::Placed(placed)
            }
            Ok(placed) => {
                placed.grant.set_outcome(RequestOutcome::NotSent);
                TakeoverSearch::NoEndpoint
            }
            Err(_) => TakeoverSearch::NoEndpoint,
        }
    }
}

/// Starts forwarding a stream; returns the body that the caller reads.
pub(crate) fn start(relay: Relay, stream: OpenStream) -> Payload {
    let (out, body) = StreamBuffer::new(&relay.shared.stream_budget);
    tokio::task::spawn_local(relay.run(stream, out));
    body
}
