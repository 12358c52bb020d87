//! Messages between instances and the holder of an availability zone.
//!
//! They go both ways over one HTTP call whose request and answer bodies stay open, each with its
//! length before it.

use std::{net::SocketAddr, sync::Arc};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use caraway_placement::{RefuseReason, RequestOutcome};
use caraway_platform::Record;
use caraway_routes::{ModelRef, TokenCount};
use caraway_types::{EndpointId, FencingToken, Millis, Offset, Ticket, ZoneId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::shared::Holder;

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;
/// Largest frame that is accepted, in bytes: a configuration with its records.
const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// What an instance tells a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToHolder {
    /// Who speaks; the first frame.
    Hello {
        /// What its record would say if it held the zone.
        holder: Holder,
        /// Its availability zone.
        zone: ZoneId,
        /// How weak it is as a holder, 0 to 1.
        weakness: f64,
        /// Where it reads the topics on, by their labels; of the others it knows nothing.
        #[serde(default)]
        known: Vec<(Arc<str>, Offset)>,
    },
    /// A request wants an endpoint.
    Ask {
        /// The request.
        ticket: Ticket,
        /// The service whose endpoints may run it.
        service: Arc<str>,
        /// What it wants.
        model: ModelRef,
        /// Its size.
        tokens: TokenCount,
        /// Rank among requests.
        priority: u8,
        /// Time left until its first event is late.
        goal: Millis,
        /// Time left until its caller stops waiting.
        deadline: Millis,
        /// Endpoints that did not run it.
        avoid: Vec<EndpointId>,
    },
    /// A request that a former holder let run still runs.
    Running {
        /// The request.
        ticket: Ticket,
        /// Where it runs.
        endpoint: EndpointId,
        /// What it runs on.
        model: ModelRef,
    },
    /// A request has ended.
    End {
        /// The request.
        ticket: Ticket,
        /// How.
        end: RequestOutcome,
    },
    /// The endpoint has given no sign of a request for long.
    Stall {
        /// The request.
        ticket: Ticket,
    },
    /// An endpoint of the zone said in an answer that it leaves.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// When its run started.
        born: Option<u64>,
    },
    /// Asks for a sign of life.
    Ping {
        /// Whether the asker reads the registry as usual.
        served: bool,
        /// Whether the asker holds a zone itself.
        holds: bool,
        /// Whether the asker stops.
        leaving: bool,
        /// When it is sent, from the session's start.
        sent: Millis,
    },
    /// Records of the platform's store.
    Records(RecordsFrame),
}

/// What a holder tells an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum FromHolder {
    /// A sign of life.
    Pong {
        /// When the question was sent that it answers; `None` where it comes unasked.
        asked: Option<Millis>,
        /// Instances of the asker's zone that are connected, the holder included where it is one.
        peers: usize,
        /// How pressed the zone's endpoints are.
        pressure: f64,
        /// Whether the holder reads the registry as usual.
        served: bool,
        /// Where the holder reads the topics on, by their labels.
        next: Vec<(Arc<str>, Offset)>,
    },
    /// A request may run.
    Grant {
        /// The request.
        ticket: Ticket,
        /// Where.
        endpoint: EndpointId,
        /// The endpoint's address.
        addr: SocketAddr,
        /// Whether the request waited for a load or a slot.
        waited: bool,
        /// How pressed the zone's endpoints are.
        pressure: f64,
    },
    /// A request gets no endpoint.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        after: Millis,
        /// Requests that wait at the placer.
        waiting: usize,
    },
    /// The instance has given its last order and hands the zone over.
    Successor {
        /// Who holds the zone from now on.
        holder: Holder,
        /// The fencing token of its orders.
        token: FencingToken,
    },
    /// The instance does not hold the zone.
    NotHolder,
    /// Records of the platform's store.
    Records(RecordsFrame),
}

/// Records of a topic of the platform's store, passed on between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordsFrame {
    /// The topic's label.
    pub(crate) topic: Arc<str>,
    /// Whether these are the newest records of all keys, so that nothing before them is needed.
    pub(crate) complete: bool,
    /// Where the records begin.
    pub(crate) from: Offset,
    /// Where to read on.
    pub(crate) next: Offset,
    /// The records.
    pub(crate) records: Vec<Record>,
    /// Whether they make up for what was missed, so that they may be old.
    #[serde(default)]
    pub(crate) late: bool,
}

/// Encodes a frame.
pub(crate) fn encode<T: Serialize>(frame: &T) -> Bytes {
    let body = rmp_serde::to_vec(frame).expect("frames have only plain data");
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32(u32::try_from(body.len()).expect("frames are short"));
    bytes.put_slice(&body);
    bytes.freeze()
}

/// Cuts frames out of a stream of bytes.
#[derive(Debug, Default)]
pub(crate) struct FrameReader {
    buffer: BytesMut,
}

/// Says that a stream of bytes holds no frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BadFrame;

impl FrameReader {
    /// Adds bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole frame.
    pub(crate) fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, BadFrame> {
        let Some(mut head) = self.buffer.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let len = head.get_u32() as usize;
        if len > FRAME_LIMIT_BYTES {
            return Err(BadFrame);
        }
        if self.buffer.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(len);
        rmp_serde::from_slice(&body).map(Some).map_err(|_| BadFrame)
    }
}
