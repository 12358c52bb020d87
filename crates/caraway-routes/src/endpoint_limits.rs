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
/// the limit in force had arrived.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    /// The limit in force, by the endpoint's id and the start time of its incarnation.
    known: HashMap<(EndpointId, Option<u64>), KnownLimit>,
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
        let LimitStatement {
            rate,
            sent_at,
            received_at,
        } = statement;
        let key = (endpoint.clone(), started_ms);
        let Some(known) = self.known.get_mut(&key) else {
            let rate = rate?;
            self.prune(received_at);
            let limit = KnownLimit {
                rate,
                sent_at,
                received_at,
            };
            self.known.insert(key, limit);
            return Some(LimitChange {
                former: None,
                rate: Some(rate),
            });
        };
        let former = known.rate;
        let is_newer = sent_at >= known.received_at;
        match rate {
            Some(rate) if rate <= former || is_newer => {
                known.rate = rate;
                known.sent_at = known.sent_at.max(sent_at);
                known.received_at = known.received_at.max(received_at);
            }
            None if is_newer => {
                self.known.remove(&key);
            }
            _ => return None,
        }
        (rate != Some(former)).then_some(LimitChange {
            former: Some(former),
            rate,
        })
    }

    /// Returns the limit of an endpoint's incarnation, or `None` if none is in force.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId, started_ms: Option<u64>) -> Option<&KnownLimit> {
        // The key owns its id; there are few limits, and often none.
        if self.known.is_empty() {
            return None;
        }
        self.known.get(&(endpoint.clone(), started_ms))
    }

    /// Returns the limits in force, by the endpoint's id and the start time of its incarnation, in
    /// Unix milliseconds.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, Option<u64>, &KnownLimit)> {
        let all = self.known.iter();
        all.map(|((endpoint, started_ms), limit)| (endpoint, *started_ms, limit))
    }

    fn prune(&mut self, now: Instant) {
        self.known
            .retain(|_, l| now.saturating_duration_since(l.received_at) < LIMIT_RETENTION);
    }
}
