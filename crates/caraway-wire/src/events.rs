//! [`EventStream`] reads server-sent events from an answer.

use std::{pin::Pin, sync::Arc};

use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use ntex::{client::ClientResponse, http::error::PayloadError, util::Bytes};

use crate::CallError;

type Events = eventsource_stream::EventStream<Body>;

/// The data of server-sent events, one at a time.
pub struct EventStream {
    events: Pin<Box<Events>>,
}

/// The body of an answer, as the stream that the event reader takes.
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
    /// Reads the events of `response`; dropping the stream closes its connection.
    #[must_use]
    pub fn new(response: ClientResponse) -> Self {
        Self {
            events: Box::pin(Body(response).eventsource()),
        }
    }

    /// Waits for the data of the next event; `None` is the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] when the connection breaks or the bytes are no events.
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
