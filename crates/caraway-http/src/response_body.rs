//! [`ResponseBody`]: the body of a response that is still arriving.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::paced_stream::ReceivedBytes;

/// Most bytes that may arrive without a part of the body.
const MAX_FRAMING_BYTES: usize = 8 << 10;

/// The body of a response that is still arriving on its connection.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    /// The bytes that have arrived since the last frame.
    received: Arc<ReceivedBytes>,
}

/// Why a response's body can't be read to its end.
#[derive(Debug)]
pub enum ResponseError {
    /// The connection failed or closed before the end of the body.
    Connection(hyper::Error),
    /// Many bytes have arrived without a part of the body, for example a chunk size without end.
    NoData,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => error.fmt(f),
            Self::NoData => f.write_str("the framing of the body has no end"),
        }
    }
}

impl std::error::Error for ResponseError {}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, received: Arc<ReceivedBytes>) -> Self {
        received.restart(MAX_FRAMING_BYTES);
        Self { body, received }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => {
                self.received.restart(MAX_FRAMING_BYTES);
                Poll::Ready(frame.map(|f| f.map_err(ResponseError::Connection)))
            }
            Poll::Pending => {
                ready!(self.received.poll_exceeded(cx));
                Poll::Ready(Some(Err(ResponseError::NoData)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
