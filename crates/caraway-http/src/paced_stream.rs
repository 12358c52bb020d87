//! [`PacedStream`]: a connection whose reader lets other tasks run while bytes keep arriving.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures_util::task::AtomicWaker;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that a reader gets before other tasks run.
const STRETCH_BYTES: usize = 8 << 10;

/// A connection whose reader yields after each stretch of bytes, however many have arrived.
///
/// A parser that finds no end in endless input would otherwise occupy the thread for a long time.
#[derive(Debug)]
pub struct PacedStream<S> {
    stream: S,
    /// Number of bytes that were read since the reader last yielded or waited.
    stretch: usize,
    received: Arc<ReceivedBytes>,
}

impl<S> PacedStream<S> {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self::with_received(stream, Arc::default())
    }

    /// Wraps a connection whose bytes are counted.
    pub(crate) fn with_received(stream: S, received: Arc<ReceivedBytes>) -> Self {
        Self {
            stream,
            stretch: 0,
            received,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stretch >= STRETCH_BYTES {
            self.stretch = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let room = buf.remaining().min(STRETCH_BYTES - self.stretch);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        let poll = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        if poll.is_pending() {
            self.stretch = 0;
        }
        ready!(poll)?;
        let len = part.filled().len();
        buf.advance(len);
        self.stretch += len;
        self.received.add(len);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

/// Counts the bytes that are read from a connection, up to a limit. One task at a time waits for it.
#[derive(Debug)]
pub(crate) struct ReceivedBytes {
    count: AtomicUsize,
    limit: AtomicUsize,
    waiting: AtomicWaker,
}

impl Default for ReceivedBytes {
    /// Creates a counter without a limit.
    fn default() -> Self {
        Self {
            count: AtomicUsize::new(0),
            limit: AtomicUsize::new(usize::MAX),
            waiting: AtomicWaker::new(),
        }
    }
}

impl ReceivedBytes {
    /// Counts from zero again, up to `limit` bytes.
    pub(crate) fn restart(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
        self.count.store(0, Ordering::Relaxed);
    }

    /// Is ready once more bytes than the limit were read.
    pub(crate) fn poll_exceeded(&self, cx: &Context<'_>) -> Poll<()> {
        self.waiting.register(cx.waker());
        if self.is_exceeded() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn add(&self, len: usize) {
        self.count.fetch_add(len, Ordering::Relaxed);
        if self.is_exceeded() {
            self.waiting.wake();
        }
    }

    fn is_exceeded(&self) -> bool {
        self.count.load(Ordering::Relaxed) > self.limit.load(Ordering::Relaxed)
    }
}
