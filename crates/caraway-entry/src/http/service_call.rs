//! [`ServiceCall`]: one call to a plain service, over as many attempts as may be made.

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

use super::{completions::certain, gate::Gate};
use crate::{EndpointKind, EndpointSettings, events::emit};

/// When to come back after every replica of a service failed or leaves.
const COME_BACK: Duration = Duration::from_secs(1);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    /// Numbers it on this instance.
    pub(crate) ticket: Ticket,
    /// Who pays for it.
    pub(crate) account: AccountId,
    /// The service.
    pub(crate) service: Arc<str>,
    /// The method.
    pub(crate) method: Method,
    /// The path with its query, as the service sees it.
    pub(crate) path: Arc<str>,
    /// The idempotency key.
    pub(crate) key: Option<Arc<str>>,
    /// The content type of the body.
    pub(crate) content: Option<Arc<str>>,
    /// The body.
    pub(crate) body: Bytes,
    /// When its answer must be there.
    pub(crate) deadline: Instant,
}

/// A service's answer, whole.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type, empty where there was none.
    pub(crate) content: Arc<str>,
    /// The body.
    pub(crate) body: Bytes,
}

impl ServiceAnswer {
    /// Returns what the log keeps of the answer.
    pub(crate) fn record(&self, limit: usize) -> RecordedAnswer {
        RecordedAnswer {
            status: self.status,
            content: Arc::clone(&self.content),
            body: Body::encode(&self.body, limit),
        }
    }
}

/// Turns the end of a call into what the calls thread must know.
pub(crate) fn ended(result: &Result<ServiceAnswer, Refusal>, limit: usize) -> SendResult {
    match result {
        Ok(answer) => SendResult::Answered(answer.record(limit)),
        Err(refusal) if refusal.certainty == caraway_types::Certainty::NotRun => {
            SendResult::NotRun(refusal.clone())
        }
        Err(refusal) => SendResult::InDoubt(refusal.clone()),
    }
}

impl ServiceCall {
    /// Says whether the call may run more than once: by its method, and never with a key.
    fn repeat(&self) -> Idempotency {
        let safe = [
            Method::GET,
            Method::HEAD,
            Method::OPTIONS,
            Method::PUT,
            Method::DELETE,
        ];
        if self.key.is_none() && safe.contains(&self.method) {
            Idempotency::Idempotent
        } else {
            Idempotency::AtMostOnce
        }
    }

    /// Carries the call out; nothing is sent from `until` on.
    ///
    /// # Errors
    ///
    /// Returns the final refusal, `not_run` only where the call certainly did not run.
    pub(crate) async fn run(&self, gate: &Gate, until: Instant) -> Result<ServiceAnswer, Refusal> {
        let repeat = self.repeat();
        let mut replicas = self.replicas(gate).into_iter();
        let mut replica = replicas.next().ok_or_else(no_replica)?;
        let now = Instant::now().into_std();
        gate.retries
            .borrow_mut()
            .on_request(now, &self.account, &replica.id);
        let mut tries = 0;
        // Once a repeatable call was written, its end is no longer certainly "not run".
        let mut written = false;
        loop {
            if Instant::now() >= until {
                return Err(late(written));
            }
            let result = self.attempt(gate, &replica, repeat, tries).await;
            tries += 1;
            let saw = match &result {
                Ok(answer) => AttemptResult::Status(answer.status),
                Err(saw) => *saw,
            };
            written |= !matches!(
                saw,
                AttemptResult::ConnectFailed | AttemptResult::FailedUnwritten
            );
            let decision = self.decide(gate, &replica.id, repeat, saw);
            let next = match decision {
                Decision::RetryElsewhere => replicas.next(),
                Decision::Deliver => None,
                Decision::Refuse(refusal) => return result.map_err(|_| certain(refusal, written)),
                _ => Some(Rc::clone(&replica)),
            };
            match (next, result) {
                (Some(next), _) => replica = next,
                (None, Ok(answer)) => return Ok(answer),
                (None, Err(_)) => return Err(certain(no_replica(), written)),
            }
        }
    }

    fn decide(
        &self,
        gate: &Gate,
        id: &EndpointId,
        repeat: Idempotency,
        saw: AttemptResult,
    ) -> Decision {
        if !matches!(saw, AttemptResult::Status(_)) {
            emit!(gate.shared.log, warn, AttemptFailed;
                "request" => self.ticket, "endpoint" => &**id, "saw" => ?saw);
        }
        let now = Instant::now().into_std();
        gate.retries
            .borrow_mut()
            .decide(now, &self.account, id, repeat, saw)
    }

    /// Lists the replicas to try: those of this zone first, in turn, and none that leaves.
    fn replicas(&self, gate: &Gate) -> Vec<Rc<EndpointSettings>> {
        let shared = &gate.shared;
        let serves = |e: &&EndpointSettings| {
            e.kind == EndpointKind::Service
                && e.service.as_ref() == Some(&self.service)
                && shared.accepts_calls(&e.id)
        };
        let mut list: Vec<_> = shared.endpoints.values().filter(serves).cloned().collect();
        if list.is_empty() {
            return Vec::new();
        }
        let turn = usize::try_from(self.ticket).unwrap_or(0) % list.len();
        list.rotate_left(turn);
        list.sort_by_key(|e| e.zone != shared.settings.zone);
        list.into_iter().map(Rc::new).collect()
    }

    async fn attempt(
        &self,
        gate: &Gate,
        replica: &EndpointSettings,
        repeat: Idempotency,
        tries: u32,
    ) -> Result<ServiceAnswer, AttemptResult> {
        let limit = gate.shared.settings.times.first_token_ms.get();
        let limit = limit.min(self.deadline.saturating_duration_since(Instant::now()));
        let generation = gate.generation(replica.addr);
        let http = match repeat {
            Idempotency::Idempotent => gate.pool(replica.addr).await,
            // A pooled connection may be closed by the other end just as the call is written,
            // which would leave the call in doubt.
            Idempotency::AtMostOnce => HttpClient::new().await,
        };
        let http = http.map_err(|_| AttemptResult::ConnectFailed)?;
        let id = self.attempt_id(gate, tries);
        let call = self.exchange(&http, replica.addr, &id);
        let saw = match timeout(limit, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(CallError::NotSent(_))) => AttemptResult::ConnectFailed,
            Ok(Err(_)) => AttemptResult::FailedWritten,
            Err(_) => AttemptResult::Stalled(0),
        };
        gate.suspect(replica.addr, generation);
        Err(saw)
    }

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
        if let Some(content) = &self.content {
            headers.push(("content-type", content));
        }
        let body = (!self.body.is_empty()).then(|| self.body.clone());
        let response = http
            .send(self.method.clone(), addr, &self.path, &headers, body)
            .await?;
        if header(&response, ATTEMPT_HEADER).is_some_and(|echo| *echo != *id) {
            return Err(CallError::Unknown("answer to another attempt".into()));
        }
        let status = response.status().as_u16();
        let content = header(&response, CONTENT_TYPE.as_str()).unwrap_or_default();
        let body = response.body().await;
        let body = body.map_err(|e| CallError::Unknown(e.to_string().into()))?;
        Ok(ServiceAnswer {
            status,
            content,
            body,
        })
    }

    fn attempt_id(&self, gate: &Gate, tries: u32) -> String {
        let shared = &gate.shared;
        let (instance, incarnation) = (&shared.settings.instance, shared.incarnation);
        format!("{instance}-{incarnation:x}-s{:x}-{tries}", self.ticket)
    }
}

fn header(response: &ClientResponse, name: &str) -> Option<Arc<str>> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(Arc::from)
}

fn no_replica() -> Refusal {
    let detail = "no replica of the service can be reached";
    Refusal::not_run(Reason::NoEndpoint, detail).with_retry_after(COME_BACK)
}

fn late(written: bool) -> Refusal {
    let detail = "the deadline passed";
    certain(Refusal::not_run(Reason::Deadline, detail), written)
}
