//! [`Session`]: an instance's connection to the holder of a zone.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use caraway_http::{Aborted, ConnectTimeouts, Connection, Payload, ResponseBody};
use caraway_placement::ZoneLoad;
use caraway_platform::Topic;
use caraway_reach::Reach;
use caraway_types::{Millis, Ticket, ZoneId};
use caraway_wire::CallError;
use http::{HeaderValue, Method, Request, header};
use http_body_util::BodyExt;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    call_results, claim,
    endpoint_limits::{self, LimitSource},
    event::emit,
    frame::{self, FrameReader, FrameTooLong, FromHolder, LimitFrame, Received, ToHolder},
    held_zone,
    placement::Decision,
    quotas,
    session_server::{self, SESSION_PATH},
    shared::{Holder, Shared},
    topics,
};

/// Queue of encoded frames to be sent to the other end of a session.
pub(crate) type Outgoing = mpsc::Sender<Result<Bytes, Aborted>>;

/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any frame after which a session counts as lost: three ping intervals.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without any frame after which other zones are preferred: a ping interval and the time in which a
/// holder that has used up its processor time answers, with a margin.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a stated load is used: four pings.
const LOAD_VALIDITY: Duration = Duration::from_secs(2);
/// Timeout for the holder's response to a new session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a lost session is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a lost session is opened again.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(5);
/// Time for which a session has to last so that it is opened again without a longer delay.
const MIN_SESSION_TIME: Duration = Duration::from_secs(2);

/// Returns the delay before a session is opened again, which doubles with each in a row that ended right
/// after it was opened.
fn reopen_delay(short_sessions: u32) -> Duration {
    let factor = 2_u32.saturating_pow(short_sessions);
    REOPEN_DELAY.saturating_mul(factor).min(MAX_REOPEN_DELAY)
}

/// Receives the reply to a request for a permit: the time until the request may be sent or, if it is
/// denied, until asking again.
type PermitSender = oneshot::Sender<Result<Duration, Duration>>;

/// An instance's connection to a zone's holder, which is opened again whenever it is lost.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) zone: ZoneId,
    pub(crate) holder: Holder,
    outgoing: RefCell<Option<Outgoing>>,
    /// Requests that the holder has not decided on.
    pending: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// Requests for permits that the holder has not replied to.
    permits: RefCell<HashMap<Ticket, PermitSender>>,
    instance_count: Cell<usize>,
    /// Running and waiting requests per usable endpoint of the zone.
    pressure: Cell<f64>,
    /// How busy the zone is, and when the holder stated it.
    load: Cell<Option<(Instant, ZoneLoad)>>,
    /// Time from the last ping to its pong.
    round_trip: Cell<Duration>,
    /// When a frame of the holder arrived last.
    last_received: Cell<Instant>,
    /// Topics that the holder does not read, as of its last pong.
    holder_unread_topics: RefCell<Vec<Topic>>,
    opened_at: Cell<Instant>,
    down_since: Cell<Option<Instant>>,
    holder_exited: Cell<bool>,
    stop: Notify,
    stopped: Cell<bool>,
}

/// The reason why a connection ended.
#[derive(Debug)]
enum SessionEnd {
    Closed(String),
    Timeout,
    NotHolder,
    Stopped,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(reason) => f.write_str(reason),
            Self::Timeout => f.write_str("the holder did not respond in time"),
            Self::NotHolder => f.write_str("the instance does not hold the zone"),
            Self::Stopped => f.write_str("the zone has another holder"),
        }
    }
}

impl Session {
    /// Creates a session that is not open yet.
    pub(crate) fn new(zone: ZoneId, holder: Holder) -> Self {
        Self {
            zone,
            holder,
            outgoing: RefCell::default(),
            pending: RefCell::default(),
            permits: RefCell::default(),
            instance_count: Cell::new(0),
            pressure: Cell::new(0.0),
            load: Cell::new(None),
            round_trip: Cell::new(Duration::ZERO),
            last_received: Cell::new(Instant::now()),
            holder_unread_topics: RefCell::default(),
            opened_at: Cell::new(Instant::now()),
            down_since: Cell::new(Some(Instant::now())),
            holder_exited: Cell::new(false),
            stop: Notify::new(),
            stopped: Cell::new(false),
        }
    }

    /// Returns whether the session is open.
    pub(crate) fn is_open(&self) -> bool {
        self.outgoing.borrow().is_some() && self.down_since.get().is_none()
    }

    /// Returns since when the session has not been open; `None` while it is open.
    pub(crate) fn down_since(&self) -> Option<Instant> {
        self.down_since.get()
    }

    /// Returns whether the holder's process is known to have ended: its address refused the last
    /// connection, or another incarnation answered.
    pub(crate) fn has_holder_exited(&self) -> bool {
        self.holder_exited.get()
    }

    /// Returns the number of instances of this instance's zone that are connected to the holder, as
    /// of its last pong.
    pub(crate) fn instance_count(&self) -> usize {
        self.instance_count.get()
    }

    /// Returns the number of running and waiting requests per usable endpoint of the zone, as the
    /// holder last reported it.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure.get()
    }

    /// Returns how busy the zone is; `None` if the holder has not stated it lately.
    pub(crate) fn load(&self) -> Option<ZoneLoad> {
        let (at, load) = self.load.get()?;
        (at.elapsed() < LOAD_VALIDITY).then_some(load)
    }

    /// Returns the time from the last ping to its pong.
    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip.get()
    }

    /// Returns whether the holder has not answered the last ping, so that it may be cut off.
    pub(crate) fn is_silent(&self) -> bool {
        self.last_received.get().elapsed() > SILENCE_TIMEOUT
    }

    fn set_load(&self, wait: Option<Millis>, free: Option<usize>) {
        let load = wait.zip(free).map(|(wait, free_slots)| ZoneLoad {
            expected_wait: wait.get(),
            free_slots,
        });
        self.load.set(load.map(|load| (Instant::now(), load)));
    }

    /// Returns whether the holder does not read a topic, as of its last pong.
    pub(crate) fn is_unread_by_holder(&self, topic: Topic) -> bool {
        self.holder_unread_topics.borrow().contains(&topic)
    }

    /// Queues a frame; returns false if the session is not open or the queue is full.
    pub(crate) fn send(&self, frame: &ToHolder) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing
            .as_ref()
            .is_some_and(|o| o.try_send(Ok(frame::encode(frame))).is_ok())
    }

    /// Requests an endpoint. The decision is [`Decision::Lost`] if the session ends before the
    /// holder decides.
    pub(crate) fn request_placement(
        &self,
        ticket: Ticket,
        frame: &ToHolder,
    ) -> oneshot::Receiver<Decision> {
        let (decision_tx, decision_rx) = oneshot::channel();
        if self.send(frame) {
            self.pending.borrow_mut().insert(ticket, decision_tx);
        } else {
            // This can't fail, as the receiver still exists.
            decision_tx.send(Decision::Lost).ok();
        }
        decision_rx
    }

    /// Requests a permit for a request to an endpoint without an engine. The receiver fails if the
    /// session ends before the holder replies.
    pub(crate) fn request_permit(
        &self,
        ticket: Ticket,
        limit: LimitFrame,
        max_wait: Duration,
    ) -> oneshot::Receiver<Result<Duration, Duration>> {
        let (permit_tx, permit_rx) = oneshot::channel();
        let frame = ToHolder::Permit {
            ticket,
            limit,
            max_wait: max_wait.into(),
        };
        let mut permits = self.permits.borrow_mut();
        permits.retain(|_, p| !p.is_closed());
        if self.send(&frame) {
            permits.insert(ticket, permit_tx);
        }
        permit_rx
    }

    /// Removes a request that has ended from the pending ones.
    pub(crate) fn cancel(&self, ticket: Ticket) {
        self.pending.borrow_mut().remove(&ticket);
    }

    /// Closes the session for good.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.stop.notify_one();
    }

    /// Keeps the session open until it is stopped.
    pub(crate) async fn run(self: Rc<Self>, shared: Rc<Shared>) {
        let mut was_logged = false;
        let mut short_sessions = 0;
        while !self.stopped.get() {
            let end = self.run_connection(&shared).await;
            // A session that ends right after it was opened is likely to do so again.
            let is_short = self.is_open() && self.opened_at.get().elapsed() < MIN_SESSION_TIME;
            short_sessions = if is_short { short_sessions + 1 } else { 0 };
            // Repeated failures to open the session are not logged.
            let should_log = self.is_open() || !was_logged;
            was_logged = true;
            self.close();
            if self.zone == shared.site.zone && !matches!(end, SessionEnd::Stopped) {
                // The next holder is found in the store.
                shared.topics.borrow().wake(Topic::Holders);
            }
            if should_log && !matches!(end, SessionEnd::Stopped) {
                emit!(shared, warn, SessionLost; "held_zone" => &*self.zone,
                    "holder" => &*self.holder.instance, "token" => self.holder.token,
                    "why" => %end);
            }
            if !self.stopped.get() {
                sleep(reopen_delay(short_sessions)).await;
            }
        }
    }

    async fn run_connection(&self, shared: &Rc<Shared>) -> SessionEnd {
        let opened = tokio::select! {
            opened = self.open(shared) => opened,
            () = self.stop.notified() => return SessionEnd::Stopped,
        };
        let (connection, mut body) = match opened {
            Ok(opened) => opened,
            Err(end) => return end,
        };
        let mut reader = FrameReader::default();
        let mut last_received = Instant::now();
        let mut ping_timer = interval(PING_INTERVAL);
        ping_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let chunk = tokio::select! {
                frame = body.frame() => match frame {
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                    Some(Err(e)) => return SessionEnd::Closed(e.to_string()),
                    None => {
                        return SessionEnd::Closed("the holder closed the connection".to_owned());
                    }
                },
                _ = ping_timer.tick() => {
                    if last_received.elapsed() > HEARTBEAT_TIMEOUT || !self.ping(shared) {
                        return SessionEnd::Timeout;
                    }
                    continue;
                }
                () = self.stop.notified() => return SessionEnd::Stopped,
            };
            last_received = Instant::now();
            self.last_received.set(last_received);
            reader.feed(&chunk);
            loop {
                match reader.next() {
                    Ok(Some(Received::Frame(frame))) => {
                        if let Some(end) = self.on_frame(shared, frame) {
                            return end;
                        }
                    }
                    Ok(Some(Received::Skipped(skipped))) => shared.on_skipped_frame(&skipped),
                    Ok(None) => break,
                    Err(FrameTooLong) => {
                        return SessionEnd::Closed("the holder sent an invalid frame".to_owned());
                    }
                }
            }
            // Dropping this value would close the connection; the use here keeps it alive.
            let _ = &connection;
        }
    }

    async fn open(&self, shared: &Shared) -> Result<(Connection, ResponseBody), SessionEnd> {
        let closed = |e: CallError| SessionEnd::Closed(e.to_string());
        let mut connection =
            match Connection::connect(self.holder.addr, &ConnectTimeouts::default()).await {
                Ok(connection) => connection,
                Err(e) => {
                    self.holder_exited.set(e.to_string().contains("refused"));
                    return Err(closed(e));
                }
            };
        self.holder_exited.set(false);
        let (outgoing, frames) = held_zone::frame_queue();
        let mut request = Request::new(Payload::Stream(frames));
        *request.method_mut() = Method::POST;
        let path = format!("{SESSION_PATH}{}", self.zone);
        *request.uri_mut() = path
            .parse()
            .map_err(|_| SessionEnd::Closed("the zone's name is not valid in a path".to_owned()))?;
        if let Ok(host) = HeaderValue::from_str(&self.holder.addr.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let hello = ToHolder::Hello {
            holder: shared.own_record(),
            zone: shared.site.zone.clone(),
            weakness: shared.weakness(),
            known: topics::known_offsets(shared),
            era: shared.store.era(),
        };
        session_server::set_build(request.headers_mut());
        // The queue is empty and its receiver is in the request, so this can't fail.
        outgoing.try_send(Ok(frame::encode(&hello))).ok();
        let requests = shared.running_requests.borrow().get(&self.zone).cloned();
        for (ticket, request) in requests.into_iter().flatten() {
            let running = ToHolder::Running {
                ticket,
                endpoint: request.endpoint,
                model: request.model,
            };
            outgoing.try_send(Ok(frame::encode(&running))).ok();
        }
        let answer = timeout(OPEN_TIMEOUT, connection.send(request))
            .await
            .map_err(|_| SessionEnd::Timeout)?
            .map_err(closed)?;
        if !answer.status().is_success() {
            let incarnation = session_server::incarnation_of(answer.headers());
            self.holder_exited
                .set(incarnation.is_some_and(|i| i != self.holder.incarnation));
            return Err(SessionEnd::NotHolder);
        }
        *self.outgoing.borrow_mut() = Some(outgoing);
        self.down_since.set(None);
        self.opened_at.set(Instant::now());
        self.last_received.set(Instant::now());
        self.ping(shared);
        shared.holder_reachable.notify_waiters();
        emit!(shared, info, SessionOpened; "held_zone" => &*self.zone,
            "holder" => &*self.holder.instance, "token" => self.holder.token,
            "build" => session_server::build_of(answer.headers()));
        Ok((connection, answer.into_body()))
    }

    /// Sends a ping with the time since the session was opened, which the pong returns as `asked`, and
    /// with the limits of the zone's endpoints, some of which the holder may have missed.
    pub(crate) fn ping(&self, shared: &Shared) -> bool {
        let is_current = topics::is_registry_current(shared);
        let holds = !shared.held_zones.borrow().is_empty();
        let sent = self.opened_at.get().elapsed().into();
        self.send(&ToHolder::Ping {
            served: is_current,
            holds,
            leaving: shared.is_draining(),
            sent,
            limits: endpoint_limits::frames(shared, &self.zone),
            cut: Some(shared.reach.reach() != Reach::Open),
            read: topics::registry_read_age(shared).map(Into::into),
            results: call_results::take_own(shared, &self.zone),
        })
    }

    fn close(&self) {
        self.outgoing.borrow_mut().take();
        if self.down_since.get().is_none() {
            self.down_since.set(Some(Instant::now()));
        }
        // The receivers fail with this.
        self.permits.borrow_mut().clear();
        for (_, decision_tx) in self.pending.borrow_mut().drain() {
            // The requester may have left.
            decision_tx.send(Decision::Lost).ok();
        }
    }

    fn on_frame(&self, shared: &Rc<Shared>, frame: FromHolder) -> Option<SessionEnd> {
        match frame {
            FromHolder::Pong {
                asked,
                peers,
                pressure,
                served: is_current,
                next,
                limits,
                instances,
                era,
                helpers,
                results,
                wait,
                free,
            } => {
                self.set_load(wait, free);
                if let Some(sent) = asked {
                    let elapsed = self.opened_at.get().elapsed();
                    self.round_trip.set(elapsed.saturating_sub(sent.get()));
                }
                call_results::on_summed(shared, Shared::now(), &results);
                if !helpers.is_empty() {
                    shared.on_helpers(&self.zone, helpers);
                }
                shared.store.learn_era(era);
                topics::check_era(shared);
                shared.on_fleet_size(instances);
                for limit in &limits {
                    endpoint_limits::on_frame(shared, limit, LimitSource::Holder);
                }
                if topics::forwarding_zone(shared).as_ref() == Some(&self.zone) {
                    let ping_sent = asked.map(|at| (self.opened_at.get() + at.get()).into_std());
                    topics::on_holder_heartbeat(
                        shared, &self.zone, ping_sent, is_current, era, &next,
                    );
                }
                if is_current {
                    topics::on_peer_registry_read(shared);
                }
                let reads = |t: &Topic| next.iter().any(|(label, _)| **label == *t.label());
                *self.holder_unread_topics.borrow_mut() =
                    Topic::FOLLOWED.into_iter().filter(|t| !reads(t)).collect();
                self.instance_count.set(peers);
                self.pressure.set(pressure);
            }
            FromHolder::Grant {
                ticket,
                endpoint,
                addr,
                waited,
                pressure,
                born,
                wait,
                free,
            } => {
                self.pressure.set(pressure);
                self.set_load(wait, free);
                let granted = Decision::Granted {
                    endpoint,
                    addr,
                    started_ms: born,
                    waited,
                };
                self.deliver(ticket, granted);
            }
            FromHolder::Refuse {
                ticket,
                reason,
                after,
                waiting,
                wait,
                free,
            } => {
                self.set_load(wait, free);
                let refused = Decision::Refused {
                    reason,
                    retry_after: after.get(),
                    waiting,
                };
                self.deliver(ticket, refused);
            }
            FromHolder::Permit { ticket, wait } => self.deliver_permit(ticket, Ok(wait.get())),
            FromHolder::NoPermit { ticket, after } => {
                self.deliver_permit(ticket, Err(after.get()));
            }
            FromHolder::Allowance { replies } => quotas::on_frame(shared, &self.zone, replies),
            FromHolder::Successor {
                holder,
                token,
                wait,
            } => {
                let holder = Holder { token, ..holder };
                claim::on_successor(shared, &self.zone, &holder, wait.get());
                return Some(SessionEnd::Stopped);
            }
            FromHolder::NotHolder => return Some(SessionEnd::NotHolder),
            FromHolder::Records(records) => topics::on_records(shared, &records),
        }
        None
    }

    fn deliver_permit(&self, ticket: Ticket, permit: Result<Duration, Duration>) {
        if let Some(permit_tx) = self.permits.borrow_mut().remove(&ticket) {
            // The requester may have left; its permit stays unused.
            permit_tx.send(permit).ok();
        }
    }

    fn deliver(&self, ticket: Ticket, decision: Decision) {
        if let Some(decision_tx) = self.pending.borrow_mut().remove(&ticket) {
            // The requester may have left, and then reports the end of the request.
            decision_tx.send(decision).ok();
        }
    }
}
