//! [`Settings`] of a daemon, read from a JSON file. The check reports all findings at once.

use std::{collections::BTreeSet, net::SocketAddr, path::Path, sync::Arc};

use garde::Validate;
use serde::{Deserialize, Serialize};

use caraway_calls::{CoordinatorSettings, RetryBudgetSettings};
use caraway_members::MemberSettings;
use caraway_records::FollowerSettings;
use caraway_types::{AdapterRef, EndpointId, Findings, InstanceId, Millis, ZoneId};

/// The settings file of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Unique id of this instance.
    #[garde(custom(check_name))]
    pub instance: InstanceId,
    /// This instance's availability zone.
    #[garde(custom(check_name))]
    pub zone: ZoneId,
    /// Address for callers, peers and operators; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of instances and endpoints.
    pub list: SocketAddr,
    /// Peers that are known before the first read of the list.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Engines and services of all availability zones.
    #[garde(dive, length(min = 1))]
    pub endpoints: Vec<EndpointSettings>,
    /// Loads per second that the weight store allows, for all availability zones together.
    #[garde(range(min = 0.01, max = 10_000.0))]
    pub store_rate: f64,
    /// Loads that the weight store transfers concurrently at full speed, for all availability zones
    /// together.
    #[garde(range(min = 1, max = 10_000))]
    pub store_transit: u32,
    /// Largest number of instances that run at once. Each may use an equal share of
    /// `store_transit`.
    #[garde(range(min = 1, max = 10_000))]
    pub instances: u32,
    /// Limits on sizes and counts.
    #[serde(default)]
    #[garde(dive)]
    pub limits: LimitSettings,
    /// Deadlines and intervals.
    #[serde(default)]
    #[garde(dive)]
    pub times: TimeSettings,
    /// How the configuration records are followed. `poll_ms` is ignored here; the value of
    /// `times/follow_ms` is used instead.
    #[serde(default)]
    pub config: FollowerSettings,
    /// Retry budget of each pair of client account and endpoint.
    #[serde(default)]
    pub retries: RetryBudgetSettings,
    /// Limits and times of keyed calls, which must not run twice.
    #[serde(default)]
    pub calls: CoordinatorSettings,
}

/// A peer that is known before the first read of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Instance id of the peer.
    pub instance: InstanceId,
    /// The peer's availability zone.
    pub zone: ZoneId,
    /// Address at which the peer listens.
    pub addr: SocketAddr,
}

/// An engine or a replica of a service.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct EndpointSettings {
    /// Unique id of the endpoint.
    #[garde(custom(check_name))]
    pub id: EndpointId,
    /// Engine or service.
    pub kind: EndpointKind,
    /// Availability zone of the endpoint.
    #[garde(custom(check_name))]
    pub zone: ZoneId,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Number of adapter slots of an engine; at least 1 there, unused for a service.
    #[serde(default)]
    pub slots: u32,
    /// Most requests that an engine runs in a batch; at least 1 there, unused for a service.
    #[serde(default = "default_batch")]
    pub max_batch: u32,
    /// Whether the engine refuses an order with a stale fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Name of the plain service that this is a replica of; `None` for an engine.
    #[serde(default)]
    pub service: Option<Arc<str>>,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine, which loads adapters and answers completions.
    Engine,
    /// A replica of a plain service, which gets calls passed through.
    Service,
}

/// Limits on sizes and counts.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    #[garde(range(min = 64, max = 67_108_864))]
    pub body_bytes: usize,
    /// Most requests in flight.
    #[garde(range(min = 1, max = 1_000_000))]
    pub in_flight: usize,
    /// Most tokens buffered for a slow caller; beyond it, no more are read from its engine.
    #[garde(range(min = 1, max = 65_536))]
    pub caller_buffer: usize,
    /// Most tokens in an answer.
    #[garde(range(min = 1, max = 1_000_000))]
    pub answer_tokens: u32,
    /// Capacity of each ring between threads, in messages.
    #[garde(range(min = 16, max = 1_048_576))]
    pub ring: usize,
}

/// Deadlines and intervals, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct TimeSettings {
    /// Timeout for reading a request.
    pub read_ms: Millis,
    /// Timeout from sending an attempt to its first token.
    pub first_token_ms: Millis,
    /// Timeout between two tokens of an attempt.
    pub between_tokens_ms: Millis,
    /// Timeout for a slow caller that blocks the reading from its engine.
    pub slow_caller_ms: Millis,
    /// Timeout of an order to an engine.
    pub order_ms: Millis,
    /// Timeout of a call to the log, the list or a peer, and of a load report.
    pub control_ms: Millis,
    /// Interval at which load reports of engines are read.
    pub report_ms: Millis,
    /// Interval at which the log is read.
    pub follow_ms: Millis,
    /// Interval at which the list is read.
    pub list_ms: Millis,
    /// Shortest interval of heartbeats to a peer of the same availability zone.
    pub beat_ms: Millis,
    /// Shortest lease of a held replica.
    pub lease_ms: Millis,
    /// Time that a peer waits after the end of another's lease before it takes over.
    pub guard_ms: Millis,
    /// How long the load of an earlier holder must have been idle before it is evicted. The lag of
    /// the platform's list must stay below half of this: while an instance may have been dropped
    /// from the list, it uses loads that were idle for at most that long.
    pub idle_ms: Millis,
    /// Interval of gossip.
    pub gossip_ms: Millis,
    /// Interval of the tick of the node and of the configuration follower.
    pub tick_ms: Millis,
    /// Timeout of a graceful stop.
    pub drain_ms: Millis,
    /// Default deadline of interactive requests.
    pub interactive_ms: Millis,
    /// Default deadline of summary requests.
    pub summary_ms: Millis,
    /// Default deadline of batch requests.
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
    /// Returns the settings for failure detection and leases.
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
    /// Returns every finding with its place: line and column where the text is not JSON or does not
    /// match the expected structure, otherwise the path of the field.
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
                    format!("/{}", json_pointer(&path.to_string())),
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
                    "an engine needs a batch size of at least one",
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

/// Replaces lines that start with `//` by empty ones, so that example files can have comments and
/// line numbers in findings stay right.
fn strip_comments(text: &str) -> String {
    let is_not_comment = |line: &&str| !line.trim_start().starts_with("//");
    let lines = text
        .lines()
        .map(|line| if is_not_comment(&line) { line } else { "" });
    lines.collect::<Vec<_>>().join("\n")
}

/// Converts a field path such as `endpoints[0].id` to a JSON pointer without its leading slash.
fn json_pointer(path: &str) -> String {
    path.replace(['.', '['], "/").replace(']', "")
}

fn default_batch() -> u32 {
    16
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the checker passes a reference to `()`"
)]
fn check_name(value: &Arc<str>, _: &()) -> garde::Result {
    if AdapterRef::is_valid_name(value) {
        Ok(())
    } else {
        Err(garde::Error::new(
            "names take 1 to 128 of the characters A-Z a-z 0-9 . _ -",
        ))
    }
}
