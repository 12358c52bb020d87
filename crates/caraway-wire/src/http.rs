//! [`Http`], the client that every protocol module shares, and [`CallError`].

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use ntex::{
    SharedCfg,
    client::{
        Client, ClientResponse, Connector,
        error::{ClientError, ConnectError},
    },
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Serialize, de::DeserializeOwned};

/// Largest body that a client reads whole, in bytes.
const BODY_LIMIT_BYTES: usize = 64 << 20;

/// Most connections of a pool. The library takes 0 for no limit, but then never wakes a call that
/// waited while another one connected.
const CONNECTION_LIMIT: usize = usize::MAX;

/// Says how far a failed call got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    NotSent(Arc<str>),
    /// The request may have arrived; no usable answer came back.
    Unknown(Arc<str>),
    /// No answer came back in time; the connection may be silent.
    Timeout,
    /// The other end answered with a failure.
    Status(u16, Arc<str>),
}

/// A pooled HTTP client of one thread.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

impl Http {
    /// Makes a client with an empty pool.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when the connector can't be set up.
    pub async fn new() -> Result<Self, CallError> {
        let client = Client::builder()
            .disable_timeout()
            .response_payload_limit(BODY_LIMIT_BYTES)
            .connector::<()>(Connector::default().limit(CONNECTION_LIMIT))
            .build(SharedCfg::default())
            .await
            .map_err(|e| CallError::NotSent(e.to_string().into()))?;
        Ok(Self { client })
    }

    /// Returns the library's client, for calls that stream.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Sends a call with a JSON body and reads the answer, whatever it holds, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn order<Q: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Q,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let body =
            serde_json::to_vec(body).map_err(|e| CallError::NotSent(e.to_string().into()))?;
        let call = self.call(Method::POST, addr, path, headers, Some(body.into()));
        within(limit, whole(call)).await
    }

    /// Sends a call with a JSON body and reads a JSON answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Q,
        limit: Duration,
    ) -> Result<A, CallError> {
        let answer = self.order(addr, path, headers, body, limit).await?;
        serde_json::from_slice(&answer).map_err(unreadable)
    }

    /// Fetches a JSON answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn get<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<A, CallError> {
        let call = self.call(Method::GET, addr, path, &[], None);
        let answer = within(limit, whole(call)).await?;
        serde_json::from_slice(&answer).map_err(unreadable)
    }

    /// Sends a `MessagePack` message and reads one within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn msgpack<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<A, CallError> {
        let call = self.call(Method::POST, addr, path, &[], Some(body));
        let answer = within(limit, whole(call)).await?;
        rmp_serde::from_slice(&answer).map_err(unreadable)
    }

    /// Sends a call and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that says how far the call got.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Bytes>,
    ) -> Result<ClientResponse, CallError> {
        let mut request = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .address(addr);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        answer.map_err(|e| CallError::from_client(&e))
    }
}

impl CallError {
    /// Tells whether the call certainly had no effect.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    fn from_client(error: &ClientError) -> Self {
        let detail: Arc<str> = error.to_string().into();
        match error {
            // Without a cause it is a connection that closed after the request was written; a
            // connection that could not be opened has a cause.
            ClientError::Connect(ConnectError::Disconnected(None)) => Self::Unknown(detail),
            ClientError::Connect(_) | ClientError::Url(_) | ClientError::Http(_) => {
                Self::NotSent(detail)
            }
            ClientError::Timeout => Self::Timeout,
            _ => Self::Unknown(detail),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Unknown(why) => write!(f, "no usable answer: {why}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Status(code, body) => write!(f, "status {code}: {body}"),
        }
    }
}

impl std::error::Error for CallError {}

async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(Err(CallError::Timeout))
}

async fn whole(
    call: impl Future<Output = Result<ClientResponse, CallError>>,
) -> Result<Bytes, CallError> {
    let response = call.await?;
    let status = response.status();
    let body = response
        .body()
        .await
        .map_err(|e| CallError::Unknown(e.to_string().into()))?;
    if status == StatusCode::OK {
        Ok(body)
    } else {
        let text = String::from_utf8_lossy(&body);
        Err(CallError::Status(status.as_u16(), text.as_ref().into()))
    }
}

fn unreadable(error: impl fmt::Display) -> CallError {
    CallError::Unknown(error.to_string().into())
}
