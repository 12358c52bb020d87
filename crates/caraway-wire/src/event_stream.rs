//! [`EventStream`]: a reader of server-sent events in the body of a response.

use std::{pin::Pin, sync::Arc};

use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use ntex::{client::ClientResponse, http::error::PayloadError, util::Bytes};

use crate::CallError;

type Events = eventsource_stream::EventStream<Body>;

/// A reader of the server-sent events in the body of a response.
pub struct EventStream {
    events: Pin<Box<Events>>,
}

/// Adapts the body of a response to the stream type that the event parser reads.
struct Body(ClientResponse);

impl Stream for Body {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        Pin::new(&mut self.0).poll_next(cx)
    }
}

impl EventStream {
    /// Creates a reader of the events of `response`. Dropping the reader closes its connection.
    #[must_use]
    pub fn new(response: ClientResponse) -> Self {
        Self {
            events: Box::pin(Body(response).eventsource()),
        }
    }

    /// Waits for the next event and returns its data, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] if the connection fails or an event can't be parsed.
    pub async fn next(&mut self) -> Result<Option<Arc<str>>, CallError> {
        match self.events.next().await {
            None => Ok(None),
            Some(Ok(event)) => Ok(Some(event.data.into())),
            Some(Err(error)) => Err(CallError::Unknown(describe(&error).into())),
        }
    }
}

fn describe(error: &EventStreamError<PayloadError>) -> String {
    match error {
        EventStreamError::Transport(e) => e.to_string(),
        other => other.to_string(),
    }
}
