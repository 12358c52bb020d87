//! Frames that instances and the holder of an availability zone exchange.
//!
//! They are sent in both directions over one HTTP call whose request and response bodies stay open.
//! Each frame is preceded by its length.
//!
//! Instances of several builds run side by side, so frames may grow but never change their meaning:
//! fields are encoded by name, a reader ignores those that it does not know, and a field that was added
//! has a default for frames of builds without it. A frame of an unknown kind is skipped.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use caraway_placement::{RefuseReason, RequestOutcome};
use caraway_platform::Record;
use caraway_routes::{ModelRef, RequestRate, TokenCount};
use caraway_types::{
    AccountId, EndpointId, FencingToken, Millis, Offset, StoreEra, Ticket, ZoneId,
};
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeOwned, Error, IntoDeserializer, MapAccess, Visitor, value},
};

use crate::{
    call_results::ResultFrame,
    quota_frame::{AllowanceFrame, DrawFrame},
    shared::Holder,
};

/// Size of the length that precedes a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Largest accepted frame, in bytes; the largest ones hold a configuration and its records.
const FRAME_LIMIT_BYTES: usize = 8 << 20;
/// Longest kind of a skipped frame in a log line, in bytes.
const MAX_KIND_BYTES: usize = 64;
/// Longest description of what is wrong with a frame, in bytes.
const MAX_PROBLEM_BYTES: usize = 400;

/// A frame from an instance to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToHolder {
    /// Introduces the sender; the first frame of a session.
    Hello {
        /// The sender's record if it became the zone's holder.
        holder: Holder,
        /// The sender's own availability zone.
        zone: ZoneId,
        /// How much the sender lacks as a holder, 0 to 1; see [`weakness`](crate::weakness).
        weakness: f64,
        /// The next offset of each topic that the sender has read, by the topic's label.
        #[serde(default)]
        known: Vec<(Arc<str>, Offset)>,
        /// The store's era that these offsets belong to.
        #[serde(default)]
        era: StoreEra,
    },
    /// Requests an endpoint.
    Ask {
        /// Identifies the request.
        ticket: Ticket,
        /// The service whose endpoints may run it.
        service: Arc<str>,
        /// The model and adapter that the request uses.
        model: ModelRef,
        /// The size of the prompt and the answer, in tokens.
        tokens: TokenCount,
        /// Priority among the waiting requests.
        priority: u8,
        /// Time left until the first event of the answer is late.
        goal: Millis,
        /// Time left until the caller stops waiting.
        deadline: Millis,
        /// Endpoints that must not be chosen.
        #[serde(default)]
        avoid: Vec<EndpointId>,
        /// The client account that sent the request; `None` if it has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        account: Option<AccountId>,
    },
    /// A request that an earlier holder granted is still running.
    Running {
        /// Identifies the request.
        ticket: Ticket,
        /// The endpoint that runs the request.
        endpoint: EndpointId,
        /// The model and adapter that the request uses.
        model: ModelRef,
    },
    /// A request has ended.
    End {
        /// Identifies the request.
        ticket: Ticket,
        /// How the request ended; an unknown outcome is taken for one that frees the endpoint's slot.
        #[serde(deserialize_with = "known_or_default")]
        end: RequestOutcome,
    },
    /// The endpoint has made no progress with a request for too long.
    Stall {
        /// Identifies the request.
        ticket: Ticket,
    },
    /// An endpoint of the zone stated in an answer that it is draining.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// Start of the endpoint's process, in milliseconds; `None` if the registry does not state
        /// it.
        born: Option<u64>,
    },
    /// An endpoint of the zone stated another request limit in an answer than the one that the
    /// sender knew.
    Limit(LimitFrame),
    /// Requests a permit to send a request to an endpoint without an engine that limits the rate of
    /// its requests.
    Permit {
        /// Identifies the request.
        ticket: Ticket,
        /// The endpoint's limit as the sender knows it.
        limit: LimitFrame,
        /// Longest time that the request can wait for the permit.
        max_wait: Millis,
    },
    /// Requests a pong.
    Ping {
        /// Whether the sender's copy of the registry is current.
        served: bool,
        /// Whether the sender holds a zone itself.
        holds: bool,
        /// Whether the sender is stopping.
        leaving: bool,
        /// When the ping is sent, counted from the start of the session.
        sent: Millis,
        /// The request limits of the zone's endpoints that the sender knows.
        #[serde(default)]
        limits: Vec<LimitFrame>,
        /// Whether the sender reaches no endpoint; `None` if its build does not know, and serves no
        /// requests for other instances.
        #[serde(default)]
        cut: Option<bool>,
        /// Time since the store last answered a read of the registry by the sender; `None` if it does
        /// not answer now, if it was not asked, and of builds that do not state it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        read: Option<Millis>,
        /// The results of the sender's calls to the zone's endpoints of plain services since its last
        /// ping.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        results: Vec<ResultFrame>,
    },
    /// Draws allowance from the zone's quota pool. Draws are answered in order.
    Draw {
        /// One draw for each account.
        draws: Vec<DrawFrame>,
    },
    /// Forwards records of the platform's store.
    Records(RecordsFrame),
}

/// A frame from a holder to an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum FromHolder {
    /// Answers a ping, or reports a change unsolicited.
    Pong {
        /// When the answered ping was sent; `None` if the pong is unsolicited.
        asked: Option<Millis>,
        /// Number of instances of the receiver's zone that are connected, plus one if that zone is
        /// the one that is held.
        peers: usize,
        /// Running and waiting requests per usable endpoint of the zone.
        pressure: f64,
        /// Whether the holder's copy of the registry is current.
        served: bool,
        /// The next offset of each topic that the holder reads, by the topic's label.
        next: Vec<(Arc<str>, Offset)>,
        /// The request limits of the zone's endpoints.
        #[serde(default)]
        limits: Vec<LimitFrame>,
        /// Number of instances of all zones that the holder knows to run, itself included; 0 if it
        /// does not state it.
        #[serde(default)]
        instances: usize,
        /// The store's era that the offsets belong to.
        #[serde(default)]
        era: StoreEra,
        /// Addresses of instances that reach endpoints, for a receiver that reaches none.
        #[serde(default)]
        helpers: Vec<SocketAddr>,
        /// The results of all instances' calls to the zone's endpoints of plain services.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        results: Vec<ResultFrame>,
        /// Time that a request which arrives now is expected to wait at the placer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait: Option<Millis>,
        /// Number of requests that the zone's endpoints can take at once in addition.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free: Option<usize>,
    },
    /// Grants a permit.
    Permit {
        /// Identifies the request.
        ticket: Ticket,
        /// Time after which the request may be sent.
        wait: Millis,
    },
    /// Denies a permit.
    NoPermit {
        /// Identifies the request.
        ticket: Ticket,
        /// Time after which to ask again.
        after: Millis,
    },
    /// Answers draws.
    Allowance {
        /// The replies, in the order of the draws.
        replies: Vec<AllowanceFrame>,
    },
    /// Grants an endpoint to a request.
    Grant {
        /// Identifies the request.
        ticket: Ticket,
        /// The granted endpoint.
        endpoint: EndpointId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// Whether the request waited for a load or a slot.
        waited: bool,
        /// Running and waiting requests per usable endpoint of the zone.
        pressure: f64,
        /// Start of the endpoint's process, in milliseconds; `None` if the registry does not state it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        born: Option<u64>,
        /// Time that a request which arrives now is expected to wait at the placer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait: Option<Millis>,
        /// Number of requests that the zone's endpoints can take at once in addition.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free: Option<usize>,
    },
    /// Refuses a request.
    Refuse {
        /// Identifies the request.
        ticket: Ticket,
        /// Why the request is refused; an unknown reason is taken for a lack of endpoints.
        #[serde(deserialize_with = "known_or_default")]
        reason: RefuseReason,
        /// Delay after which the caller may retry.
        after: Millis,
        /// Number of requests that wait at the placer.
        #[serde(default)]
        waiting: usize,
        /// Time that a request which arrives now is expected to wait at the placer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait: Option<Millis>,
        /// Number of requests that the zone's endpoints can take at once in addition.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        free: Option<usize>,
    },
    /// The sender gives no more orders and hands the zone over.
    Successor {
        /// The next holder of the zone.
        holder: Holder,
        /// The fencing token of the next holder's orders.
        token: FencingToken,
        /// Time for which the next holder must not order, as the sender received the zone itself
        /// shortly before; zero also of builds that do not state it.
        #[serde(default, skip_serializing_if = "is_zero")]
        wait: Millis,
    },
    /// The sender does not hold the zone.
    NotHolder,
    /// Forwards records of the platform's store.
    Records(RecordsFrame),
}

impl FromHolder {
    /// Creates the reply to a request for a permit: the time until the request may be sent or, if
    /// it is denied, until asking again.
    pub(crate) fn permit_reply(ticket: Ticket, permit: Result<Duration, Duration>) -> Self {
        match permit {
            Ok(wait) => Self::Permit {
                ticket,
                wait: wait.into(),
            },
            Err(after) => Self::NoPermit {
                ticket,
                after: after.into(),
            },
        }
    }
}

/// The request limit of an endpoint, as an answer stated it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitFrame {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Start of the endpoint's process, in milliseconds; `None` if the registry does not state it.
    pub(crate) born: Option<u64>,
    /// The limit; `None` if the endpoint has none.
    pub(crate) rate: Option<RequestRate>,
    /// Time since the request was sent that the answer belongs to.
    pub(crate) sent: Millis,
    /// Time since the answer arrived.
    pub(crate) received: Millis,
}

/// Records of a topic of the platform's store, forwarded from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordsFrame {
    /// The topic's label.
    pub(crate) topic: Arc<str>,
    /// Whether these are the newest records of all keys, so that no earlier record is needed.
    pub(crate) complete: bool,
    /// Offset from which on the records are included.
    pub(crate) from: Offset,
    /// Offset after the last record; the receiver reads on from there.
    pub(crate) next: Offset,
    /// The records, in the order of their offsets.
    pub(crate) records: Vec<Record>,
    /// Whether the records replace missed ones, and so may be old.
    #[serde(default)]
    pub(crate) late: bool,
    /// The store's era that the offsets belong to.
    #[serde(default)]
    pub(crate) era: StoreEra,
}

impl RecordsFrame {
    /// Creates a frame with records that are not in the store, or that the sender can't tell to be.
    pub(crate) fn unstored(label: &str, records: Vec<Record>) -> Self {
        Self {
            topic: label.into(),
            complete: false,
            from: 0,
            next: 0,
            records,
            late: false,
            era: 0,
        }
    }
}

fn is_zero(time: &Millis) -> bool {
    time.get().is_zero()
}

/// Decodes the name of a value, or returns the default if it is not known.
fn known_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    let name = Arc::<str>::deserialize(deserializer)?;
    let known: Result<T, value::Error> = T::deserialize((*name).into_deserializer());
    Ok(known.unwrap_or_default())
}

/// Encodes a frame with its length before it.
pub(crate) fn encode<T: Serialize>(frame: &T) -> Bytes {
    let body = encode_body(frame);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32(u32::try_from(body.len()).expect("frames are short"));
    bytes.put_slice(&body);
    bytes.freeze()
}

/// Encodes a frame without the length before it.
pub(crate) fn encode_body<T: Serialize>(frame: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(frame).expect("frames have only plain data")
}

/// Decodes the frames in a stream of bytes.
#[derive(Debug, Default)]
pub(crate) struct FrameReader {
    buffer: BytesMut,
}

/// A frame that was received.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Received<T> {
    /// A frame of a known kind.
    Frame(T),
    /// A frame that can't be decoded; those after it can.
    Skipped(SkippedFrame),
}

/// A frame that can't be decoded, as its kind is not known or as it is malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SkippedFrame {
    /// The kind that it states; empty if it states none.
    pub(crate) kind: Arc<str>,
    /// What is wrong with it.
    pub(crate) problem: Arc<str>,
}

/// A frame that is too long, so that the ones after it can't be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameTooLong;

impl FrameReader {
    /// Appends received bytes to the buffer.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame; `None` until all of its bytes have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long.
    pub(crate) fn next<T: DeserializeOwned>(
        &mut self,
    ) -> Result<Option<Received<T>>, FrameTooLong> {
        let Some(mut head) = self.buffer.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let len = head.get_u32() as usize;
        if len > FRAME_LIMIT_BYTES {
            return Err(FrameTooLong);
        }
        if self.buffer.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(len);
        Ok(Some(decode(&body)))
    }
}

/// Decodes a frame without the length before it.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Received<T> {
    match rmp_serde::from_slice(body) {
        Ok(frame) => Received::Frame(frame),
        Err(e) => {
            let (kind, mut problem) = (kind_of(body), e.to_string());
            problem.truncate(problem.floor_char_boundary(MAX_PROBLEM_BYTES));
            Received::Skipped(SkippedFrame {
                kind: kind.into(),
                problem: problem.into(),
            })
        }
    }
}

/// Returns the kind that a frame states; empty if it states none.
fn kind_of(body: &[u8]) -> String {
    let FrameKind(mut kind) = rmp_serde::from_slice(body).unwrap_or_default();
    kind.truncate(kind.floor_char_boundary(MAX_KIND_BYTES));
    kind
}

/// The kind of a frame; decoding it leaves the rest of the frame unread.
#[derive(Default)]
struct FrameKind(String);

impl<'de> Deserialize<'de> for FrameKind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(KindVisitor).map(Self)
    }
}

struct KindVisitor;

impl<'de> Visitor<'de> for KindVisitor {
    type Value = String;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a frame")
    }

    /// A frame without fields is only a name.
    fn visit_str<E: Error>(self, kind: &str) -> Result<String, E> {
        Ok(kind.to_owned())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<String, A::Error> {
        Ok(map.next_key()?.unwrap_or_default())
    }
}
