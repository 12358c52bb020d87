//! [`Story`]: the log lines that explain the course of one request.

use std::{collections::BTreeSet, fmt, sync::Arc};

use caraway_gateway::Event;
use time::{Duration, OffsetDateTime};

use crate::{Line, Logs};

/// Time after a request's last line within which a change of its endpoint may explain a failure;
/// the registry removes a crashed endpoint within about 4 s.
const AFTER: Duration = Duration::seconds(5);
/// Time before a request's first line within which orders for its adapter may concern it; a slow
/// load that the request waits for may have been ordered earlier.
const BEFORE: Duration = Duration::seconds(2);
/// Maximum number of orders listed for a zone; one load takes three orders.
const ORDERS: usize = 12;

/// A line that shows the state of an instance while the request was served.
#[derive(Clone, Debug, PartialEq)]
pub struct Note<'a> {
    /// Description of how the line relates to the request.
    pub about: String,
    /// The log line.
    pub line: &'a Line,
}

/// The log lines that explain the course of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Story<'a> {
    /// Lines that carry the id of the request, ordered by timestamp.
    pub own: Vec<&'a Line>,
    /// Lines that show the state of the instances that served the request.
    pub notes: Vec<Note<'a>>,
    request: Arc<str>,
    unreadable: usize,
}

impl<'a> Story<'a> {
    /// Collects the lines for the request with the id `request`; `None` if no line carries the id.
    #[must_use]
    pub fn of(logs: &'a Logs, request: &str) -> Option<Self> {
        let names = |l: &&Line| l.has("request", request);
        let own: Vec<&Line> = logs.lines().iter().filter(names).collect();
        let (first, last) = (own.first()?.at, own.last()?.at);
        let mut story = Self {
            own,
            notes: Vec::new(),
            request: request.into(),
            unreadable: logs.unreadable(),
        };
        let instances: BTreeSet<&str> = story.own.iter().map(|l| &*l.instance).collect();
        for instance in instances {
            let lines = logs
                .lines()
                .iter()
                .filter(move |l| *l.instance == *instance);
            let lines: Vec<&Line> = lines.collect();
            story.note_state(&lines, first);
            story.note_endpoints(&lines, first, last);
            story.note_zones(logs, &lines, first, last);
        }
        Some(story)
    }

    /// Adds the last lines of an instance before `first` about its configuration, the store, its
    /// readiness and draining.
    fn note_state(&mut self, lines: &[&'a Line], first: OffsetDateTime) {
        let known = [
            ("its configuration", Event::ConfigApplied),
            ("the store was lost", Event::StoreLost),
            ("the store was back", Event::StoreRegained),
            ("its readiness", Event::Readiness),
            ("it was told to stop", Event::Draining),
        ];
        for (about, event) in known {
            self.note(
                about,
                last_before(lines, first, |l| l.event == event.code()),
            );
        }
    }

    /// Adds changes of the request's endpoints that an instance logged: the last one before `first`,
    /// and those from then until shortly after `last`.
    fn note_endpoints(&mut self, lines: &[&'a Line], first: OffsetDateTime, last: OffsetDateTime) {
        for endpoint in self.values("endpoint") {
            let is_change =
                |l: &Line| l.event == Event::EndpointChanged.code() && l.has("endpoint", &endpoint);
            let before = last_before(lines, first, is_change);
            self.note(&format!("endpoint {endpoint} before"), before);
            let later = lines.iter().copied().filter(|l| is_change(l));
            for line in later.filter(|l| l.at > first && l.at <= last + AFTER) {
                self.note(&format!("endpoint {endpoint} later"), Some(line));
            }
        }
    }

    /// Adds, for each zone whose holder granted the request an endpoint: the holder, the load of its
    /// placer and its orders for the request's adapters.
    fn note_zones(
        &mut self,
        logs: &'a Logs,
        lines: &[&'a Line],
        first: OffsetDateTime,
        last: OffsetDateTime,
    ) {
        let adapters = self.values("adapter");
        for zone in self.values("by") {
            let of_zone = |l: &Line| l.has("held_zone", &zone);
            let holder = last_before(lines, last, |l| {
                l.event == Event::HolderChanged.code() && of_zone(l)
            });
            self.note(&format!("the holder of {zone}"), holder);
            let all: Vec<&Line> = logs.lines().iter().filter(|l| of_zone(l)).collect();
            let levels = last_before(&all, last, |l| l.event == Event::PlacerLevels.code());
            self.note(&format!("the placer of {zone}"), levels);
            let order = |l: &&Line| {
                let named = l.field("adapter").is_some_and(|a| adapters.contains(a));
                let is_near = first - BEFORE <= l.at && l.at <= last;
                l.event == Event::Ordered.code() && named && is_near
            };
            for line in all.iter().copied().filter(order).take(ORDERS) {
                self.note(&format!("an order of {zone}"), Some(line));
            }
        }
    }

    /// Adds a line unless it is `None` or has already been added.
    fn note(&mut self, about: &str, line: Option<&'a Line>) {
        let Some(line) = line else {
            return;
        };
        if self.notes.iter().any(|n| std::ptr::eq(n.line, line)) {
            return;
        }
        self.notes.push(Note {
            about: about.to_owned(),
            line,
        });
    }

    /// Returns the distinct values of a field in the lines that carry the request's id.
    fn values(&self, name: &str) -> BTreeSet<String> {
        let values = self.own.iter().filter_map(|l| l.field(name));
        values.map(str::to_owned).collect()
    }
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.own.first().map(|l| l.at);
        let row = |f: &mut fmt::Formatter<'_>, about: &str, line: &Line| {
            let ms = start.map_or(0, |s| (line.at - s).whole_milliseconds());
            writeln!(f, "  {ms:>8} ms  {}  {about}{line}", line.instance)
        };
        writeln!(f, "request {}", self.request)?;
        for line in &self.own {
            row(f, "", line)?;
        }
        if !self.notes.is_empty() {
            writeln!(f, "what was known")?;
        }
        for note in &self.notes {
            row(f, &format!("{}: ", note.about), note.line)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}

/// Returns the last of the lines, ordered by timestamp, that satisfies `holds` and is not later than
/// `at`.
fn last_before<'a>(
    lines: &[&'a Line],
    at: OffsetDateTime,
    holds: impl Fn(&Line) -> bool,
) -> Option<&'a Line> {
    let before = lines.iter().copied().filter(|l| l.at <= at && holds(l));
    before.last()
}
