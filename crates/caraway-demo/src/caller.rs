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
    schedule::{CompletionRequest, PlannedRequest, Request},
};

/// Data of the event that ends a completion stream.
const STREAM_END: &str = "[DONE]";
/// Time that a caller waits beyond the deadline that it sent.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);
/// Time that a caller waits for a response of a service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(15);

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
    pub(crate) async fn send(&self, addr: SocketAddr, planned: PlannedRequest) -> Outcome {
        let mut outcome = Outcome::new(planned.workload_index, planned.request.clone());
        let limit = match &planned.request {
            Request::Completion(completion) => {
                Duration::from_secs(completion.shape.deadline_s) + DEADLINE_MARGIN
            }
            Request::Write { .. } | Request::Read { .. } => SERVICE_TIMEOUT,
        };
        let exchange = async {
            match &planned.request {
                Request::Completion(completion) => {
                    self.send_completion(addr, completion, &mut outcome).await
                }
                Request::Write { path, key, .. } => {
                    self.send_write(addr, path, key, &mut outcome).await
                }
                Request::Read { path } => self.send_read(addr, path, &mut outcome).await,
            }
        };
        let ending = timeout(limit, exchange).await;
        outcome.ended_at = SystemTime::now();
        outcome.ending = match ending {
            Err(_) => Ending::Unanswered,
            Ok(Ok(ending)) => ending,
            Ok(Err(error)) => Ending::Failed(error.to_string().into()),
        };
        outcome
    }

    /// Sends a completion and checks the tokens of the response.
    async fn send_completion(
        &self,
        addr: SocketAddr,
        completion: &CompletionRequest,
        outcome: &mut Outcome,
    ) -> Result<Ending, CallError> {
        let start = Instant::now();
        let deadline = (completion.shape.deadline_s * 1_000).to_string();
        let headers = [
            ("x-client-account", self.account),
            ("x-class", completion.shape.class.name()),
            ("x-deadline-ms", &deadline),
        ];
        let path = if completion.shape.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let body = completion_body(completion).to_string().into();
        let pending = self
            .http
            .send(Method::POST, addr, path, &headers, Some(body));
        let response = pending.await?;
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        if completion.shape.stream {
            read_stream(response, completion, start, outcome).await
        } else {
            read_completion(response, completion, outcome).await
        }
    }

    /// Sends a write and checks that the response names its idempotency key.
    async fn send_write(
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
        let pending = self
            .http
            .send(Method::POST, addr, &path, &headers, Some(body));
        let response = pending.await?;
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        let answer = read_service_answer(response).await?;
        outcome.compare("key", &answer.call.key.unwrap_or_default(), key);
        Ok(Ending::Answered)
    }

    /// Sends a read and checks that the response names its path.
    async fn send_read(
        &self,
        addr: SocketAddr,
        path: &str,
        outcome: &mut Outcome,
    ) -> Result<Ending, CallError> {
        let headers = [("x-client-account", self.account)];
        let service_path = format!("/services/{}{path}", self.service);
        let pending = self
            .http
            .send(Method::GET, addr, &service_path, &headers, None);
        let response = pending.await?;
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        let answer = read_service_answer(response).await?;
        let requested = answer.call.path.trim_start_matches("/services/");
        let requested = requested.trim_start_matches(self.service);
        outcome.compare("path", requested, path);
        Ok(Ending::Answered)
    }
}

/// Builds the JSON body of a completion request.
fn completion_body(completion: &CompletionRequest) -> Value {
    let (tokens, stream) = (completion.shape.tokens, completion.shape.stream);
    if completion.shape.chat {
        let messages = [json!({ "role": "user", "content": completion.prompt })];
        json!({
            "model": completion.model, "messages": messages, "max_tokens": tokens, "stream": stream,
        })
    } else {
        json!({
            "model": completion.model, "prompt": completion.prompt, "max_tokens": tokens,
            "stream": stream,
        })
    }
}

/// Reads a streamed response and compares every token with the expected one.
async fn read_stream(
    response: ClientResponse,
    completion: &CompletionRequest,
    start: Instant,
    outcome: &mut Outcome,
) -> Result<Ending, CallError> {
    let mut events = EventStream::new(response);
    let mut token_count = 0;
    let mut last_token_at = start;
    while let Ok(Some(event)) = events.next().await {
        if &*event == STREAM_END {
            let tokens = completion.shape.tokens.to_string();
            outcome.compare("tokens", &token_count.to_string(), &tokens);
            return Ok(Ending::Answered);
        }
        let event: Value = serde_json::from_str(&event).map_err(invalid_response)?;
        if let Some(refusal) = parse_refusal(&event) {
            return Ok(Ending::from_refusal(&refusal));
        }
        let now = Instant::now();
        if token_count == 0 {
            outcome.first_token = Some(now - start);
        } else {
            outcome.token_gaps.push(now - last_token_at);
        }
        last_token_at = now;
        let expected = token(
            &completion.adapter,
            &completion.engine_prompt(),
            token_count,
        );
        outcome.compare("token", answer_text(&event), &expected);
        compare_model(&event, completion, outcome);
        token_count += 1;
    }
    Ok(Ending::Broken)
}

/// Reads a response that is not streamed and compares its text with the expected one.
async fn read_completion(
    response: ClientResponse,
    completion: &CompletionRequest,
    outcome: &mut Outcome,
) -> Result<Ending, CallError> {
    let answer: Value =
        serde_json::from_slice(&read_body(response).await?).map_err(invalid_response)?;
    let engine_prompt = completion.engine_prompt();
    let tokens = 0..completion.shape.tokens;
    let expected: String = tokens
        .map(|i| token(&completion.adapter, &engine_prompt, i))
        .collect();
    outcome.compare("answer", answer_text(&answer), &expected);
    compare_model(&answer, completion, outcome);
    Ok(Ending::Answered)
}

/// Compares the model name in a response with the expected adapter version.
fn compare_model(answer: &Value, completion: &CompletionRequest, outcome: &mut Outcome) {
    let model = answer["model"].as_str().unwrap_or_default();
    outcome.compare("model", model, &completion.adapter.to_string());
}

/// Returns the generated text of a response or of one streamed event, or "" if there is none.
fn answer_text(answer: &Value) -> &str {
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
async fn read_refusal(response: ClientResponse) -> Result<Ending, CallError> {
    let status = response.status();
    let body = read_body(response).await?;
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(match parse_refusal(&answer) {
        Some(refusal) => Ending::from_refusal(&refusal),
        None => Ending::Failed(format!("status {}", status.as_u16()).into()),
    })
}

/// Parses the typed refusal in the `error` field of a response.
fn parse_refusal(answer: &Value) -> Option<Refusal> {
    serde_json::from_value(answer.get("error")?.clone()).ok()
}

async fn read_service_answer(response: ClientResponse) -> Result<ServiceAnswer, CallError> {
    serde_json::from_slice(&read_body(response).await?).map_err(invalid_response)
}

async fn read_body(response: ClientResponse) -> Result<Bytes, CallError> {
    response.body().await.map_err(invalid_response)
}

/// Returns the error for a response that can't be read or parsed.
fn invalid_response(error: impl std::fmt::Display) -> CallError {
    CallError::Unknown(error.to_string().into())
}
