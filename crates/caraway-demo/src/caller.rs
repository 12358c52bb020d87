//! [`Caller`] sends planned requests over HTTP and compares each response with the expected one.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use caraway_standin::{ServiceAnswer, token};
use caraway_types::Refusal;
use caraway_wire::{CallError, EventStream, HttpClient, service::IDEMPOTENCY_KEY_HEADER};
use ntex::{client::ClientResponse, http::Method, util::Bytes};
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::{
    deployment::Deployment,
    outcome::{Ending, Outcome},
    schedule::{Planned, Prompt, Work},
};

/// Data of the event that ends a completion stream.
const DONE: &str = "[DONE]";
/// Time that a caller waits beyond the deadline that it sent.
const MARGIN: Duration = Duration::from_secs(5);
/// Time that a caller waits for a response of a service.
const SERVICE_PATIENCE: Duration = Duration::from_secs(15);

/// HTTP client that sends requests for one client account.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    http: HttpClient,
    account: &'static str,
    service: &'static str,
}

impl Caller {
    /// Creates a caller for the deployment's client account.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be created.
    pub(crate) async fn new(deployment: &Deployment) -> Result<Self, CallError> {
        Ok(Self {
            http: HttpClient::new().await?,
            account: deployment.account,
            service: deployment.service,
        })
    }

    /// Sends a request to `addr` and returns its outcome.
    pub(crate) async fn send(&self, addr: SocketAddr, planned: Planned) -> Outcome {
        let mut outcome = Outcome::new(planned.workload, planned.work.clone());
        let limit = match &planned.work {
            Work::Completion(prompt) => Duration::from_secs(prompt.shape.deadline_s) + MARGIN,
            Work::Write { .. } | Work::Read { .. } => SERVICE_PATIENCE,
        };
        let work = async {
            match &planned.work {
                Work::Completion(prompt) => self.complete(addr, prompt, &mut outcome).await,
                Work::Write { path, key, .. } => self.write(addr, path, key, &mut outcome).await,
                Work::Read { path } => self.read(addr, path, &mut outcome).await,
            }
        };
        let ending = timeout(limit, work).await;
        outcome.ended = SystemTime::now();
        outcome.ending = match ending {
            Err(_) => Ending::Unanswered,
            Ok(Ok(ending)) => ending,
            Ok(Err(error)) => Ending::Failed(error.to_string().into()),
        };
        outcome
    }

    async fn complete(
        &self,
        addr: SocketAddr,
        prompt: &Prompt,
        outcome: &mut Outcome,
    ) -> Result<Ending, CallError> {
        let start = Instant::now();
        let deadline = (prompt.shape.deadline_s * 1_000).to_string();
        let headers = [
            ("x-client-account", self.account),
            ("x-class", prompt.shape.class.name()),
            ("x-deadline-ms", &deadline),
        ];
        let path = if prompt.shape.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let body = body(prompt).to_string().into();
        let call = self
            .http
            .send(Method::POST, addr, path, &headers, Some(body));
        let response = call.await?;
        if !response.status().is_success() {
            return refusal(response).await;
        }
        if prompt.shape.stream {
            streamed(response, prompt, start, outcome).await
        } else {
            whole(response, prompt, outcome).await
        }
    }

    async fn write(
        &self,
        addr: SocketAddr,
        path: &str,
        key: &str,
        outcome: &mut Outcome,
    ) -> Result<Ending, CallError> {
        let headers = [
            ("x-client-account", self.account),
            (IDEMPOTENCY_KEY_HEADER, key),
        ];
        let path = format!("/services/{}{path}", self.service);
        let body = json!({ "key": key }).to_string().into();
        let call = self
            .http
            .send(Method::POST, addr, &path, &headers, Some(body));
        let response = call.await?;
        if !response.status().is_success() {
            return refusal(response).await;
        }
        let answer = answer(response).await?;
        outcome.compare("key", &answer.call.key.unwrap_or_default(), key);
        Ok(Ending::Answered)
    }

    async fn read(
        &self,
        addr: SocketAddr,
        path: &str,
        outcome: &mut Outcome,
    ) -> Result<Ending, CallError> {
        let headers = [("x-client-account", self.account)];
        let full = format!("/services/{}{path}", self.service);
        let call = self.http.send(Method::GET, addr, &full, &headers, None);
        let response = call.await?;
        if !response.status().is_success() {
            return refusal(response).await;
        }
        let answer = answer(response).await?;
        let asked = answer.call.path.trim_start_matches("/services/");
        let asked = asked.trim_start_matches(self.service);
        outcome.compare("path", asked, path);
        Ok(Ending::Answered)
    }
}

/// Builds the JSON body of a completion request.
fn body(prompt: &Prompt) -> Value {
    let (tokens, stream) = (prompt.shape.tokens, prompt.shape.stream);
    if prompt.shape.chat {
        let messages = [json!({ "role": "user", "content": prompt.text })];
        json!({
            "model": prompt.model, "messages": messages, "max_tokens": tokens, "stream": stream,
        })
    } else {
        json!({
            "model": prompt.model, "prompt": prompt.text, "max_tokens": tokens, "stream": stream,
        })
    }
}

/// Reads a streamed response and compares every token with the expected one.
async fn streamed(
    response: ClientResponse,
    prompt: &Prompt,
    start: Instant,
    outcome: &mut Outcome,
) -> Result<Ending, CallError> {
    let mut events = EventStream::new(response);
    let mut count = 0;
    let mut last = start;
    while let Ok(Some(event)) = events.next().await {
        if &*event == DONE {
            let tokens = prompt.shape.tokens.to_string();
            outcome.compare("tokens", &count.to_string(), &tokens);
            return Ok(Ending::Answered);
        }
        let event: Value = serde_json::from_str(&event).map_err(unreadable)?;
        if let Some(refusal) = typed(&event) {
            return Ok(Ending::refused(&refusal));
        }
        let now = Instant::now();
        if count == 0 {
            outcome.first = Some(now - start);
        } else {
            outcome.gaps.push(now - last);
        }
        last = now;
        let expected = token(&prompt.adapter, &prompt.as_sent(), count);
        outcome.compare("token", text(&event), &expected);
        compare_model(&event, prompt, outcome);
        count += 1;
    }
    Ok(Ending::Broken)
}

/// Reads a response that is not streamed and compares its text with the expected one.
async fn whole(
    response: ClientResponse,
    prompt: &Prompt,
    outcome: &mut Outcome,
) -> Result<Ending, CallError> {
    let answer: Value = serde_json::from_slice(&read(response).await?).map_err(unreadable)?;
    let sent = prompt.as_sent();
    let tokens = 0..prompt.shape.tokens;
    let expected: String = tokens.map(|i| token(&prompt.adapter, &sent, i)).collect();
    outcome.compare("answer", text(&answer), &expected);
    compare_model(&answer, prompt, outcome);
    Ok(Ending::Answered)
}

/// Compares the model name in a response with the expected adapter version.
fn compare_model(answer: &Value, prompt: &Prompt, outcome: &mut Outcome) {
    let model = answer["model"].as_str().unwrap_or_default();
    outcome.compare("model", model, &prompt.adapter.to_string());
}

/// Returns the generated text of a response or of one streamed event, or "" if there is none.
fn text(answer: &Value) -> &str {
    let choice = &answer["choices"][0];
    let content = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    content
        .into_iter()
        .find_map(Value::as_str)
        .unwrap_or_default()
}

/// Reads an error response; without a typed refusal, the ending is `Failed`.
async fn refusal(response: ClientResponse) -> Result<Ending, CallError> {
    let status = response.status();
    let body = read(response).await?;
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(match typed(&answer) {
        Some(refusal) => Ending::refused(&refusal),
        None => Ending::Failed(format!("status {}", status.as_u16()).into()),
    })
}

/// Parses the typed refusal in the `error` field of a response.
fn typed(answer: &Value) -> Option<Refusal> {
    serde_json::from_value(answer.get("error")?.clone()).ok()
}

async fn answer(response: ClientResponse) -> Result<ServiceAnswer, CallError> {
    serde_json::from_slice(&read(response).await?).map_err(unreadable)
}

async fn read(response: ClientResponse) -> Result<Bytes, CallError> {
    response.body().await.map_err(unreadable)
}

fn unreadable(error: impl std::fmt::Display) -> CallError {
    CallError::Unknown(error.to_string().into())
}
