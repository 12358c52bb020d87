//! Callers of the daemons: each call runs on a thread of its own.

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

/// Bound on each wait of a test.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) certainty: Option<String>,
    pub(crate) body: String,
}

impl Answer {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a whole completion.
    pub(crate) fn text(&self) -> String {
        let text = &self.json()["choices"][0]["text"];
        text.as_str().unwrap_or_default().to_owned()
    }
}

/// Runs `work` on a system of its own and returns what it returns.
pub(crate) fn run<T: Send + 'static, F>(work: impl FnOnce() -> F + Send + 'static) -> T
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

/// Sends a request; `None` says that no whole answer came.
pub(crate) fn send(
    method: &'static str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<String>,
) -> Option<Answer> {
    let path = path.to_owned();
    let own = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    let headers: Vec<_> = headers.iter().map(own).collect();
    run(move || async move {
        let method = Method::from_bytes(method.as_bytes()).ok()?;
        let http = HttpClient::new().await.ok()?;
        let headers: Vec<_> = headers
            .iter()
            .map(|(n, v)| (n.as_str(), v.as_str()))
            .collect();
        let call = http.send(method, addr, &path, &headers, body.map(Into::into));
        let response = tokio::time::timeout(PATIENCE, call).await.ok()?.ok()?;
        let certainty = response.headers().get("x-certainty");
        let certainty = certainty.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = tokio::time::timeout(PATIENCE, response.body())
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

/// Gets a path.
pub(crate) fn get(addr: SocketAddr, path: &str) -> Option<Answer> {
    send("GET", addr, path, &[], None)
}

/// Asks for a whole completion.
pub(crate) fn complete(addr: SocketAddr, model: &str, prompt: &str, tokens: u32) -> Option<Answer> {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens }).to_string();
    let headers = [("x-client-account", "co-op")];
    send("POST", addr, "/v1/completions", &headers, Some(body))
}

/// The tokens of a streamed completion, and whether the stream was closed as whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streamed {
    pub(crate) status: u16,
    pub(crate) tokens: Vec<String>,
    pub(crate) whole: bool,
    pub(crate) error: Option<Value>,
}

/// Asks for a streamed completion and calls `on_token` with the count after each token.
pub(crate) fn stream(
    addr: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
    on_token: impl FnMut(usize) + Send + 'static,
) -> Streamed {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
    let mut on_token = on_token;
    run(move || async move {
        let mut streamed = Streamed::default();
        let Ok(http) = HttpClient::new().await else {
            return streamed;
        };
        let headers = [("x-client-account", "co-op")];
        let body = Some(body.to_string().into());
        let call = http.send(Method::POST, addr, "/v1/completions", &headers, body);
        let Ok(Ok(response)) = tokio::time::timeout(PATIENCE, call).await else {
            return streamed;
        };
        streamed.status = response.status().as_u16();
        let mut events = EventStream::new(response);
        while let Ok(Ok(Some(data))) = tokio::time::timeout(PATIENCE, events.next()).await {
            if &*data == "[DONE]" {
                streamed.whole = true;
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

/// Returns the tokens that the named adapter version gives to a prompt.
pub(crate) fn expected(model: &str, prompt: &str, tokens: u32) -> Vec<String> {
    let adapter: AdapterRef = model.parse().expect("adapter@version");
    (0..tokens).map(|i| token(&adapter, prompt, i)).collect()
}

/// Waits until `holds`; panics when it never does.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "it never came about: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
