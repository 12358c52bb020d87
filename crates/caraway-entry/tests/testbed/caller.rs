//! Blocking HTTP calls to the daemons; each runs on a thread of its own.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use caraway_standin::token;
use caraway_types::AdapterRef;
use caraway_wire::{EventStream, HttpClient};
use ntex::http::Method;
use serde_json::{Value, json};

/// Longest that a test waits for one thing.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Value of the header `x-certainty`, which refusals carry.
    pub(crate) certainty: Option<String>,
    pub(crate) body: String,
}

impl Answer {
    /// Returns the body as JSON, or null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a completion that was not streamed.
    pub(crate) fn text(&self) -> String {
        let text = &self.json()["choices"][0]["text"];
        text.as_str().unwrap_or_default().to_owned()
    }
}

/// Runs `work` to completion on a new thread with an `ntex` system and returns its result.
pub(crate) fn block_on_thread<T: Send + 'static, F>(work: impl FnOnce() -> F + Send + 'static) -> T
where
    F: Future<Output = T> + 'static,
{
    thread::spawn(move || {
        ntex::rt::System::build()
            .disable_signals()
            .build(ntex::rt::DefaultRuntime)
            .block_on(async move { work().await })
    })
    .join()
    .expect("the call does not panic")
}

/// Sends a request; returns `None` if no complete response arrived.
pub(crate) fn send(
    method: &'static str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<String>,
) -> Option<Answer> {
    let path = path.to_owned();
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    let headers: Vec<_> = headers.iter().map(owned).collect();
    block_on_thread(move || async move {
        let method = Method::from_bytes(method.as_bytes()).ok()?;
        let http = HttpClient::new().await.ok()?;
        let headers: Vec<_> = headers
            .iter()
            .map(|(n, v)| (n.as_str(), v.as_str()))
            .collect();
        let call = http.send(method, addr, &path, &headers, body.map(Into::into));
        let response = tokio::time::timeout(WAIT_TIMEOUT, call).await.ok()?.ok()?;
        let certainty = response.headers().get("x-certainty");
        let certainty = certainty.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = tokio::time::timeout(WAIT_TIMEOUT, response.body())
            .await
            .ok()?
            .ok()?;
        Some(Answer {
            status: response.status().as_u16(),
            certainty,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    })
}

/// Sends a GET request without headers.
pub(crate) fn get(addr: SocketAddr, path: &str) -> Option<Answer> {
    send("GET", addr, path, &[], None)
}

/// Requests a completion as one body.
pub(crate) fn complete(addr: SocketAddr, model: &str, prompt: &str, tokens: u32) -> Option<Answer> {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens }).to_string();
    let headers = [("x-client-account", "co-op")];
    send("POST", addr, "/v1/completions", &headers, Some(body))
}

/// Result of a streamed completion.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streamed {
    pub(crate) status: u16,
    pub(crate) tokens: Vec<String>,
    /// Whether the stream ended with `[DONE]`.
    pub(crate) is_complete: bool,
    /// Refusal that ended the stream.
    pub(crate) error: Option<Value>,
}

/// Requests a streamed completion; calls `on_token` after each token with the number received.
pub(crate) fn stream(
    addr: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
    on_token: impl FnMut(usize) + Send + 'static,
) -> Streamed {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
    let mut on_token = on_token;
    block_on_thread(move || async move {
        let mut streamed = Streamed::default();
        let Ok(http) = HttpClient::new().await else {
            return streamed;
        };
        let headers = [("x-client-account", "co-op")];
        let body = Some(body.to_string().into());
        let call = http.send(Method::POST, addr, "/v1/completions", &headers, body);
        let Ok(Ok(response)) = tokio::time::timeout(WAIT_TIMEOUT, call).await else {
            return streamed;
        };
        streamed.status = response.status().as_u16();
        let mut events = EventStream::new(response);
        while let Ok(Ok(Some(data))) = tokio::time::timeout(WAIT_TIMEOUT, events.next()).await {
            if &*data == "[DONE]" {
                streamed.is_complete = true;
                return streamed;
            }
            let value: Value = serde_json::from_str(&data).unwrap_or_default();
            if let Some(text) = value["choices"][0]["text"].as_str() {
                streamed.tokens.push(text.to_owned());
                on_token(streamed.tokens.len());
            } else {
                streamed.error = Some(value["error"].clone());
            }
        }
        streamed
    })
}

/// Returns the tokens that a stand-in engine generates for a prompt with the adapter version
/// `model`.
pub(crate) fn expected(model: &str, prompt: &str, tokens: u32) -> Vec<String> {
    let adapter: AdapterRef = model.parse().expect("adapter@version");
    (0..tokens).map(|i| token(&adapter, prompt, i)).collect()
}

/// Waits until `condition` returns true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
pub(crate) fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out before: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
