//! [`LogClient`] calls the platform's log.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use caraway_types::Offset;

use crate::{
    CallError, Http,
    log::{Append, Appended, Page},
};

/// Calls the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: Http,
    addr: SocketAddr,
    limit: Duration,
}

impl LogClient {
    /// Calls the log at `addr` through `http`, each call within `limit`.
    #[must_use]
    pub fn new(http: Http, addr: SocketAddr, limit: Duration) -> Self {
        Self { http, addr, limit }
    }

    /// Appends records to `stream`, all or none.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`]; unless it says not sent, the append may have taken effect, and
    /// the stream must be read before it is repeated.
    pub async fn append(
        &self,
        stream: &str,
        records: Vec<Arc<str>>,
    ) -> Result<Appended, CallError> {
        let path = format!("/v1/streams/{stream}/append");
        let body = Append { records };
        self.http
            .json(self.addr, &path, &[], &body, self.limit)
            .await
    }

    /// Reads at most `max` records of `stream` from offset `from`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`].
    pub async fn read(&self, stream: &str, from: Offset, max: u32) -> Result<Page, CallError> {
        let path = format!("/v1/streams/{stream}/read?from={from}&max={max}");
        self.http.get(self.addr, &path, self.limit).await
    }
}
