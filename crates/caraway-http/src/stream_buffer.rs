//! [`StreamBuffer`]: a streamed body whose reader may be slow, with a limit on the bytes that wait for it.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use crate::{Aborted, Payload};

/// Bytes of one stream that may wait for its reader: whole streams of the deployments are shorter.
const STREAM_LIMIT_BYTES: usize = 64 << 10;
/// Number of its chunks that may wait.
const MAX_CHUNKS: usize = 256;

/// A limit on the bytes that wait in all streams together. Clones share the limit.
#[derive(Clone, Debug)]
pub struct StreamBudget {
    waiting: Arc<AtomicUsize>,
    limit: usize,
}

impl StreamBudget {
    /// Creates a limit of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            waiting: Arc::default(),
            limit,
        }
    }

    /// Returns the number of bytes that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// The reader of a stream has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderGone;

/// The sending end of a streamed body.
///
/// The sender goes on while the reader is slow, until the limit of the stream or that of all streams is
/// reached. One chunk of each stream may always wait.
#[derive(Debug)]
pub struct StreamBuffer {
    chunks: mpsc::Sender<Result<Bytes, Aborted>>,
    budget: StreamBudget,
    own: Arc<Waiting>,
}

/// The bytes of one stream that wait.
#[derive(Debug, Default)]
struct Waiting {
    bytes: AtomicUsize,
    read: Notify,
}

/// A chunk that is counted until it is written to the reader's connection.
struct Chunk {
    bytes: Bytes,
    budget: StreamBudget,
    own: Arc<Waiting>,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        let len = self.bytes.len();
        self.own.bytes.fetch_sub(len, Ordering::Relaxed);
        self.budget.waiting.fetch_sub(len, Ordering::Relaxed);
        self.own.read.notify_one();
    }
}

impl StreamBuffer {
    /// Creates a stream within `budget`; returns its sending end and the body.
    #[must_use]
    pub fn new(budget: &StreamBudget) -> (Self, Payload) {
        let (chunks, body) = mpsc::channel(MAX_CHUNKS);
        let buffer = Self {
            chunks,
            budget: budget.clone(),
            own: Arc::default(),
        };
        (buffer, Payload::Stream(body))
    }

    /// Adds a chunk; waits while too many bytes wait for the reader.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader has gone.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderGone> {
        while !self.has_room(bytes.len()) {
            tokio::select! {
                () = self.own.read.notified() => {}
                () = self.chunks.closed() => return Err(ReaderGone),
            }
        }
        self.own.bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        let waiting = &self.budget.waiting;
        waiting.fetch_add(bytes.len(), Ordering::Relaxed);
        let chunk = Bytes::from_owner(Chunk {
            bytes,
            budget: self.budget.clone(),
            own: self.own.clone(),
        });
        self.chunks.send(Ok(chunk)).await.map_err(|_| ReaderGone)
    }

    /// Ends the body early, unless its reader has gone.
    pub async fn abort(&self) {
        self.chunks.send(Err(Aborted)).await.ok();
    }

    /// Waits until the reader has gone.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    fn has_room(&self, len: usize) -> bool {
        let own = self.own.bytes.load(Ordering::Relaxed);
        let total = self.budget.waiting().saturating_add(len);
        own == 0 || (own + len <= STREAM_LIMIT_BYTES && total <= self.budget.limit)
    }
}
