//! [`Ask`]: a caller's request for a completion, parsed and checked.

use std::{str::FromStr, sync::Arc, time::Duration};

use caraway_node::Submission;
use caraway_types::{AccountId, AdapterRef, Class, InstanceId, Reason, Refusal, RequestId, Ticket};
use ntex::{http::HeaderMap, util::BytesMut, web::types::Payload};
use serde::Deserialize;
use tokio::time::{Instant, timeout};

use super::{
    caller::{CallerRequest, Shape},
    gate::Gate,
};

/// Header that names the client account.
pub(crate) const ACCOUNT_HEADER: &str = "x-client-account";
/// Header that names the class.
pub(crate) const CLASS_HEADER: &str = "x-class";
/// Header that carries the deadline, in milliseconds from now.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that names the request.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";

/// Longest deadline that a caller may set, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 24 * 60 * 60 * 1000;
/// Most bytes of a refused request's body that are read and dropped.
const DISCARD_LIMIT_BYTES: usize = 16 << 20;
/// Bytes of the prompt that count as its prefix.
const PREFIX_BYTES: usize = 256;

/// A request for a completion.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// Names the request towards caller, peers and engine.
    pub(crate) request: RequestId,
    /// Numbers it on this instance.
    pub(crate) ticket: Ticket,
    /// Who pays for it.
    pub(crate) account: AccountId,
    /// The adapter version that must answer.
    pub(crate) adapter: AdapterRef,
    /// Its urgency.
    pub(crate) class: Class,
    /// When it came.
    pub(crate) start: Instant,
    /// When its answer must be there.
    pub(crate) deadline: Instant,
    /// The prompt.
    pub(crate) prompt: Arc<str>,
    /// Most tokens to generate.
    pub(crate) tokens: u32,
    /// How the caller wants its answer.
    pub(crate) shape: Shape,
    /// The peer that passed it on.
    pub(crate) via: Option<InstanceId>,
    /// How often it was passed on.
    pub(crate) hops: u8,
}

impl Ask {
    /// Parses a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the place of the first problem.
    pub(crate) async fn read(
        gate: &Gate,
        headers: &HeaderMap,
        payload: &mut Payload,
        chat: bool,
    ) -> Result<Self, Refusal> {
        let start = Instant::now();
        let account = account(gate, headers)?;
        let class = parsed::<Class>(headers, CLASS_HEADER)?.unwrap_or_default();
        let limit = deadline(gate, headers, class)?;
        let ticket = gate.shared.next_ticket();
        let request = match text(headers, REQUEST_HEADER)? {
            Some(id) if AdapterRef::is_valid_name(id) => id.into(),
            Some(_) => return Err(bad(REQUEST_HEADER, "not a name")),
            None => new_request(gate, ticket),
        };
        let body = body(gate, payload).await?;
        let body: CallerRequest = json(&body)?;
        let tokens_limit = gate.shared.settings.limits.answer_tokens;
        let (prompt, tokens) = body.check(chat, tokens_limit)?;
        let adapter = resolve(gate, &body.model)?;
        Ok(Self {
            request,
            ticket,
            account,
            adapter,
            class,
            start,
            deadline: start + limit,
            prompt,
            tokens,
            shape: Shape {
                chat,
                stream: body.stream,
            },
            via: None,
            hops: 0,
        })
    }

    /// Returns what the node must know of the request.
    pub(crate) fn submission(&self) -> Submission {
        Submission {
            ticket: self.ticket,
            account: Arc::clone(&self.account),
            adapter: self.adapter.clone(),
            class: self.class,
            deadline: self.deadline.into_std(),
            max_tokens: self.tokens,
            prefix_hash: prefix(&self.prompt),
            forwarded_by: self.via.clone(),
            hops: self.hops,
        }
    }

    /// Returns the time left to the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reads a body within the limits of size and time.
pub(crate) async fn body(gate: &Gate, payload: &mut Payload) -> Result<BytesMut, Refusal> {
    let settings = &gate.shared.settings;
    let limit = settings.limits.body_bytes;
    let read = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.recv().await {
            let part = part.map_err(|e| bad("body", &e.to_string()))?;
            if body.len() + part.len() > limit {
                let detail = format!("body: more than {limit} bytes");
                return Err(Refusal::not_run(Reason::TooLarge, detail));
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    };
    let late = |_| Err(bad("body", "not complete in time"));
    timeout(settings.times.read_ms.get(), read)
        .await
        .unwrap_or_else(late)
}

/// Reads the rest of a refused request's body, up to a bound of size and time.
///
/// A connection that is closed while its caller still writes is reset, and the refusal is lost.
pub(crate) async fn discard(gate: &Gate, payload: &mut Payload) {
    let limit = gate.shared.settings.times.read_ms.get();
    let _ = timeout(limit, drop_parts(payload)).await;
}

async fn drop_parts(payload: &mut Payload) {
    let mut left = DISCARD_LIMIT_BYTES;
    while let Some(Ok(part)) = payload.recv().await {
        left = left.saturating_sub(part.len());
        if left == 0 {
            return;
        }
    }
}

/// Returns the client account of a request.
pub(crate) fn account(gate: &Gate, headers: &HeaderMap) -> Result<AccountId, Refusal> {
    let Some(id) = text(headers, ACCOUNT_HEADER)? else {
        return Err(bad(ACCOUNT_HEADER, "missing"));
    };
    if gate.shared.current_config().account(id).is_none() {
        let detail = format!("{ACCOUNT_HEADER}: unknown client account");
        return Err(Refusal::not_run(Reason::UnknownAccount, detail));
    }
    Ok(id.into())
}

/// Returns a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| bad(name, "not text"))
}

/// Makes a refusal of bad input at `place`.
pub(crate) fn bad(place: &str, problem: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, format!("{place}: {problem}"))
}

pub(crate) fn parsed<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let parse = |value: &str| value.parse().map_err(|e: T::Err| bad(name, &e.to_string()));
    text(headers, name)?.map(parse).transpose()
}

pub(crate) fn deadline(
    gate: &Gate,
    headers: &HeaderMap,
    class: Class,
) -> Result<Duration, Refusal> {
    let times = &gate.shared.settings.times;
    let default = match class {
        Class::Interactive => times.interactive_ms,
        Class::Summary => times.summary_ms,
        Class::Batch => times.batch_ms,
    };
    match parsed::<u64>(headers, DEADLINE_HEADER)? {
        None => Ok(default.get()),
        Some(ms @ 1..=DEADLINE_LIMIT_MS) => Ok(Duration::from_millis(ms)),
        Some(_) => Err(bad(DEADLINE_HEADER, "not from 1 to 86400000")),
    }
}

fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| {
        let place = format!("body line {} column {}", e.line(), e.column());
        bad(&place, &e.to_string())
    })
}

fn resolve(gate: &Gate, model: &str) -> Result<AdapterRef, Refusal> {
    let unknown = |e| Refusal::not_run(Reason::UnknownAdapter, format!("/model: {e}"));
    gate.shared.current_config().resolve(model).map_err(unknown)
}

/// Makes a request id that no other request has, across instances and their incarnations.
fn new_request(gate: &Gate, ticket: Ticket) -> RequestId {
    let instance = &gate.shared.settings.instance;
    format!("{instance}-{:x}-{ticket:x}", gate.shared.incarnation).into()
}

fn prefix(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    xxhash_rust::xxh3::xxh3_64(&prompt.as_bytes()[..end])
}
