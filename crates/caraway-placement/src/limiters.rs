//! [`Limiters`]: permits for requests to the endpoints of a zone that limit their rate.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_routes::{RateLimiter, RequestRate};
use caraway_types::EndpointId;

/// Permits for requests to the endpoints of a zone that limit their rate.
///
/// A limit holds for the requests of all instances together, so they are all given here, by the
/// zone's holder.
#[derive(Debug)]
pub(crate) struct Limiters {
    limited: HashMap<EndpointId, Limited>,
    /// Part of each limit that this holder gives away; see [`ConnectedShare`].
    ///
    /// [`ConnectedShare`]: crate::ConnectedShare
    share: f64,
}

#[derive(Debug)]
struct Limited {
    /// The limit that the endpoint states.
    limit: RequestRate,
    limiter: RateLimiter,
}

impl Default for Limiters {
    fn default() -> Self {
        Self {
            limited: HashMap::new(),
            share: 1.0,
        }
    }
}

impl Limiters {
    /// Sets the limit of an endpoint, or removes it.
    pub(crate) fn set(&mut self, now: Instant, endpoint: &EndpointId, limit: Option<RequestRate>) {
        let Some(limit) = limit else {
            self.limited.remove(endpoint);
            return;
        };
        let rate = limit.scaled(self.share);
        if let Some(limited) = self.limited.get_mut(endpoint) {
            limited.limit = limit;
            limited.limiter.set_rate(now, rate);
        } else {
            let limited = Limited {
                limit,
                limiter: RateLimiter::new(now, rate),
            };
            self.limited.insert(endpoint.clone(), limited);
        }
    }

    /// Sets the part of each limit that is given away.
    pub(crate) fn set_share(&mut self, now: Instant, share: f64) {
        self.share = share;
        for limited in self.limited.values_mut() {
            let rate = limited.limit.scaled(share);
            limited.limiter.set_rate(now, rate);
        }
    }

    /// Returns whether no endpoint has a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.limited.is_empty()
    }

    /// Returns whether an endpoint has no limit, or a permit is due.
    pub(crate) fn has_permit(&self, now: Instant, endpoint: &EndpointId) -> bool {
        // Most zones have no limited endpoint.
        self.limited.is_empty() || self.delay(now, endpoint).is_zero()
    }

    /// Returns the time to the next permit; zero if the endpoint has no limit.
    pub(crate) fn delay(&self, now: Instant, endpoint: &EndpointId) -> Duration {
        let limited = self.limited.get(endpoint);
        limited.map_or(Duration::ZERO, |l| l.limiter.next_at(now) - now)
    }

    /// Returns the rate at which permits for an endpoint are given, or `None` if it has no limit.
    pub(crate) fn rate(&self, endpoint: &EndpointId) -> Option<RequestRate> {
        self.limited.get(endpoint).map(|l| l.limiter.rate())
    }

    /// Takes a permit for an endpoint if one is due within `max_wait`; returns the time until it
    /// may be used.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if the next permit is due later.
    pub(crate) fn acquire(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        match self.limited.get_mut(endpoint) {
            None => Ok(Duration::ZERO),
            Some(limited) => limited.limiter.acquire(now, max_wait).map(|at| at - now),
        }
    }

    /// Returns the endpoints with a limit, with the time of the next permit of each.
    pub(crate) fn next_permits(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&EndpointId, Instant)> {
        let all = self.limited.iter();
        all.map(move |(endpoint, limited)| (endpoint, limited.limiter.next_at(now)))
    }
}
