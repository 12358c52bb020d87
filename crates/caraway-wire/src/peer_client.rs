//! [`PeerClient`] exchanges `MessagePack` messages with another entry instance.

use std::{net::SocketAddr, time::Duration};

use ntex::util::Bytes;
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

    /// Encodes a message for [`Self::exchange`].
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when the message can't be encoded.
    pub fn encode(message: &impl Serialize) -> Result<Bytes, CallError> {
        rmp_serde::to_vec_named(message)
            .map(Bytes::from)
            .map_err(|e| CallError::NotSent(e.to_string().into()))
    }

    /// Sends an encoded message to `path` under `/peer/` and reads the answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn exchange<A: DeserializeOwned>(
        &self,
        path: &str,
        message: Bytes,
        limit: Duration,
    ) -> Result<A, CallError> {
        let path = format!("/peer/{path}");
        self.http.msgpack(self.addr, &path, message, limit).await
    }
}
