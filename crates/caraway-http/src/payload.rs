//! [`Payload`]: the body of a request or response that this process sends.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Aborts a streamed body. The connection is closed, so that the receiver detects that the body is
/// incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended early")
    }
}

impl std::error::Error for Aborted {}

/// The body of a request or response that this process sends.
#[derive(Debug)]
pub enum Payload {
    /// A body that is sent in one piece; `None` if it is empty or was already handed to the
    /// connection.
    Whole(Option<Bytes>),
    /// A streamed body. It is complete once the channel's sender is dropped, and is aborted if the
    /// channel carries [`Aborted`].
    Stream(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl Payload {
    /// Creates an empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// Creates a body of `bytes`, sent with its length.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|b| !b.is_empty()))
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|c| c.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(len as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
