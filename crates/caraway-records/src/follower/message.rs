//! Inputs and outputs of a [`Follower`](super::Follower), and the messages between peers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{InstanceId, Offset};

use crate::{Outcome, SnapshotError};

/// Consecutive records of the log, as the answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogPage {
    /// Smallest offset that the log retains.
    pub oldest: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// The records from the requested offset on, or from `oldest` if that is larger.
    pub records: Vec<LogRecord>,
}

/// A record with its offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogRecord {
    /// Offset in the log.
    pub offset: Offset,
    /// The record's JSON.
    pub data: Arc<str>,
}

/// The position and digest of an instance's state, which it sends to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Offer {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Digest of the state at `next`.
    pub digest: u64,
}

/// Answer to a peer's request for the records from an offset on.
///
/// Contains records if the instance still retains them, and a snapshot otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerAnswer {
    /// Offer of the instance that answers.
    pub offer: Offer,
    /// Records from the requested offset on, up to a limit in bytes.
    pub records: Vec<LogRecord>,
    /// Chunks of a snapshot; empty if the records suffice.
    pub snapshot: Vec<Arc<str>>,
}

/// An event that the [`Follower`](super::Follower) handles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FollowerInput {
    /// Timer event, to be sent several times per second.
    Tick,
    /// A read of the log succeeded.
    Page(LogPage),
    /// A read of the log failed or timed out.
    LogFailed,
    /// An append completed; false if it failed or its answer was lost.
    Appended(bool),
    /// A peer sent its offer.
    Offer(InstanceId, Offer),
    /// A peer answered a request; `None` if the request failed or timed out.
    Answer(InstanceId, Option<PeerAnswer>),
    /// A peer left the deployment.
    PeerGone(InstanceId),
}

/// An action for the caller of [`Follower`](super::Follower) or an event to report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FollowerOutput {
    /// Read the log.
    ReadLog {
        /// First offset to read.
        from: Offset,
        /// Maximum number of records to read.
        max: u32,
    },
    /// Request records from a peer.
    #[serde(rename = "ask_peer")]
    FetchFromPeer {
        /// The peer.
        peer: InstanceId,
        /// First offset to request.
        from: Offset,
    },
    /// Append these snapshot chunks to the log.
    Append(Vec<Arc<str>>),
    /// A record was folded.
    #[serde(rename = "judged")]
    Folded {
        /// Offset of the record.
        offset: Offset,
        /// Result of the fold.
        outcome: Outcome,
    },
    /// The state was replaced by a restored snapshot.
    Installed {
        /// Offset of the first record that the snapshot does not cover.
        covered: Offset,
        /// Source of the snapshot.
        source: Source,
    },
    /// The configuration in force may have changed.
    Changed,
    /// A fault to report to operators.
    Notice(Notice),
}

/// The source of a record or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another instance.
    Peer,
}

/// A fault to report to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// The log ends at this offset, before records that are already folded; records that it later
    /// returns at those offsets are ignored.
    LogBehind(Offset),
    /// The log no longer retains records that are not folded yet, and has no snapshot that covers
    /// them.
    HistoryLost {
        /// Smallest offset that the log retains.
        oldest: Offset,
    },
    /// A snapshot could not be restored.
    SnapshotRejected(SnapshotError),
    /// A peer's state has a different digest at the same offset.
    Diverged {
        /// The peer.
        peer: InstanceId,
        /// Offset at which the digests differ.
        offset: Offset,
    },
}
