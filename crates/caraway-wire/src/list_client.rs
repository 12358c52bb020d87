//! [`ListClient`] reads the platform's list of instances and endpoints.

use std::{net::SocketAddr, time::Duration};

use crate::{CallError, Http, list::Listing};

/// Calls the list service.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: Http,
    addr: SocketAddr,
}

impl ListClient {
    /// Calls the list at `addr` through `http`.
    #[must_use]
    pub fn new(http: Http, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Fetches the list within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`].
    pub async fn fetch(&self, limit: Duration) -> Result<Listing, CallError> {
        self.http.get(self.addr, "/v1/instances", limit).await
    }
}
