//! Callers: what they send and what they get back.

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

use super::{ADAPTERS, Run, lock};
use crate::deployment::ACCOUNT;

/// Most time for one sending.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause before a keyed call is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);
/// Tokens of a completion.
pub(crate) const TOKENS: u32 = 6;

/// What is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A streamed completion.
    Stream,
    /// A whole completion.
    Whole,
    /// A deposit with an idempotency key.
    Keyed,
    /// A deposit without a key.
    Keyless,
    /// A read.
    Read,
}

/// One sending and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct Sending {
    /// Number of the call.
    pub(crate) call: u32,
    pub(crate) kind: Kind,
    pub(crate) end: End,
}

/// What came of a sending.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// The whole answer: the tokens' text, or the body of the service's answer.
    Answered(String),
    /// A part of a stream, closed by a refusal or broken off.
    Part(String),
    /// A refusal.
    Refused { not_run: bool, reason: String },
    /// No connection could be opened, so nothing was sent.
    Unsent,
    /// No usable answer.
    Lost,
}

/// Names the call in prompts, bodies and keys.
pub(crate) fn name(call: u32) -> String {
    format!("call-{call}")
}

/// Returns the adapter version that a call asks for.
pub(crate) fn model(call: u32) -> String {
    format!("adapter-{}@v1", call % ADAPTERS)
}

/// Tells whether a daemon answers a completion.
pub(crate) async fn probe(addr: SocketAddr) -> Result<bool> {
    let http = HttpClient::new().await?;
    let end = send(&http, addr, u32::MAX, Kind::Whole).await;
    Ok(matches!(end, End::Answered(_)))
}

/// Sends every call of the run.
pub(crate) async fn send_all(run: Arc<Run>, callers: usize) -> Result<()> {
    let tasks: Vec<_> = (0..callers)
        .map(|_| ntex::rt::spawn(send_some(Arc::clone(&run))))
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    Ok(())
}

async fn send_some(run: Arc<Run>) {
    let Ok(http) = HttpClient::new().await else {
        return;
    };
    loop {
        let call = run.next.fetch_add(1, Ordering::Relaxed);
        if call >= run.calls {
            return;
        }
        let mut rng = ChaCha8Rng::seed_from_u64(run.seed ^ (u64::from(call) << 32));
        let kind = match rng.random_range(0..100) {
            0..35 => Kind::Stream,
            35..45 => Kind::Whole,
            45..70 => Kind::Keyed,
            70..85 => Kind::Keyless,
            _ => Kind::Read,
        };
        let sendings = if kind == Kind::Keyed {
            rng.random_range(1..4)
        } else {
            1
        };
        for n in 0..sendings {
            if n > 0 {
                sleep(REPEAT_PAUSE).await;
            }
            let addr = pick(&run, &mut rng);
            let end = send(&http, addr, call, kind).await;
            lock(&run.sendings).push(Sending { call, kind, end });
        }
    }
}

fn pick(run: &Run, rng: &mut ChaCha8Rng) -> SocketAddr {
    let addrs = run.addrs.read().unwrap_or_else(PoisonError::into_inner);
    addrs[rng.random_range(0..addrs.len())]
}

async fn send(http: &HttpClient, addr: SocketAddr, call: u32, kind: Kind) -> End {
    let end = match kind {
        Kind::Stream | Kind::Whole => timeout(PATIENCE, complete(http, addr, call, kind)).await,
        _ => timeout(PATIENCE, serve(http, addr, call, kind)).await,
    };
    end.unwrap_or(End::Lost)
}

async fn complete(http: &HttpClient, addr: SocketAddr, call: u32, kind: Kind) -> End {
    let is_stream = kind == Kind::Stream;
    let body = json!({
        "model": model(call), "prompt": name(call), "max_tokens": TOKENS, "stream": is_stream,
    });
    let headers = [("x-client-account", ACCOUNT)];
    let body = Some(body.to_string().into());
    let sent = http.send(Method::POST, addr, "/v1/completions", &headers, body);
    let response = match sent.await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    let status = response.status().as_u16();
    if status == 200 && is_stream {
        return read_stream(EventStream::new(response)).await;
    }
    let Ok(body) = response.body().await else {
        return End::Lost;
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    match value["choices"][0]["text"].as_str() {
        Some(text) if status == 200 => End::Answered(text.to_owned()),
        _ => refused(&value),
    }
}

async fn read_stream(mut events: EventStream) -> End {
    let mut text = String::new();
    while let Ok(Some(data)) = events.next().await {
        if &*data == "[DONE]" {
            return End::Answered(text);
        }
        let value: Value = serde_json::from_str(&data).unwrap_or_default();
        match value["choices"][0]["text"].as_str() {
            Some(token) => text.push_str(token),
            None => return End::Part(text),
        }
    }
    End::Part(text)
}

async fn serve(http: &HttpClient, addr: SocketAddr, call: u32, kind: Kind) -> End {
    let key = name(call);
    let mut headers = vec![("x-client-account", ACCOUNT)];
    if kind == Kind::Keyed {
        headers.push(("idempotency-key", &key));
    }
    let (method, path, body) = if kind == Kind::Read {
        let path = format!("/services/quotes/status/{key}");
        (Method::GET, path, None)
    } else {
        let path = "/services/quotes/deposits".to_owned();
        (Method::POST, path, Some(key.clone().into()))
    };
    let response = match http.send(method, addr, &path, &headers, body).await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    let status = response.status().as_u16();
    let Ok(body) = response.body().await else {
        return End::Lost;
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let call = &value["call"];
    match (call["path"].as_str(), call["body"].as_str()) {
        (Some(path), _) if status == 200 && kind == Kind::Read => End::Answered(path.to_owned()),
        (_, Some(body)) if status == 200 => End::Answered(body.to_owned()),
        _ => refused(&value),
    }
}

fn failed(error: &CallError) -> End {
    if error.not_sent() {
        End::Unsent
    } else {
        End::Lost
    }
}

fn refused(body: &Value) -> End {
    let error = &body["error"];
    let Some(certainty) = error["certainty"].as_str() else {
        return End::Lost;
    };
    End::Refused {
        not_run: certainty == "not_run",
        reason: error["reason"].as_str().unwrap_or_default().to_owned(),
    }
}
