//! [`Session`]: an instance's open connection to a zone's holder.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use caraway_http::{Aborted, ConnectTimeouts, Connection, Payload};
use caraway_platform::Topic;
use caraway_types::{Ticket, ZoneId};
use caraway_wire::CallError;
use http::{HeaderValue, Method, Request, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    claim, desk,
    event::emit,
    follow,
    frame::{self, FrameReader, FromHolder, ToHolder},
    peer::{self, SESSION_PATH},
    place::Decision,
    shared::{Holder, Shared},
};

/// Frames on their way to the other end.
pub(crate) type Outgoing = mpsc::Sender<Result<Bytes, Aborted>>;

/// Pause between signs of life.
const PING_PAUSE: Duration = Duration::from_millis(500);
/// Silence after which a session has ended: three signs of life.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Longest time until the holder answers to a new session.
const OPEN_LIMIT: Duration = Duration::from_millis(500);
/// Pause before a lost session is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// An instance's connection to a zone's holder, opened again whenever it ends.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) zone: ZoneId,
    pub(crate) holder: Holder,
    outgoing: RefCell<Option<Outgoing>>,
    pending: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    peers: Cell<usize>,
    pressure: Cell<f64>,
    /// Topics that the holder does not read, by its last sign of life.
    unread: RefCell<Vec<Topic>>,
    opened: Cell<Instant>,
    down: Cell<Option<Instant>>,
    gone: Cell<bool>,
    stop: Notify,
    stopped: Cell<bool>,
}

/// Why a session ended.
#[derive(Debug)]
enum Loss {
    Closed(String),
    Silent,
    NotHolder,
    Stopped,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(why) => f.write_str(why),
            Self::Silent => f.write_str("the holder gives no sign of life"),
            Self::NotHolder => f.write_str("the instance does not hold the zone"),
            Self::Stopped => f.write_str("the zone has another holder"),
        }
    }
}

impl Session {
    /// Makes a session that is not open yet.
    pub(crate) fn new(zone: ZoneId, holder: Holder) -> Self {
        Self {
            zone,
            holder,
            outgoing: RefCell::default(),
            pending: RefCell::default(),
            peers: Cell::new(0),
            pressure: Cell::new(0.0),
            unread: RefCell::default(),
            opened: Cell::new(Instant::now()),
            down: Cell::new(Some(Instant::now())),
            gone: Cell::new(false),
            stop: Notify::new(),
            stopped: Cell::new(false),
        }
    }

    /// Tells whether the holder can be asked.
    pub(crate) fn is_up(&self) -> bool {
        self.outgoing.borrow().is_some() && self.down.get().is_none()
    }

    /// Returns since when the holder can't be asked.
    pub(crate) fn down_since(&self) -> Option<Instant> {
        self.down.get()
    }

    /// Tells whether the holder's run of the program is over.
    pub(crate) fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// Returns the instances of this instance's zone that are connected to the holder.
    pub(crate) fn peers(&self) -> usize {
        self.peers.get()
    }

    /// Returns how pressed the zone's endpoints were when the holder last said it.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure.get()
    }

    /// Tells whether the holder said that it does not read a topic.
    pub(crate) fn lacks(&self, topic: Topic) -> bool {
        self.unread.borrow().contains(&topic)
    }

    /// Sends a frame; false when the session is not open.
    pub(crate) fn send(&self, frame: &ToHolder) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing
            .as_ref()
            .is_some_and(|o| o.try_send(Ok(frame::encode(frame))).is_ok())
    }

    /// Asks for an endpoint; the answer is [`Decision::Lost`] when the session ends before.
    pub(crate) fn ask(&self, ticket: Ticket, frame: &ToHolder) -> oneshot::Receiver<Decision> {
        let (tell, told) = oneshot::channel();
        if self.send(frame) {
            self.pending.borrow_mut().insert(ticket, tell);
        } else {
            // The receiver is still here.
            tell.send(Decision::Lost).ok();
        }
        told
    }

    /// Forgets an asked request whose caller left.
    pub(crate) fn forget(&self, ticket: Ticket) {
        self.pending.borrow_mut().remove(&ticket);
    }

    /// Ends the session for good.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.stop.notify_one();
    }

    /// Keeps the session open until it is stopped.
    pub(crate) async fn run(self: Rc<Self>, shared: Rc<Shared>) {
        let mut told = false;
        while !self.stopped.get() {
            let loss = self.hold_open(&shared).await;
            // Further failures to open it say nothing new.
            let is_news = self.is_up() || !told;
            told = true;
            self.close();
            if self.zone == shared.site.zone && !matches!(loss, Loss::Stopped) {
                // Who follows the holder is learnt from the store.
                shared.topics.borrow().wake(Topic::Holders);
            }
            if is_news && !matches!(loss, Loss::Stopped) {
                emit!(shared, warn, SessionLost; "held_zone" => &*self.zone,
                    "holder" => &*self.holder.instance, "token" => self.holder.token,
                    "why" => %loss);
            }
            if !self.stopped.get() {
                sleep(REOPEN_PAUSE).await;
            }
        }
    }

    async fn hold_open(&self, shared: &Rc<Shared>) -> Loss {
        let opened = tokio::select! {
            opened = self.open(shared) => opened,
            () = self.stop.notified() => return Loss::Stopped,
        };
        let (link, mut body) = match opened {
            Ok(opened) => opened,
            Err(loss) => return loss,
        };
        let mut reader = FrameReader::default();
        let mut heard = Instant::now();
        let mut pings = interval(PING_PAUSE);
        pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let chunk = tokio::select! {
                frame = body.frame() => match frame {
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                    Some(Err(e)) => return Loss::Closed(e.to_string()),
                    None => return Loss::Closed("the holder closed it".to_owned()),
                },
                _ = pings.tick() => {
                    if heard.elapsed() > SILENCE_LIMIT || !self.ping(shared) {
                        return Loss::Silent;
                    }
                    continue;
                }
                () = self.stop.notified() => return Loss::Stopped,
            };
            heard = Instant::now();
            reader.feed(&chunk);
            loop {
                match reader.next() {
                    Ok(Some(frame)) => {
                        if let Some(loss) = self.on_frame(shared, frame) {
                            return loss;
                        }
                    }
                    Ok(None) => break,
                    Err(frame::BadFrame) => return Loss::Closed("bad frame".to_owned()),
                }
            }
            let _ = &link;
        }
    }

    async fn open(&self, shared: &Shared) -> Result<(Connection, Incoming), Loss> {
        let closed = |e: CallError| Loss::Closed(e.to_string());
        let mut link =
            match Connection::connect(self.holder.addr, &ConnectTimeouts::default()).await {
                Ok(link) => link,
                Err(e) => {
                    self.gone.set(e.to_string().contains("refused"));
                    return Err(closed(e));
                }
            };
        self.gone.set(false);
        let (outgoing, frames) = desk::frames();
        let mut request = Request::new(Payload::Stream(frames));
        *request.method_mut() = Method::POST;
        let path = format!("{SESSION_PATH}{}", self.zone);
        *request.uri_mut() = path
            .parse()
            .map_err(|_| Loss::Closed("the zone's name can't stand in a path".to_owned()))?;
        if let Ok(host) = HeaderValue::from_str(&self.holder.addr.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let hello = ToHolder::Hello {
            holder: shared.as_holder(),
            zone: shared.site.zone.clone(),
            weakness: shared.weakness(),
            known: follow::known(shared),
        };
        // The queue is empty and its receiver is in the request, so these can't fail.
        outgoing.try_send(Ok(frame::encode(&hello))).ok();
        let runs = shared.runs.borrow().get(&self.zone).cloned();
        for (ticket, run) in runs.into_iter().flatten() {
            let running = ToHolder::Running {
                ticket,
                endpoint: run.endpoint,
                model: run.model,
            };
            outgoing.try_send(Ok(frame::encode(&running))).ok();
        }
        let answer = timeout(OPEN_LIMIT, link.send(request))
            .await
            .map_err(|_| Loss::Silent)?
            .map_err(closed)?;
        if !answer.status().is_success() {
            let run = peer::run_of(answer.headers());
            self.gone
                .set(run.is_some_and(|r| r != self.holder.incarnation));
            return Err(Loss::NotHolder);
        }
        *self.outgoing.borrow_mut() = Some(outgoing);
        self.down.set(None);
        self.opened.set(Instant::now());
        self.ping(shared);
        shared.holder_found.notify_waiters();
        emit!(shared, info, SessionOpened; "held_zone" => &*self.zone,
            "holder" => &*self.holder.instance, "token" => self.holder.token);
        Ok((link, answer.into_body()))
    }

    fn ping(&self, shared: &Shared) -> bool {
        let served = follow::is_served(shared);
        let holds = !shared.desks.borrow().is_empty();
        let sent = self.opened.get().elapsed().into();
        self.send(&ToHolder::Ping {
            served,
            holds,
            leaving: shared.is_leaving(),
            sent,
        })
    }

    fn close(&self) {
        self.outgoing.borrow_mut().take();
        if self.down.get().is_none() {
            self.down.set(Some(Instant::now()));
        }
        for (_, tell) in self.pending.borrow_mut().drain() {
            // Who asked may have left.
            tell.send(Decision::Lost).ok();
        }
    }

    fn on_frame(&self, shared: &Rc<Shared>, frame: FromHolder) -> Option<Loss> {
        match frame {
            FromHolder::Pong {
                asked,
                peers,
                pressure,
                served,
                next,
            } => {
                if follow::source_zone(shared).as_ref() == Some(&self.zone) {
                    let asked = asked.map(|at| (self.opened.get() + at.get()).into_std());
                    follow::on_holder(shared, &self.zone, asked, served, &next);
                }
                if served {
                    follow::on_peer_served(shared);
                }
                let reads = |t: &Topic| next.iter().any(|(label, _)| **label == *t.label());
                *self.unread.borrow_mut() = Topic::ALL.into_iter().filter(|t| !reads(t)).collect();
                self.peers.set(peers);
                self.pressure.set(pressure);
            }
            FromHolder::Grant {
                ticket,
                endpoint,
                addr,
                waited,
                pressure,
            } => {
                self.pressure.set(pressure);
                let granted = Decision::Granted {
                    endpoint,
                    addr,
                    waited,
                };
                self.decide(ticket, granted);
            }
            FromHolder::Refuse {
                ticket,
                reason,
                after,
                waiting,
            } => {
                let refused = Decision::Refused {
                    reason,
                    after: after.get(),
                    waiting,
                };
                self.decide(ticket, refused);
            }
            FromHolder::Successor { holder, token } => {
                claim::on_successor(shared, &self.zone, &Holder { token, ..holder });
                return Some(Loss::Stopped);
            }
            FromHolder::NotHolder => return Some(Loss::NotHolder),
            FromHolder::Records(records) => follow::on_records(shared, &records),
        }
        None
    }

    fn decide(&self, ticket: Ticket, decision: Decision) {
        if let Some(tell) = self.pending.borrow_mut().remove(&ticket) {
            // Who asked may have left; its end follows.
            tell.send(decision).ok();
        }
    }
}
