//! Completion and unload requests for the tests.

use std::net::SocketAddr;

use caraway_wire::engine::{CompletionChunk, CompletionRequest};
use ntex::{
    client::{Client, ClientResponse},
    http::StatusCode,
    util::stream_recv,
};

use crate::common::{TIMEOUT, post, post_order};

/// Sends an order to unload `name` and returns its status.
pub(crate) async fn unload(addr: SocketAddr, name: &str, fence: u64) -> StatusCode {
    let order = serde_json::json!({ "lora_name": name });
    post_order(addr, "/v1/unload_lora_adapter", &order, fence).await
}

/// The token stream of a completion.
pub(crate) struct TokenStream {
    response: ClientResponse,
    buffer: String,
    pub(crate) status: StatusCode,
}

impl TokenStream {
    /// Returns the next token, or `None` at the end of the stream, complete or not.
    pub(crate) async fn next_token(&mut self) -> Option<CompletionChunk> {
        let event = self.next_event().await?;
        serde_json::from_str(&event).ok()
    }

    /// Returns the data of the next event, or `None` at the end of the connection.
    pub(crate) async fn next_event(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                return Some(event.trim().trim_start_matches("data: ").to_owned());
            }
            let part = tokio::time::timeout(TIMEOUT, stream_recv(&mut self.response)).await;
            let bytes = part.expect("an event before the timeout")?.ok()?;
            self.buffer.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }

    /// Reads to the end; returns the remaining tokens and whether the stream ended with `DONE`.
    pub(crate) async fn read_to_end(&mut self) -> (Vec<CompletionChunk>, bool) {
        let mut chunks = Vec::new();
        while let Some(event) = self.next_event().await {
            if event == caraway_wire::engine::DONE {
                return (chunks, true);
            }
            chunks.push(serde_json::from_str(&event).unwrap());
        }
        (chunks, false)
    }
}

/// Returns a request for `max_tokens` tokens.
pub(crate) fn completion_request(
    id: &str,
    model: &str,
    prompt: &str,
    max_tokens: u32,
) -> CompletionRequest {
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
pub(crate) async fn start_completion(addr: SocketAddr, request: &CompletionRequest) -> TokenStream {
    let client = Client::new().await;
    let url = format!("http://{addr}/v1/completions");
    let response = client.post(url).send_json(request).await.unwrap();
    TokenStream {
        status: response.status(),
        response,
        buffer: String::new(),
    }
}

/// Cancels the attempt with this id.
pub(crate) async fn cancel(addr: SocketAddr, id: &str) {
    let order = serde_json::json!({ "request_id": id });
    post(addr, "/v1/completions/cancel", &order, &[])
        .await
        .expect("a response to the cancellation");
}
