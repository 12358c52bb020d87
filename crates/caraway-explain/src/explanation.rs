//! [`Explanation`]: the log lines that explain the course of one request.

use std::{collections::BTreeSet, fmt, sync::Arc};

use caraway_gateway::Event;
use time::{Duration, OffsetDateTime};

use crate::{Line, Logs};

/// Time after a request's last line within which a change of its endpoint may explain a failure;
/// the registry removes a crashed endpoint within about 4 s.
const AFTER_REQUEST: Duration = Duration::seconds(5);
/// Time before a request's first line within which orders for its adapter may concern it; a slow
/// load that the request waits for may have been ordered earlier.
const BEFORE_REQUEST: Duration = Duration::seconds(2);
/// Maximum number of orders listed for a zone; one load takes three orders.
const MAX_ORDERS: usize = 12;

/// Maximum number of crashes listed for a quarantine; several instances report each.
const MAX_CRASHES: usize = 12;

/// A line that shows the state of an instance while the request was served.
#[derive(Clone, Debug, PartialEq)]
pub struct ContextLine<'a> {
    /// Description of how the line relates to the request.
    pub label: String,
    /// The log line.
    pub line: &'a Line,
}

/// The log lines that explain the course of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation<'a> {
    /// Lines that carry the id of the request, ordered by timestamp.
    pub request_lines: Vec<&'a Line>,
    /// Lines that show the state of the instances that served the request.
    pub context: Vec<ContextLine<'a>>,
    request: Arc<str>,
    unreadable: usize,
}

impl<'a> Explanation<'a> {
    /// Collects the lines for the request with the id `request`; `None` if no line carries the id.
    #[must_use]
    pub fn of_request(logs: &'a Logs, request: &str) -> Option<Self> {
        let has_request_id = |l: &&Line| l.has_value("request", request);
        let request_lines: Vec<&Line> = logs.lines().iter().filter(has_request_id).collect();
        let (first, last) = (
            request_lines.first()?.timestamp,
            request_lines.last()?.timestamp,
        );
        let mut explanation = Self {
            request_lines,
            context: Vec::new(),
            request: request.into(),
            unreadable: logs.unreadable(),
        };
        let instances: BTreeSet<&str> = explanation
            .request_lines
            .iter()
            .map(|l| &*l.instance)
            .collect();
        for instance in instances {
            let lines = logs
                .lines()
                .iter()
                .filter(move |l| *l.instance == *instance);
            let lines: Vec<&Line> = lines.collect();
            explanation.add_instance_state(&lines, first);
            explanation.add_endpoint_changes(&lines, first, last);
            explanation.add_zone_context(logs, &lines, first, last);
            explanation.add_quarantine(logs, &lines, last);
            explanation.add_quota(&lines, last);
        }
        let crashes = logs.lines().iter();
        let crashes = crashes.filter(|l| l.event == Event::EndpointCrashed.code());
        for line in crashes.filter(|l| l.lists_value("requests", request)) {
            explanation.add("a crash that it may have caused", Some(line));
        }
        Some(explanation)
    }

    /// Adds the last lines of an instance before `first` about its start, which names its build, its
    /// configuration, the store, its readiness and draining.
    fn add_instance_state(&mut self, lines: &[&'a Line], first: OffsetDateTime) {
        let states = [
            ("its start and build", Event::Started),
            ("its configuration", Event::ConfigApplied),
            ("the store was lost", Event::StoreLost),
            ("the store was back", Event::StoreRegained),
            ("its readiness", Event::ReadinessChanged),
            ("it was told to stop", Event::Draining),
        ];
        for (label, event) in states {
            self.add(
                label,
                last_before(lines, first, |l| l.event == event.code()),
            );
        }
    }

    /// Adds the changes of the request's endpoints that an instance logged: the last one before
    /// `first`, and those from then until shortly after `last`.
    fn add_endpoint_changes(
        &mut self,
        lines: &[&'a Line],
        first: OffsetDateTime,
        last: OffsetDateTime,
    ) {
        for endpoint in self.field_values("endpoint") {
            let is_change = |l: &Line| {
                l.event == Event::EndpointChanged.code() && l.has_value("endpoint", &endpoint)
            };
            let before = last_before(lines, first, is_change);
            self.add(&format!("endpoint {endpoint} before"), before);
            let limit = last_before(lines, last, |l| {
                l.event == Event::EndpointLimited.code() && l.has_value("endpoint", &endpoint)
            });
            self.add(&format!("limit of endpoint {endpoint}"), limit);
            let later = lines.iter().copied().filter(|l| is_change(l));
            for line in later.filter(|l| l.timestamp > first && l.timestamp <= last + AFTER_REQUEST)
            {
                self.add(&format!("endpoint {endpoint} later"), Some(line));
            }
        }
    }

    /// Adds, for each zone whose holder granted the request an endpoint or denied it a permit: the
    /// holder, the load of its placer and its orders for the request's adapters.
    fn add_zone_context(
        &mut self,
        logs: &'a Logs,
        lines: &[&'a Line],
        first: OffsetDateTime,
        last: OffsetDateTime,
    ) {
        let adapters = self.field_values("adapter");
        let mut zones = self.field_values("by");
        zones.extend(self.field_values("held_zone"));
        for zone in zones {
            let is_of_zone = |l: &Line| l.has_value("held_zone", &zone);
            let holder = last_before(lines, last, |l| {
                l.event == Event::HolderChanged.code() && is_of_zone(l)
            });
            self.add(&format!("the holder of {zone}"), holder);
            let zone_lines: Vec<&Line> = logs.lines().iter().filter(|l| is_of_zone(l)).collect();
            let levels = last_before(&zone_lines, last, |l| l.event == Event::PlacerStats.code());
            self.add(&format!("the placer of {zone}"), levels);
            let is_order = |l: &&Line| {
                let same_adapter = l.field("adapter").is_some_and(|a| adapters.contains(a));
                let is_near = first - BEFORE_REQUEST <= l.timestamp && l.timestamp <= last;
                l.event == Event::OrderEnded.code() && same_adapter && is_near
            };
            for line in zone_lines.iter().copied().filter(is_order).take(MAX_ORDERS) {
                self.add(&format!("an order of {zone}"), Some(line));
            }
        }
    }

    /// Adds the quarantine for which an instance refused the request, and the crashes that led to it.
    fn add_quarantine(&mut self, logs: &'a Logs, lines: &[&'a Line], last: OffsetDateTime) {
        let details = self.field_values("detail");
        let quarantine = last_before(lines, last, |l| {
            let suspects = l.field("suspects").unwrap_or_default();
            l.event == Event::QuarantineStarted.code()
                && details.iter().any(|d| d.ends_with(&format!(" {suspects}")))
        });
        let Some(quarantine) = quarantine else {
            return;
        };
        self.add("the quarantine that it is in", Some(quarantine));
        let suspects = quarantine.field("suspects").unwrap_or_default();
        let is_cause = |l: &&Line| {
            l.event == Event::EndpointCrashed.code()
                && l.timestamp <= last
                && suspects.split(',').all(|s| l.lists_value("suspects", s))
        };
        for line in logs.lines().iter().filter(is_cause).take(MAX_CRASHES) {
            self.add("a crash that led to it", Some(line));
        }
    }

    /// Adds what an instance that refused the request for its account's quota knew of the quota.
    fn add_quota(&mut self, lines: &[&'a Line], last: OffsetDateTime) {
        for account in self.field_values("account") {
            let quota = last_before(lines, last, |l| {
                l.event == Event::QuotaExhausted.code() && l.has_value("account", &account)
            });
            self.add(&format!("the quota of {account}"), quota);
            let pools = last_before(lines, last, |l| l.event == Event::QuotaPoolsLost.code());
            self.add("its way to the quota pools", pools);
        }
    }

    /// Adds a line unless it is `None` or has already been added.
    fn add(&mut self, label: &str, line: Option<&'a Line>) {
        let Some(line) = line else {
            return;
        };
        if self.context.iter().any(|c| std::ptr::eq(c.line, line)) {
            return;
        }
        self.context.push(ContextLine {
            label: label.to_owned(),
            line,
        });
    }

    /// Returns the distinct values of a field in the lines that carry the request's id.
    fn field_values(&self, name: &str) -> BTreeSet<String> {
        let values = self.request_lines.iter().filter_map(|l| l.field(name));
        values.map(str::to_owned).collect()
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.request_lines.first().map(|l| l.timestamp);
        let row = |f: &mut fmt::Formatter<'_>, label: &str, line: &Line| {
            let ms = start.map_or(0, |s| (line.timestamp - s).whole_milliseconds());
            writeln!(f, "  {ms:>8} ms  {}  {label}{line}", line.instance)
        };
        writeln!(f, "request {}", self.request)?;
        for line in &self.request_lines {
            row(f, "", line)?;
        }
        if !self.context.is_empty() {
            writeln!(f, "what was known")?;
        }
        for context_line in &self.context {
            row(f, &format!("{}: ", context_line.label), context_line.line)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}

/// Returns the last line that satisfies `matches` and is not later than `at`; `lines` are ordered
/// by timestamp.
fn last_before<'a>(
    lines: &[&'a Line],
    at: OffsetDateTime,
    matches: impl Fn(&Line) -> bool,
) -> Option<&'a Line> {
    let before = lines
        .iter()
        .copied()
        .filter(|l| l.timestamp <= at && matches(l));
    before.last()
}
