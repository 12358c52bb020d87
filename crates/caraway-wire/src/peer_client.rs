//! [`PeerClient`] exchanges `MessagePack` messages with another entry instance.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};

use crate::{CallError, Http};

/// Calls one peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: Http,
    addr: SocketAddr,
}

impl PeerClient {
    /// Calls the peer at `addr` through `http`.
    #[must_use]
    pub fn new(http: Http, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Sends `message` to `path` under `/peer/` and reads the answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, CallError> {
        let path = format!("/peer/{path}");
        self.http.msgpack(self.addr, &path, message, limit).await
    }
}
