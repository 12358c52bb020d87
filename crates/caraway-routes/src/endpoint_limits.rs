//! [`EndpointLimits`]: the request rates that endpoints accept from all instances together.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::RequestRate;

/// Time for which a limit is remembered after the last answer that stated it. An endpoint with a
/// limit gets requests, and so answers, much more often.
const LIMIT_RETENTION: Duration = Duration::from_hours(1);
/// Time for which the end of a limit is stated to other instances; longer than any message between
/// instances is under way.
const LIFTED_RETENTION: Duration = Duration::from_mins(1);

/// What one answer states about the limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// The limit; `None` if the endpoint has none.
    pub rate: Option<RequestRate>,
    /// When the request was sent that the answer belongs to.
    pub sent_at: Instant,
    /// When the answer arrived.
    pub received_at: Instant,
}

/// A limit that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// The limit.
    pub rate: RequestRate,
    /// When the request was sent whose answer stated it last.
    pub sent_at: Instant,
    /// When the last answer arrived that stated it.
    pub received_at: Instant,
}

/// A change of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before; `None` if there was none.
    pub former: Option<RequestRate>,
    /// The limit from now on; `None` if there is none.
    pub rate: Option<RequestRate>,
}

/// Part of the former limit below which the other instances have to learn of a lower one at once.
const URGENT_DECREASE: f64 = 0.8;

impl LimitChange {
    /// Returns whether the other instances have to learn of it at once: they would send too many
    /// requests otherwise.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        match (self.former, self.rate) {
            (None, Some(_)) => true,
            (Some(former), Some(rate)) => rate < former.scaled(URGENT_DECREASE),
            (_, None) => false,
        }
    }
}

/// The limits that endpoints stated in their answers, as far as this instance knows.
///
/// A limit belongs to one incarnation of an endpoint. Answers may arrive out of order, so a lower
/// limit applies at once, while a higher one, or none, applies only if its request was sent after
/// the limit in force had arrived. After the end of a limit, another one applies only if its request
/// was sent later than the one that showed the end.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    /// The last statement, by the endpoint's id and the start time of its incarnation. Endpoints
    /// that have had no limit for a while are left out.
    last: HashMap<(EndpointId, Option<u64>), LimitStatement>,
}

impl EndpointLimits {
    /// Applies the statement of an answer; `started_ms` is the start time of the incarnation that
    /// answered. Returns the change, or `None` if the limit stays as it was.
    pub fn on_statement(
        &mut self,
        endpoint: &EndpointId,
        started_ms: Option<u64>,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        let key = (endpoint.clone(), started_ms);
        let Some(last) = self.last.get_mut(&key) else {
            statement.rate?;
            self.prune(statement.received_at);
            self.last.insert(key, statement);
            return Some(LimitChange {
                former: None,
                rate: statement.rate,
            });
        };
        let former = last.rate;
        let applies = match (former, statement.rate) {
            (Some(former), Some(rate)) if rate <= former => true,
            (Some(_), _) => statement.sent_at >= last.received_at,
            (None, _) => statement.sent_at > last.sent_at,
        };
        if !applies {
            return None;
        }
        *last = LimitStatement {
            rate: statement.rate,
            sent_at: last.sent_at.max(statement.sent_at),
            received_at: last.received_at.max(statement.received_at),
        };
        (statement.rate != former).then_some(LimitChange {
            former,
            rate: statement.rate,
        })
    }

    /// Returns the limit of an endpoint's incarnation, or `None` if none is in force.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId, started_ms: Option<u64>) -> Option<KnownLimit> {
        // The key owns its id; there are few limits, and often none.
        if self.last.is_empty() {
            return None;
        }
        let last = self.last.get(&(endpoint.clone(), started_ms))?;
        Some(KnownLimit {
            rate: last.rate?,
            sent_at: last.sent_at,
            received_at: last.received_at,
        })
    }

    /// Returns the number of limits in force.
    #[must_use]
    pub fn count(&self) -> usize {
        self.last.values().filter(|l| l.rate.is_some()).count()
    }

    /// Returns the statements that other instances have to know: the limits in force and those that
    /// ended lately, by the endpoint's id and the start time of its incarnation in Unix
    /// milliseconds.
    pub fn statements(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&EndpointId, Option<u64>, LimitStatement)> {
        let recent = self.last.iter().filter(move |(_, l)| {
            let age = now.saturating_duration_since(l.received_at);
            l.rate.is_some() || age < LIFTED_RETENTION
        });
        recent.map(|((endpoint, started_ms), last)| (endpoint, *started_ms, *last))
    }

    fn prune(&mut self, now: Instant) {
        self.last.retain(|_, l| {
            let retention = l.rate.map_or(LIFTED_RETENTION, |_| LIMIT_RETENTION);
            now.saturating_duration_since(l.received_at) < retention
        });
    }
}
