//! What a [`Follower`](super::Follower) and its shell tell each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{InstanceId, Offset};

use crate::{Outcome, SnapshotError};

/// A run of records of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogPage {
    /// Smallest offset that the log still keeps.
    pub oldest: Offset,
    /// Offset that the next append would get.
    pub end: Offset,
    /// The records from the asked offset on, or from `oldest` if that is larger.
    pub records: Vec<LogRecord>,
}

/// A record with its offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogRecord {
    /// Position in the log.
    pub offset: Offset,
    /// The record.
    pub data: Arc<str>,
}

/// What an instance tells its peers of its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Offer {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Digest of the state.
    pub digest: u64,
}

/// Answers a peer that asks for the records from an offset on.
///
/// Carries records where the instance still has them, and else a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerAnswer {
    /// The state of the instance that answers.
    pub offer: Offer,
    /// Records from the asked offset on; there may be more.
    pub records: Vec<LogRecord>,
    /// Chunks of a snapshot.
    pub snapshot: Vec<Arc<str>>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FollowerInput {
    /// Time has passed; several times a second.
    Tick,
    /// The log answered a read.
    Page(LogPage),
    /// A read of the log failed or took too long.
    LogFailed,
    /// An append ended; false when it failed or its answer is lost.
    Appended(bool),
    /// A peer says what it has.
    Offer(InstanceId, Offer),
    /// A peer answered; none when it failed or took too long.
    Answer(InstanceId, Option<PeerAnswer>),
    /// A peer is gone.
    PeerGone(InstanceId),
}

/// Something to do or to note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FollowerOutput {
    /// Reads the log.
    ReadLog {
        /// First offset to read.
        from: Offset,
        /// Most records to read.
        max: u32,
    },
    /// Asks a peer for its records.
    AskPeer {
        /// The peer.
        peer: InstanceId,
        /// First offset to ask for.
        from: Offset,
    },
    /// Appends chunks of a snapshot to the log.
    Append(Vec<Arc<str>>),
    /// A record was folded.
    Judged {
        /// Where it lies.
        offset: Offset,
        /// What became of it.
        outcome: Outcome,
    },
    /// The state was replaced by a snapshot.
    Installed {
        /// The snapshot covers the records below this offset.
        covered: Offset,
        /// Where it came from.
        source: Source,
    },
    /// Something else is in force now.
    Changed,
    /// Something that operators should know.
    Notice(Notice),
}

/// Where records come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another instance.
    Peer,
}

/// Something that operators should know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// The log ends before the applied offset; records that it gives again are not folded.
    LogBehind(Offset),
    /// The log dropped records that are still to be folded, and holds no snapshot of them.
    HistoryLost {
        /// Smallest offset that the log still keeps.
        oldest: Offset,
    },
    /// A snapshot was not used.
    SnapshotRejected(SnapshotError),
    /// A peer has another digest at the same offset.
    Diverged {
        /// The peer.
        peer: InstanceId,
        /// The offset.
        offset: Offset,
    },
}
