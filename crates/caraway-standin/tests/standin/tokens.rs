//! A caller of completions for the tests.

use std::net::SocketAddr;

use caraway_wire::engine::{CompletionChunk, CompletionRequest};
use ntex::{
    client::{Client, ClientResponse},
    http::StatusCode,
    util::stream_recv,
};

use crate::common::{PATIENCE, order_at, post};

/// Orders an unload.
pub(crate) async fn unload(addr: SocketAddr, name: &str, fence: u64) -> StatusCode {
    let order = serde_json::json!({ "lora_name": name });
    order_at(addr, "/v1/unload_lora_adapter", &order, fence).await
}

/// A stream of tokens.
pub(crate) struct Tokens {
    response: ClientResponse,
    buffer: String,
    pub(crate) status: StatusCode,
}

impl Tokens {
    /// Returns the next token, or `None` when the stream ended or broke.
    pub(crate) async fn next(&mut self) -> Option<CompletionChunk> {
        let event = self.event().await?;
        serde_json::from_str(&event).ok()
    }

    /// Returns the data of the next event, or `None` when the stream ended or broke.
    pub(crate) async fn event(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                return Some(event.trim().trim_start_matches("data: ").to_owned());
            }
            let part = tokio::time::timeout(PATIENCE, stream_recv(&mut self.response)).await;
            let bytes = part.expect("progress in time")?.ok()?;
            self.buffer.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }

    /// Reads to the end: the tokens, and whether the stream was closed as a whole.
    pub(crate) async fn rest(&mut self) -> (Vec<CompletionChunk>, bool) {
        let mut chunks = Vec::new();
        while let Some(event) = self.event().await {
            if event == caraway_wire::engine::DONE {
                return (chunks, true);
            }
            chunks.push(serde_json::from_str(&event).unwrap());
        }
        (chunks, false)
    }
}

/// Makes a request for `max_tokens` tokens.
pub(crate) fn request(id: &str, model: &str, prompt: &str, max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: model.into(),
        prompt: prompt.into(),
        max_tokens,
        stream: true,
        request_id: id.into(),
        ..CompletionRequest::default()
    }
}

/// Starts a completion.
pub(crate) async fn complete(addr: SocketAddr, request: &CompletionRequest) -> Tokens {
    let client = Client::new().await;
    let url = format!("http://{addr}/v1/completions");
    let response = client.post(url).send_json(request).await.unwrap();
    Tokens {
        status: response.status(),
        response,
        buffer: String::new(),
    }
}

/// Cancels an attempt.
pub(crate) async fn cancel(addr: SocketAddr, id: &str) {
    let order = serde_json::json!({ "request_id": id });
    post(addr, "/v1/completions/cancel", &order, &[])
        .await
        .expect("an answer to the cancellation");
}
