//! [`HttpClient`]: the HTTP client on which the protocol clients are built, and its [`CallError`].

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

/// Maximum size of a response's body that is read into memory.
const BODY_LIMIT_BYTES: usize = 64 << 20;

/// Maximum number of connections in a pool. The library documents 0 as unlimited, but then it
/// never wakes a call that waited while another one connected.
const CONNECTION_LIMIT: usize = usize::MAX;

/// Why a call failed, and whether its request may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent, so it had no effect; the cause.
    NotSent(Arc<str>),
    /// The request may have taken effect, but no valid response was received; the cause.
    Unknown(Arc<str>),
    /// No response was received in time; the request may have taken effect.
    Timeout,
    /// The server responded with a status other than 200: the status code and the body.
    Status(u16, Arc<str>),
}

/// An HTTP client with a connection pool, for use on one thread.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// Creates a client with an empty connection pool.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the connector can't be set up.
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

    /// Returns the underlying client of the HTTP library, for streaming requests.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Sends a `POST` request with a JSON body and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish within `timeout`.
    pub async fn post<Q: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Q,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let body =
            serde_json::to_vec(body).map_err(|e| CallError::NotSent(e.to_string().into()))?;
        let response = self.send(Method::POST, addr, path, headers, Some(body.into()));
        with_timeout(timeout, read_body(response)).await
    }

    /// Sends a `POST` request with a JSON body and decodes the response from JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish within `timeout`.
    pub async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let answer = self.post(addr, path, headers, body, timeout).await?;
        serde_json::from_slice(&answer).map_err(decode_error)
    }

    /// Sends a `GET` request and decodes the response from JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish within `timeout`.
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let response = self.send(Method::GET, addr, path, &[], None);
        let answer = with_timeout(timeout, read_body(response)).await?;
        serde_json::from_slice(&answer).map_err(decode_error)
    }

    /// Sends a `POST` request with a `MessagePack` body and decodes the response from
    /// `MessagePack`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails or does not finish within `timeout`.
    pub async fn post_msgpack<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let response = self.send(Method::POST, addr, path, &[], Some(body));
        let answer = with_timeout(timeout, read_body(response)).await?;
        rmp_serde::from_slice(&answer).map_err(decode_error)
    }

    /// Sends a request, without a timeout, and returns once the head of the response is received.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no response is received. A response with any status is a success
    /// here.
    pub async fn send(
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
    /// Returns whether the request was not sent, so that it certainly had no effect.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    fn from_client(error: &ClientError) -> Self {
        let detail: Arc<str> = error.to_string().into();
        match error {
            // Without a cause, an open connection was closed after the request was written. A
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
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "no usable answer: {cause}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Status(code, body) => write!(f, "status {code}: {body}"),
        }
    }
}

impl std::error::Error for CallError {}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or(Err(CallError::Timeout))
}

/// Awaits a response and reads its body; any status other than 200 is an error.
async fn read_body(
    response: impl Future<Output = Result<ClientResponse, CallError>>,
) -> Result<Bytes, CallError> {
    let response = response.await?;
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

fn decode_error(error: impl fmt::Display) -> CallError {
    CallError::Unknown(error.to_string().into())
}
