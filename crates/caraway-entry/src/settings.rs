//! [`Settings`] of a daemon, read from JSON and checked as a whole.

use std::{collections::BTreeSet, net::SocketAddr, path::Path, sync::Arc};

use garde::Validate;
use serde::{Deserialize, Serialize};

use caraway_calls::{CoordinatorSettings, RetryBudgetSettings};
use caraway_members::MemberSettings;
use caraway_records::FollowerSettings;
use caraway_types::{AdapterRef, EndpointId, Findings, InstanceId, Millis, ZoneId};

/// Everything that a daemon is told at its start.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// This instance's id.
    #[garde(custom(name))]
    pub instance: InstanceId,
    /// This instance's availability zone.
    #[garde(custom(name))]
    pub zone: ZoneId,
    /// Address for callers, peers and operators; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of instances and endpoints.
    pub list: SocketAddr,
    /// Peers that are known before the list is.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Endpoints of every availability zone.
    #[garde(dive, length(min = 1))]
    pub endpoints: Vec<EndpointSettings>,
    /// Loads that the weight store allows in a second, over all availability zones.
    #[garde(range(min = 0.01, max = 10_000.0))]
    pub store_rate: f64,
    /// Loads in transit at full speed, over all availability zones.
    #[garde(range(min = 1, max = 10_000))]
    pub store_transit: u32,
    /// Most entry instances that live at once; each may use an equal part of the transit.
    #[garde(range(min = 1, max = 10_000))]
    pub instances: u32,
    /// Limits of size and number.
    #[serde(default)]
    #[garde(dive)]
    pub limits: LimitSettings,
    /// Deadlines and intervals.
    #[serde(default)]
    #[garde(dive)]
    pub times: TimeSettings,
    /// How the configuration is followed; `poll_ms` is taken from `times/follow_ms`.
    #[serde(default)]
    pub config: FollowerSettings,
    /// Share of retries for each client account and endpoint.
    #[serde(default)]
    pub retries: RetryBudgetSettings,
    /// Limits and times of calls that may not be repeated.
    #[serde(default)]
    pub calls: CoordinatorSettings,
}

/// A peer that is known before the list is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The peer's id.
    pub instance: InstanceId,
    /// The peer's availability zone.
    pub zone: ZoneId,
    /// The peer's address.
    pub addr: SocketAddr,
}

/// One endpoint.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct EndpointSettings {
    /// The endpoint's id.
    #[garde(custom(name))]
    pub id: EndpointId,
    /// What it is.
    pub kind: EndpointKind,
    /// Its availability zone.
    #[garde(custom(name))]
    pub zone: ZoneId,
    /// Its address.
    pub addr: SocketAddr,
    /// Adapter slots of an engine.
    #[serde(default)]
    pub slots: u32,
    /// Most requests in an engine's batch.
    #[serde(default = "default_batch")]
    pub max_batch: u32,
    /// Whether the engine refuses an order with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Name of the plain service that this is a replica of.
    #[serde(default)]
    pub service: Option<Arc<str>>,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Limits of size and number.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct LimitSettings {
    /// Largest body of a request, in bytes.
    #[garde(range(min = 64, max = 67_108_864))]
    pub body_bytes: usize,
    /// Most requests that are served at once.
    #[garde(range(min = 1, max = 1_000_000))]
    pub in_flight: usize,
    /// Tokens that wait for a slow caller before its engine is held back.
    #[garde(range(min = 1, max = 65_536))]
    pub caller_buffer: usize,
    /// Most tokens of one answer.
    #[garde(range(min = 1, max = 1_000_000))]
    pub answer_tokens: u32,
    /// Capacity of each ring between threads.
    #[garde(range(min = 16, max = 1_048_576))]
    pub ring: usize,
}

/// Deadlines and intervals, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct TimeSettings {
    /// Most time to read a request.
    pub read_ms: Millis,
    /// Most time from sending an attempt to its first token.
    pub first_token_ms: Millis,
    /// Most time between two tokens of an attempt.
    pub between_tokens_ms: Millis,
    /// Most time that a slow caller may hold back its engine.
    pub slow_caller_ms: Millis,
    /// Most time for an order to an engine.
    pub order_ms: Millis,
    /// Most time for a call to log, list or peer.
    pub control_ms: Millis,
    /// Interval of load reports.
    pub report_ms: Millis,
    /// Interval of reading the log.
    pub follow_ms: Millis,
    /// Interval of reading the list.
    pub list_ms: Millis,
    /// Shortest interval of heartbeats to a peer of the same availability zone.
    pub beat_ms: Millis,
    /// Shortest lease of a held replica.
    pub lease_ms: Millis,
    /// Time that a peer waits beyond another's lease before it takes over.
    pub guard_ms: Millis,
    /// How long an earlier holder's load must have been idle before it is evicted; the lag of the
    /// platform's list stays below half of it.
    pub idle_ms: Millis,
    /// Interval of gossip.
    pub gossip_ms: Millis,
    /// Interval of the decisions' tick.
    pub tick_ms: Millis,
    /// Most time for a graceful stop.
    pub drain_ms: Millis,
    /// Deadline of interactive requests that name none.
    pub interactive_ms: Millis,
    /// Deadline of summaries that name none.
    pub summary_ms: Millis,
    /// Deadline of batch requests that name none.
    pub batch_ms: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            in_flight: 4096,
            caller_buffer: 64,
            answer_tokens: 8192,
            ring: 8192,
        }
    }
}

impl TimeSettings {
    /// Returns the periods of liveness and leases.
    pub(crate) fn members(&self) -> MemberSettings {
        MemberSettings {
            beat: self.beat_ms,
            lease: self.lease_ms,
            guard: self.guard_ms,
            idle: self.idle_ms,
            ..MemberSettings::default()
        }
    }
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            read_ms: Millis::new(5_000),
            first_token_ms: Millis::new(10_000),
            between_tokens_ms: Millis::new(5_000),
            slow_caller_ms: Millis::new(30_000),
            order_ms: Millis::new(10_000),
            control_ms: Millis::new(1_000),
            report_ms: Millis::new(250),
            follow_ms: Millis::new(200),
            list_ms: Millis::new(500),
            beat_ms: Millis::new(1_000),
            lease_ms: Millis::new(4_000),
            guard_ms: Millis::new(1_000),
            idle_ms: Millis::new(10_000),
            gossip_ms: Millis::new(200),
            tick_ms: Millis::new(20),
            drain_ms: Millis::new(60_000),
            interactive_ms: Millis::new(10_000),
            summary_ms: Millis::new(120_000),
            batch_ms: Millis::new(600_000),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place: a line and column where the text is not JSON of the
    /// right shape, otherwise the path of the field.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let mut findings = Findings::default();
            findings.add(path.display().to_string(), e.to_string());
            findings
        })?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place, as [`Self::read`] does.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings: Self = match serde_json::from_str(&strip_comments(text)) {
            Ok(settings) => settings,
            Err(e) => {
                findings.add(
                    format!("line {} column {}", e.line(), e.column()),
                    e.to_string(),
                );
                return Err(findings);
            }
        };
        settings.check(&mut findings);
        findings.into_result(settings)
    }

    fn check(&self, findings: &mut Findings) {
        if let Err(report) = self.validate() {
            for (path, error) in report.iter() {
                findings.add(
                    format!("/{}", pointer(&path.to_string())),
                    error.to_string(),
                );
            }
        }
        let mut ids = BTreeSet::new();
        for (i, endpoint) in self.endpoints.iter().enumerate() {
            if !ids.insert(Arc::clone(&endpoint.id)) {
                findings.add(format!("/endpoints/{i}/id"), "used twice");
            }
            endpoint.check(i, findings);
        }
    }
}

impl EndpointSettings {
    fn check(&self, i: usize, findings: &mut Findings) {
        match self.kind {
            EndpointKind::Engine if self.slots == 0 => {
                findings.add(
                    format!("/endpoints/{i}/slots"),
                    "an engine needs at least one slot",
                );
            }
            EndpointKind::Engine if self.max_batch == 0 => {
                findings.add(
                    format!("/endpoints/{i}/max_batch"),
                    "an engine needs at least one",
                );
            }
            EndpointKind::Service if self.service.is_none() => {
                findings.add(
                    format!("/endpoints/{i}/service"),
                    "a service endpoint needs a name",
                );
            }
            _ => {}
        }
    }
}

/// Blanks lines that start with `//`, so that example files can carry comments and places stay.
fn strip_comments(text: &str) -> String {
    let keep = |line: &&str| !line.trim_start().starts_with("//");
    let lines = text.lines().map(|line| if keep(&line) { line } else { "" });
    lines.collect::<Vec<_>>().join("\n")
}

/// Writes a field path such as `endpoints[0].id` as a JSON pointer.
fn pointer(path: &str) -> String {
    path.replace(['.', '['], "/").replace(']', "")
}

fn default_batch() -> u32 {
    16
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the checker passes a reference to `()`"
)]
fn name(value: &Arc<str>, _: &()) -> garde::Result {
    if AdapterRef::is_valid_name(value) {
        Ok(())
    } else {
        Err(garde::Error::new(
            "names take 1 to 128 of the characters A-Z a-z 0-9 . _ -",
        ))
    }
}
