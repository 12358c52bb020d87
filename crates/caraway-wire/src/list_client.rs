//! [`ListClient`]: a client of the platform's list of instances and endpoints.

use std::{net::SocketAddr, time::Duration};

use crate::{CallError, HttpClient, list::Listing};

/// A client of the list service.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: HttpClient,
    addr: SocketAddr,
}

impl ListClient {
    /// Creates a client of the list service at `addr` that uses the connections of `http`.
    #[must_use]
    pub fn new(http: HttpClient, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish within `timeout`.
    pub async fn fetch(&self, timeout: Duration) -> Result<Listing, CallError> {
        self.http
            .get_json(self.addr, "/v1/instances", timeout)
            .await
    }
}
