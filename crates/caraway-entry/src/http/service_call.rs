//! [`ServiceCall`]: one call to a plain service, which is a service that is no model
//! engine, with the retries that are allowed for it.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use caraway_calls::{AttemptResult, Body, Decision, Idempotency, RecordedAnswer, SendResult};
use caraway_types::{AccountId, EndpointId, Reason, Refusal, Ticket};
use caraway_wire::{
    CallError, HttpClient,
    service::{ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER},
};
use ntex::{
    client::ClientResponse,
    http::{Method, header::CONTENT_TYPE},
    util::Bytes,
};
use tokio::time::{Instant, timeout};

use super::{app_state::AppState, completions::in_doubt_if};
use crate::{EndpointKind, EndpointSettings, events::emit};

/// `retry-after` of a refusal for which no replica of the service was available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A parsed and validated call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    /// Identifies the call within this incarnation of the instance.
    pub(crate) ticket: Ticket,
    /// Client account whose limits apply and whose retry budget is used.
    pub(crate) account: AccountId,
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// HTTP method, passed on unchanged.
    pub(crate) method: Method,
    /// Path and query that are sent to the service.
    pub(crate) path: Arc<str>,
    /// Idempotency key; with one, the call runs at most once.
    pub(crate) key: Option<Arc<str>>,
    /// Content type of the request body.
    pub(crate) content_type: Option<Arc<str>>,
    /// Request body, passed on unchanged.
    pub(crate) body: Bytes,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
}

/// Complete answer of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Content type; empty if the service sent none.
    pub(crate) content_type: Arc<str>,
    /// Response body.
    pub(crate) body: Bytes,
}

impl ServiceAnswer {
    /// Returns the record of the answer for the log; a body over `limit` bytes is left out.
    pub(crate) fn to_record(&self, limit: usize) -> RecordedAnswer {
        RecordedAnswer {
            status: self.status,
            content_type: Arc::clone(&self.content_type),
            body: Body::encode(&self.body, limit),
        }
    }
}

/// Converts the result of a call for the thread that runs the call coordinator; `limit` bounds the
/// recorded body, in bytes.
pub(crate) fn to_send_result(result: &Result<ServiceAnswer, Refusal>, limit: usize) -> SendResult {
    match result {
        Ok(answer) => SendResult::Answered(answer.to_record(limit)),
        Err(refusal) if refusal.certainty == caraway_types::Certainty::NotRun => {
            SendResult::NotRun(refusal.clone())
        }
        Err(refusal) => SendResult::InDoubt(refusal.clone()),
    }
}

impl ServiceCall {
    /// Returns whether the call may run more than once: only without an idempotency key, and only
    /// with an idempotent HTTP method.
    fn idempotency(&self) -> Idempotency {
        let idempotent_methods = [
            Method::GET,
            Method::HEAD,
            Method::OPTIONS,
            Method::PUT,
            Method::DELETE,
        ];
        if self.key.is_none() && idempotent_methods.contains(&self.method) {
            Idempotency::Idempotent
        } else {
            Idempotency::AtMostOnce
        }
    }

    /// Sends the call, with retries; starts no attempt at or after `until`.
    ///
    /// # Errors
    ///
    /// Returns the final refusal. Its certainty is `not_run` only if the call certainly did not
    /// run.
    pub(crate) async fn run(
        &self,
        app: &AppState,
        until: Instant,
    ) -> Result<ServiceAnswer, Refusal> {
        let idempotency = self.idempotency();
        let mut replicas = self.replicas(app).into_iter();
        let mut replica = replicas.next().ok_or_else(no_replica)?;
        let now = Instant::now().into_std();
        app.retries
            .borrow_mut()
            .on_request(now, &self.account, &replica.id);
        let mut attempt_number = 0;
        // Once any attempt was written, a later refusal cannot claim that the call did not run.
        let mut written = false;
        loop {
            if Instant::now() >= until {
                return Err(deadline_passed(written));
            }
            let result = self
                .attempt(app, &replica, idempotency, attempt_number)
                .await;
            attempt_number += 1;
            let attempt_result = match &result {
                Ok(answer) => AttemptResult::Status(answer.status),
                Err(failure) => *failure,
            };
            written |= !matches!(
                attempt_result,
                AttemptResult::ConnectFailed | AttemptResult::FailedUnwritten
            );
            let decision = self.decide(app, &replica.id, idempotency, attempt_result);
            let next = match decision {
                Decision::RetryElsewhere => replicas.next(),
                Decision::Deliver => None,
                Decision::Refuse(refusal) => {
                    return result.map_err(|_| in_doubt_if(refusal, written));
                }
                Decision::RetryOnNewConnection | Decision::Resume(_) | Decision::Restart => {
                    Some(Rc::clone(&replica))
                }
            };
            match (next, result) {
                (Some(next), _) => replica = next,
                (None, Ok(answer)) => return Ok(answer),
                (None, Err(_)) => return Err(in_doubt_if(no_replica(), written)),
            }
        }
    }

    /// Logs a failed attempt, and decides what follows an attempt.
    fn decide(
        &self,
        app: &AppState,
        id: &EndpointId,
        idempotency: Idempotency,
        result: AttemptResult,
    ) -> Decision {
        if !matches!(result, AttemptResult::Status(_)) {
            emit!(app.shared.log, warn, AttemptFailed;
                "request" => self.ticket, "endpoint" => &**id, "saw" => ?result);
        }
        let now = Instant::now().into_std();
        app.retries
            .borrow_mut()
            .decide(now, &self.account, id, idempotency, result)
    }

    /// Returns the replicas to try in order, without leaving ones: replicas of this zone come
    /// first, and the ticket rotates the order to spread the load.
    fn replicas(&self, app: &AppState) -> Vec<Rc<EndpointSettings>> {
        let shared = &app.shared;
        let can_serve = |e: &&EndpointSettings| {
            e.kind == EndpointKind::Service
                && e.service.as_ref() == Some(&self.service)
                && shared.accepts_calls(&e.id)
        };
        let mut replicas: Vec<_> = shared
            .endpoints
            .values()
            .filter(can_serve)
            .cloned()
            .collect();
        if replicas.is_empty() {
            return Vec::new();
        }
        let offset = usize::try_from(self.ticket).unwrap_or(0) % replicas.len();
        replicas.rotate_left(offset);
        replicas.sort_by_key(|e| e.zone != shared.settings.zone);
        replicas.into_iter().map(Rc::new).collect()
    }

    /// Makes one attempt on a replica. `first_token_ms` limits the time until the whole answer is
    /// received, as does the deadline.
    async fn attempt(
        &self,
        app: &AppState,
        replica: &EndpointSettings,
        idempotency: Idempotency,
        attempt_number: u32,
    ) -> Result<ServiceAnswer, AttemptResult> {
        let limit = app.shared.settings.times.first_token_ms.get();
        let limit = limit.min(self.deadline.saturating_duration_since(Instant::now()));
        let pool_generation = app.pool_generation(replica.addr);
        let http = match idempotency {
            Idempotency::Idempotent => app.pool(replica.addr).await,
            // The service may close a pooled connection just as the call is written, which would
            // leave the call in doubt.
            Idempotency::AtMostOnce => HttpClient::new().await,
        };
        let http = http.map_err(|_| AttemptResult::ConnectFailed)?;
        let id = self.attempt_id(app, attempt_number);
        let call = self.exchange(&http, replica.addr, &id);
        let result = match timeout(limit, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(CallError::NotSent(_))) => AttemptResult::ConnectFailed,
            Ok(Err(_)) => AttemptResult::FailedWritten,
            // No tokens were received.
            Err(_) => AttemptResult::Stalled(0),
        };
        app.discard_pool(replica.addr, pool_generation);
        Err(result)
    }

    /// Sends the call and reads the complete answer; rejects an answer to another attempt.
    async fn exchange(
        &self,
        http: &HttpClient,
        addr: SocketAddr,
        id: &str,
    ) -> Result<ServiceAnswer, CallError> {
        let mut headers = vec![(ATTEMPT_HEADER, id)];
        if let Some(key) = &self.key {
            headers.push((IDEMPOTENCY_KEY_HEADER, key));
        }
        if let Some(content_type) = &self.content_type {
            headers.push(("content-type", content_type));
        }
        let body = (!self.body.is_empty()).then(|| self.body.clone());
        let response = http
            .send(self.method.clone(), addr, &self.path, &headers, body)
            .await?;
        if header(&response, ATTEMPT_HEADER).is_some_and(|echo| *echo != *id) {
            return Err(CallError::Unknown("answer to another attempt".into()));
        }
        let status = response.status().as_u16();
        let content_type = header(&response, CONTENT_TYPE.as_str()).unwrap_or_default();
        let body = response.body().await;
        let body = body.map_err(|e| CallError::Unknown(e.to_string().into()))?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    }

    /// Returns an attempt id that is unique across instances and their incarnations.
    fn attempt_id(&self, app: &AppState, attempt_number: u32) -> String {
        let shared = &app.shared;
        let (instance, incarnation) = (&shared.settings.instance, shared.incarnation);
        format!(
            "{instance}-{incarnation:x}-s{:x}-{attempt_number}",
            self.ticket
        )
    }
}

fn header(response: &ClientResponse, name: &str) -> Option<Arc<str>> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(Arc::from)
}

fn no_replica() -> Refusal {
    let detail = "no replica of the service can be reached";
    Refusal::not_run(Reason::NoEndpoint, detail).with_retry_after(RETRY_AFTER)
}

fn deadline_passed(written: bool) -> Refusal {
    let detail = "the deadline passed";
    in_doubt_if(Refusal::not_run(Reason::Deadline, detail), written)
}
