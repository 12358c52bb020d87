//! [`LogClient`]: a client of the platform's log service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use caraway_types::Offset;

use crate::{
    CallError, HttpClient,
    log::{Append, Appended, Page},
};

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// Creates a client of the log service at `addr` that uses the connections of `http`. `timeout`
    /// applies to each call.
    #[must_use]
    pub fn new(http: HttpClient, addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            addr,
            timeout,
        }
    }

    /// Appends records to `stream`, either all or none of them.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`]. Unless it is [`CallError::NotSent`], the append may have taken
    /// effect, and the stream must be read before the append is retried.
    pub async fn append(
        &self,
        stream: &str,
        records: Vec<Arc<str>>,
    ) -> Result<Appended, CallError> {
        let path = format!("/v1/streams/{stream}/append");
        let body = Append { records };
        self.http
            .post_json(self.addr, &path, &[], &body, self.timeout)
            .await
    }

    /// Reads at most `max` records of `stream`, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish in time.
    pub async fn read(&self, stream: &str, from: Offset, max: u32) -> Result<Page, CallError> {
        let path = format!("/v1/streams/{stream}/read?from={from}&max={max}");
        self.http.get_json(self.addr, &path, self.timeout).await
    }
}
