//! [`PeerClient`]: a client that exchanges `MessagePack` messages with another entry instance.

use std::{net::SocketAddr, time::Duration};

use ntex::util::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{CallError, HttpClient};

/// A client of one peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: HttpClient,
    addr: SocketAddr,
}

impl PeerClient {
    /// Creates a client of the peer at `addr` that uses the connections of `http`.
    #[must_use]
    pub fn new(http: HttpClient, addr: SocketAddr) -> Self {
        Self { http, addr }
    }

    /// Encodes a message for [`Self::exchange`]; the result can be sent to several peers.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the message can't be encoded.
    pub fn encode(message: &impl Serialize) -> Result<Bytes, CallError> {
        rmp_serde::to_vec_named(message)
            .map(Bytes::from)
            .map_err(|e| CallError::NotSent(e.to_string().into()))
    }

    /// Sends an encoded message to `/peer/{path}` and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish within `timeout`.
    pub async fn exchange<A: DeserializeOwned>(
        &self,
        path: &str,
        message: Bytes,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let path = format!("/peer/{path}");
        self.http
            .post_msgpack(self.addr, &path, message, timeout)
            .await
    }
}
