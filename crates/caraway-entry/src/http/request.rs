//! [`ParsedRequest`]: a validated request for a completion; and functions that read the headers
//! and the body of any request.

use std::{str::FromStr, sync::Arc, time::Duration};

use caraway_node::Submission;
use caraway_types::{AccountId, AdapterRef, Class, InstanceId, Reason, Refusal, RequestId, Ticket};
use ntex::{http::HeaderMap, util::BytesMut, web::types::Payload};
use serde::Deserialize;
use tokio::time::{Instant, timeout};

use super::{
    api::{CompletionBody, ResponseFormat},
    app_state::AppState,
};

/// Header with the id of the client account; required.
pub(crate) const ACCOUNT_HEADER: &str = "x-client-account";
/// Header with the [`Class`]; a request without it has the default class.
pub(crate) const CLASS_HEADER: &str = "x-class";
/// Header with the time allowed for the whole answer, in milliseconds from arrival.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the request id; the instance generates one if the caller sends none.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";

/// Largest value of [`DEADLINE_HEADER`].
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// Largest part of a refused request's body that is read and dropped.
const MAX_DISCARD_BYTES: usize = 16 << 20;
/// Length of the start of a prompt that is hashed as its prefix.
const PREFIX_BYTES: usize = 256;

/// A validated request for a completion, from a caller or forwarded by a peer.
#[derive(Clone, Debug)]
pub(crate) struct ParsedRequest {
    /// Identifies the request in answers, in logs and towards peers.
    pub(crate) id: RequestId,
    /// Identifies the request within this incarnation of the instance.
    pub(crate) ticket: Ticket,
    /// Client account whose limits apply and whose retry budget is used.
    pub(crate) account: AccountId,
    /// Adapter version that must generate the answer.
    pub(crate) adapter: AdapterRef,
    /// Urgency, which also selects the default deadline.
    pub(crate) class: Class,
    /// Arrival on this instance.
    pub(crate) arrived: Instant,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
    /// Prompt text; the messages of a chat are joined into one.
    pub(crate) prompt: Arc<str>,
    /// Largest number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Format of the answer to the caller; unused for a forwarded request.
    pub(crate) format: ResponseFormat,
    /// Peer that forwarded the request; `None` if it came from the caller.
    pub(crate) forwarded_by: Option<InstanceId>,
    /// Number of times that the request was forwarded between peers.
    pub(crate) hops: u8,
}

impl ParsedRequest {
    /// Reads and validates a caller's request; `chat` selects the chat API.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the header or field of the first problem.
    pub(crate) async fn parse(
        app: &AppState,
        headers: &HeaderMap,
        payload: &mut Payload,
        chat: bool,
    ) -> Result<Self, Refusal> {
        let arrived = Instant::now();
        let account = account_header(app, headers)?;
        let class = parsed_header::<Class>(headers, CLASS_HEADER)?.unwrap_or_default();
        let timeout = deadline_header(app, headers, class)?;
        let ticket = app.shared.next_ticket();
        let id = match text_header(headers, REQUEST_HEADER)? {
            Some(id) if AdapterRef::is_valid_name(id) => id.into(),
            Some(_) => return Err(bad_request(REQUEST_HEADER, "not a name")),
            None => new_request_id(app, ticket),
        };
        let body = read_body(app, payload).await?;
        let body: CompletionBody = parse_json(&body)?;
        let max_answer_tokens = app.shared.settings.limits.answer_tokens;
        let (prompt, max_tokens) = body.validate(chat, max_answer_tokens)?;
        let adapter = resolve_model(app, &body.model)?;
        Ok(Self {
            id,
            ticket,
            account,
            adapter,
            class,
            arrived,
            deadline: arrived + timeout,
            prompt,
            max_tokens,
            format: ResponseFormat {
                chat,
                stream: body.stream,
            },
            forwarded_by: None,
            hops: 0,
        })
    }

    /// Returns the input from which the node decides where the request runs.
    pub(crate) fn submission(&self) -> Submission {
        Submission {
            ticket: self.ticket,
            account: Arc::clone(&self.account),
            adapter: self.adapter.clone(),
            class: self.class,
            deadline: self.deadline.into_std(),
            max_tokens: self.max_tokens,
            prefix_hash: prefix_hash(&self.prompt),
            forwarded_by: self.forwarded_by.clone(),
            hops: self.hops,
        }
    }

    /// Returns the time until the deadline, or zero after it.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reads a request body.
///
/// # Errors
///
/// Returns a refusal if the body is over the size limit, late or broken off.
pub(crate) async fn read_body(app: &AppState, payload: &mut Payload) -> Result<BytesMut, Refusal> {
    let settings = &app.shared.settings;
    let limit = settings.limits.body_bytes;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|e| bad_request("body", &e.to_string()))?;
            if body.len() + chunk.len() > limit {
                let detail = format!("body: more than {limit} bytes");
                return Err(Refusal::not_run(Reason::TooLarge, detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    };
    let too_late = |_| Err(bad_request("body", "not complete in time"));
    timeout(settings.times.read_ms.get(), read)
        .await
        .unwrap_or_else(too_late)
}

/// Reads and drops the rest of a refused request's body, up to a limit of size and time.
///
/// Closing a connection on which the caller still writes resets it, and the caller would never
/// receive the refusal.
pub(crate) async fn discard_body(app: &AppState, payload: &mut Payload) {
    let limit = app.shared.settings.times.read_ms.get();
    let _ = timeout(limit, read_and_drop(payload)).await;
}

async fn read_and_drop(payload: &mut Payload) {
    let mut bytes_left = MAX_DISCARD_BYTES;
    while let Some(Ok(chunk)) = payload.recv().await {
        bytes_left = bytes_left.saturating_sub(chunk.len());
        if bytes_left == 0 {
            return;
        }
    }
}

/// Returns the client account that the headers name.
///
/// # Errors
///
/// Returns a refusal if the header is missing or the account is unknown.
pub(crate) fn account_header(app: &AppState, headers: &HeaderMap) -> Result<AccountId, Refusal> {
    let Some(id) = text_header(headers, ACCOUNT_HEADER)? else {
        return Err(bad_request(ACCOUNT_HEADER, "missing"));
    };
    if app.shared.current_config().account(id).is_none() {
        let detail = format!("{ACCOUNT_HEADER}: unknown client account");
        return Err(Refusal::not_run(Reason::UnknownAccount, detail));
    }
    Ok(id.into())
}

/// Returns the value of a header, or `None` if it is missing.
///
/// # Errors
///
/// Returns a refusal if the value is not text.
pub(crate) fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_request(name, "not text"))
}

/// Returns a refusal for invalid input; `place` names the header or field.
pub(crate) fn bad_request(place: &str, problem: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, format!("{place}: {problem}"))
}

/// Returns the parsed value of a header, or `None` if it is missing.
///
/// # Errors
///
/// Returns a refusal if the value can't be parsed.
pub(crate) fn parsed_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let parse = |value: &str| {
        value
            .parse()
            .map_err(|e: T::Err| bad_request(name, &e.to_string()))
    };
    text_header(headers, name)?.map(parse).transpose()
}

/// Returns the time allowed for the whole answer: the header's, or the default of the class.
///
/// # Errors
///
/// Returns a refusal if the header is not a number from 1 to [`MAX_DEADLINE_MS`].
pub(crate) fn deadline_header(
    app: &AppState,
    headers: &HeaderMap,
    class: Class,
) -> Result<Duration, Refusal> {
    let times = &app.shared.settings.times;
    let default = match class {
        Class::Interactive => times.interactive_ms,
        Class::Summary => times.summary_ms,
        Class::Batch => times.batch_ms,
    };
    match parsed_header::<u64>(headers, DEADLINE_HEADER)? {
        None => Ok(default.get()),
        Some(ms @ 1..=MAX_DEADLINE_MS) => Ok(Duration::from_millis(ms)),
        Some(_) => Err(bad_request(DEADLINE_HEADER, "not from 1 to 86400000")),
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| {
        let place = format!("body line {} column {}", e.line(), e.column());
        bad_request(&place, &e.to_string())
    })
}

/// Returns the adapter version that `model` names, directly or through the adapter's current
/// version.
fn resolve_model(app: &AppState, model: &str) -> Result<AdapterRef, Refusal> {
    let unknown = |e| Refusal::not_run(Reason::UnknownAdapter, format!("/model: {e}"));
    app.shared.current_config().resolve(model).map_err(unknown)
}

/// Returns a request id that is unique across instances and their incarnations.
fn new_request_id(app: &AppState, ticket: Ticket) -> RequestId {
    let instance = &app.shared.settings.instance;
    format!("{instance}-{:x}-{ticket:x}", app.shared.incarnation).into()
}

/// Hashes the start of a prompt, so that requests with the same prefix can be recognized.
fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    xxhash_rust::xxh3::xxh3_64(&prompt.as_bytes()[..end])
}
