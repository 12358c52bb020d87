//! [`Reachability`]: whether this instance reaches the endpoints.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

/// What an instance reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// It reaches endpoints, as far as it knows.
    #[default]
    Open,
    /// It can establish no connection to any endpoint, but established ones still work.
    EstablishedOnly,
    /// It reaches no endpoint.
    Cut,
}

/// Trouble with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No connection could be established, or a new one broke.
    Connect,
    /// A request has had no answer for long, or its connection broke.
    Answer,
}

/// Settings of [`Reachability`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachSettings {
    /// Number of endpoints in trouble from which on the instance itself may be cut off.
    pub suspect_endpoints: usize,
    /// Pause between two probes.
    pub probe_pause: Duration,
    /// Time after a probe for which trouble of the same endpoints is taken for their own.
    pub down_validity: Duration,
    /// Time after an answer for which established connections count as working.
    pub answer_validity: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        Self {
            // One endpoint may be down or silent by itself.
            suspect_endpoints: 2,
            probe_pause: Duration::from_millis(200),
            // Endpoints are down for seconds; several probes in that time cost little.
            down_validity: Duration::from_secs(1),
            // Longer than the pauses between answers at the lowest rates of requests.
            answer_validity: Duration::from_secs(1),
        }
    }
}

/// Whether this instance reaches the endpoints, by its own connections and requests.
///
/// Endpoints that can't be connected to, or that leave requests unanswered, may be down. When several
/// are in trouble at once, others are probed: if one accepts a connection, the trouble is the
/// endpoints' own; if none does, the instance is cut off until a probe succeeds.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    settings: ReachSettings,
    /// Endpoints in trouble since a connection was last established, with the start of each.
    troubled: HashMap<EndpointId, (Trouble, Instant)>,
    /// Endpoints whose trouble was the endpoints' own when it was last probed, with that time.
    down: HashMap<EndpointId, Instant>,
    last_answer: Option<Instant>,
    /// When the trouble began, while probes have shown that the instance is cut off.
    cut_since: Option<Instant>,
    last_probe: Option<Instant>,
    is_probing: bool,
}

impl Reachability {
    /// Creates the state of an instance that has met no trouble.
    #[must_use]
    pub fn new(settings: ReachSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a connection to an endpoint was established.
    pub fn on_connected(&mut self, now: Instant, endpoint: &EndpointId) {
        let troubled = std::mem::take(&mut self.troubled);
        // After a cut, all endpoints were in trouble because of this instance.
        if self.cut_since.take().is_none() {
            self.down.extend(troubled.into_keys().map(|id| (id, now)));
        }
        self.down.remove(endpoint);
    }

    /// Records an answer of an endpoint on an established connection.
    pub fn on_answer(&mut self, now: Instant, endpoint: &EndpointId) {
        let is_over = |t: &(Trouble, Instant)| t.0 == Trouble::Answer;
        if self.troubled.get(endpoint).is_some_and(is_over) {
            self.troubled.remove(endpoint);
        }
        self.last_answer = Some(now);
    }

    /// Records trouble with an endpoint.
    pub fn on_trouble(&mut self, now: Instant, endpoint: &EndpointId, trouble: Trouble) {
        let validity = self.settings.down_validity;
        let is_down = |since: &Instant| now.saturating_duration_since(*since) < validity;
        if !self.down.get(endpoint).is_some_and(is_down) {
            let known = self.troubled.entry(endpoint.clone());
            let known = known.or_insert((trouble, now));
            if trouble == Trouble::Connect {
                known.0 = trouble;
            }
        }
    }

    /// Forgets an endpoint that has left or restarted.
    pub fn forget(&mut self, endpoint: &str) {
        self.troubled.remove(endpoint);
        self.down.remove(endpoint);
    }

    /// Returns whether several endpoints are in trouble, so that the cause may be the instance's own.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.cut_since.is_some() || self.troubled.len() >= self.settings.suspect_endpoints
    }

    /// Returns whether to probe endpoints now; the caller then reports the end of the probe to
    /// [`Self::on_probe`].
    pub fn try_begin_probe(&mut self, now: Instant) -> bool {
        let pause = self.settings.probe_pause;
        let is_due = self
            .last_probe
            .is_none_or(|at| now.saturating_duration_since(at) >= pause);
        if self.is_probing || !is_due || !self.is_suspect() {
            return false;
        }
        self.is_probing = true;
        true
    }

    /// Records the end of a probe of several endpoints, of which `reached` accepted a connection.
    pub fn on_probe(&mut self, now: Instant, reached: Option<&EndpointId>) {
        self.is_probing = false;
        self.last_probe = Some(now);
        match reached {
            Some(endpoint) => self.on_connected(now, endpoint),
            // The trouble may have ended while the probe was under way.
            None if !self.is_suspect() => {}
            None if self.cut_since.is_none() => {
                let starts = self.troubled.values().map(|(_, since)| *since);
                self.cut_since = Some(starts.min().unwrap_or(now));
            }
            None => {}
        }
    }

    /// Returns what the instance reaches.
    #[must_use]
    pub fn reach(&self, now: Instant) -> Reach {
        let Some(since) = self.cut_since else {
            return Reach::Open;
        };
        let validity = self.settings.answer_validity;
        let is_valid = |at: Instant| at > since && now.saturating_duration_since(at) < validity;
        if self.last_answer.is_some_and(is_valid) {
            Reach::EstablishedOnly
        } else {
            Reach::Cut
        }
    }

    /// Returns whether an endpoint is in trouble, for the choice of those to probe.
    #[must_use]
    pub fn is_troubled(&self, endpoint: &str) -> bool {
        self.troubled.contains_key(endpoint) || self.down.contains_key(endpoint)
    }
}
