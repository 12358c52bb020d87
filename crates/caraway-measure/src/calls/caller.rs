//! The callers: send calls to the daemons and keep the outcome of each attempt.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use anyhow::Result;
use caraway_wire::{CallError, EventStream, HttpClient};
use ntex::http::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::{ADAPTERS, RunState, lock};
use crate::deployment::ACCOUNT;

/// Longest time for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before the next attempt of a call with an idempotency key.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Tokens that each completion generates.
pub(crate) const TOKENS: u32 = 6;

/// The kinds of calls.
///
/// Reports hold the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A streamed completion.
    Stream,
    /// A completion whose answer is one body.
    Whole,
    /// A service call that writes, with an idempotency key.
    Keyed,
    /// A service call that writes, without a key.
    Keyless,
    /// A service call that only reads.
    Read,
}

/// One attempt of a call with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Number of the call.
    pub(crate) call: u32,
    /// Kind of the call.
    pub(crate) kind: CallKind,
    /// How the attempt ended.
    pub(crate) outcome: Outcome,
}

/// The outcome of an attempt.
///
/// Reports hold the names of the variants.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The whole answer: the tokens' text, or the body of the service's answer.
    Answered(String),
    /// The text of a stream that ended early, by an error event or a broken connection.
    Part(String),
    /// An error answer; `not_run` says that its certainty is `not_run`.
    Refused { not_run: bool, reason: String },
    /// No connection could be opened, so nothing was sent.
    Unsent,
    /// The answer is missing, unreadable or late, after the request may have been sent.
    Lost,
}

/// Returns the text that identifies a call in prompts, bodies, paths and keys.
pub(crate) fn call_name(call: u32) -> String {
    format!("call-{call}")
}

/// Returns the adapter version that a call requests.
pub(crate) fn call_model(call: u32) -> String {
    format!("adapter-{}@v1", call % ADAPTERS)
}

/// Returns whether a daemon answers a completion.
pub(crate) async fn is_ready(addr: SocketAddr) -> Result<bool> {
    let http = HttpClient::new().await?;
    let outcome = send_attempt(&http, addr, u32::MAX, CallKind::Whole).await;
    Ok(matches!(outcome, Outcome::Answered(_)))
}

/// Runs `callers` concurrent callers until every call of the run was sent.
pub(crate) async fn run_callers(run: Arc<RunState>, callers: usize) -> Result<()> {
    let tasks: Vec<_> = (0..callers)
        .map(|_| ntex::rt::spawn(run_caller(Arc::clone(&run))))
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    Ok(())
}

/// Takes calls from the run until none is left; each call's kind follows from the seed.
async fn run_caller(run: Arc<RunState>) {
    let Ok(http) = HttpClient::new().await else {
        return;
    };
    loop {
        let call = run.next_call.fetch_add(1, Ordering::Relaxed);
        if call >= run.calls {
            return;
        }
        let mut rng = ChaCha8Rng::seed_from_u64(run.seed ^ (u64::from(call) << 32));
        let kind = match rng.random_range(0..100) {
            0..35 => CallKind::Stream,
            35..45 => CallKind::Whole,
            45..70 => CallKind::Keyed,
            70..85 => CallKind::Keyless,
            _ => CallKind::Read,
        };
        let attempts = if kind == CallKind::Keyed {
            rng.random_range(1..4)
        } else {
            1
        };
        for attempt in 0..attempts {
            if attempt > 0 {
                sleep(RETRY_DELAY).await;
            }
            let addr = pick_addr(&run, &mut rng);
            let outcome = send_attempt(&http, addr, call, kind).await;
            lock(&run.attempts).push(Attempt {
                call,
                kind,
                outcome,
            });
        }
    }
}

fn pick_addr(run: &RunState, rng: &mut ChaCha8Rng) -> SocketAddr {
    let addrs = run.addrs.read().unwrap_or_else(PoisonError::into_inner);
    addrs[rng.random_range(0..addrs.len())]
}

async fn send_attempt(http: &HttpClient, addr: SocketAddr, call: u32, kind: CallKind) -> Outcome {
    let outcome = match kind {
        CallKind::Stream | CallKind::Whole => {
            timeout(ATTEMPT_TIMEOUT, send_completion(http, addr, call, kind)).await
        }
        _ => timeout(ATTEMPT_TIMEOUT, send_service_call(http, addr, call, kind)).await,
    };
    outcome.unwrap_or(Outcome::Lost)
}

async fn send_completion(
    http: &HttpClient,
    addr: SocketAddr,
    call: u32,
    kind: CallKind,
) -> Outcome {
    let is_stream = kind == CallKind::Stream;
    let body = json!({
        "model": call_model(call), "prompt": call_name(call), "max_tokens": TOKENS, "stream": is_stream,
    });
    let headers = [("x-client-account", ACCOUNT)];
    let body = Some(body.to_string().into());
    let response = http.send(Method::POST, addr, "/v1/completions", &headers, body);
    let response = match response.await {
        Ok(response) => response,
        Err(error) => return transport_failure(&error),
    };
    let status = response.status().as_u16();
    if status == 200 && is_stream {
        return read_stream(EventStream::new(response)).await;
    }
    let Ok(body) = response.body().await else {
        return Outcome::Lost;
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    match value["choices"][0]["text"].as_str() {
        Some(text) if status == 200 => Outcome::Answered(text.to_owned()),
        _ => parse_refusal(&value),
    }
}

async fn read_stream(mut events: EventStream) -> Outcome {
    let mut text = String::new();
    while let Ok(Some(data)) = events.next().await {
        if &*data == "[DONE]" {
            return Outcome::Answered(text);
        }
        let value: Value = serde_json::from_str(&data).unwrap_or_default();
        match value["choices"][0]["text"].as_str() {
            Some(token) => text.push_str(token),
            None => return Outcome::Part(text),
        }
    }
    Outcome::Part(text)
}

async fn send_service_call(
    http: &HttpClient,
    addr: SocketAddr,
    call: u32,
    kind: CallKind,
) -> Outcome {
    let key = call_name(call);
    let mut headers = vec![("x-client-account", ACCOUNT)];
    if kind == CallKind::Keyed {
        headers.push(("idempotency-key", &key));
    }
    let (method, path, body) = if kind == CallKind::Read {
        let path = format!("/services/quotes/status/{key}");
        (Method::GET, path, None)
    } else {
        let path = "/services/quotes/deposits".to_owned();
        (Method::POST, path, Some(key.clone().into()))
    };
    let response = match http.send(method, addr, &path, &headers, body).await {
        Ok(response) => response,
        Err(error) => return transport_failure(&error),
    };
    let status = response.status().as_u16();
    let Ok(body) = response.body().await else {
        return Outcome::Lost;
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let call = &value["call"];
    match (call["path"].as_str(), call["body"].as_str()) {
        (Some(path), _) if status == 200 && kind == CallKind::Read => {
            Outcome::Answered(path.to_owned())
        }
        (_, Some(body)) if status == 200 => Outcome::Answered(body.to_owned()),
        _ => parse_refusal(&value),
    }
}

fn transport_failure(error: &CallError) -> Outcome {
    if error.not_sent() {
        Outcome::Unsent
    } else {
        Outcome::Lost
    }
}

fn parse_refusal(body: &Value) -> Outcome {
    let error = &body["error"];
    let Some(certainty) = error["certainty"].as_str() else {
        return Outcome::Lost;
    };
    Outcome::Refused {
        not_run: certainty == "not_run",
        reason: error["reason"].as_str().unwrap_or_default().to_owned(),
    }
}
