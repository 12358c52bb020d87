//! [`Story`]: the lines that tell of one request.

use std::{collections::BTreeSet, fmt, sync::Arc};

use caraway_gateway::Event;
use time::{Duration, OffsetDateTime};

use crate::{Line, Logs};

/// Time after a request's last line in which a change of its endpoint may be its cause: the
/// registry drops a crashed endpoint within some 4 s.
const AFTER: Duration = Duration::seconds(5);
/// Time before a request's first line in which orders about its adapter concern it: a load that
/// it waited for, on days when loads are slow.
const BEFORE: Duration = Duration::seconds(2);
/// Orders about an adapter that are told at most; those of one load are three.
const ORDERS: usize = 12;

/// Something that an instance knew or did when the request was served.
#[derive(Clone, Debug, PartialEq)]
pub struct Note<'a> {
    /// What it says about the request.
    pub about: String,
    /// The line.
    pub line: &'a Line,
}

/// The lines that tell of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Story<'a> {
    /// The request's own lines, by time.
    pub own: Vec<&'a Line>,
    /// What the instances knew.
    pub notes: Vec<Note<'a>>,
    request: Arc<str>,
    unreadable: usize,
}

impl<'a> Story<'a> {
    /// Finds what the logs tell of `request`; `None` when no line names it.
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

    /// Notes the configuration, the store and the readiness that an instance knew at `first`.
    fn note_state(&mut self, lines: &[&'a Line], first: OffsetDateTime) {
        let known = [
            ("its configuration", Event::ConfigApplied),
            ("the store was lost", Event::StoreLost),
            ("the store was back", Event::StoreRegained),
            ("its readiness", Event::ReadinessChanged),
            ("it was told to stop", Event::Draining),
        ];
        for (about, event) in known {
            self.note(
                about,
                last_before(lines, first, |l| l.event == event.code()),
            );
        }
    }

    /// Notes what an instance heard of the request's endpoints, before it and soon after.
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

    /// Notes who held the zones that granted the request, what their placers had to do, and their
    /// orders about its adapter.
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
            let levels = last_before(&all, last, |l| l.event == Event::PlacerStats.code());
            self.note(&format!("the placer of {zone}"), levels);
            let order = |l: &&Line| {
                let named = l.field("adapter").is_some_and(|a| adapters.contains(a));
                let is_near = first - BEFORE <= l.at && l.at <= last;
                l.event == Event::OrderEnded.code() && named && is_near
            };
            for line in all.iter().copied().filter(order).take(ORDERS) {
                self.note(&format!("an order of {zone}"), Some(line));
            }
        }
    }

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

    /// Returns the values of a field of the request's own lines.
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

fn last_before<'a>(
    lines: &[&'a Line],
    at: OffsetDateTime,
    holds: impl Fn(&Line) -> bool,
) -> Option<&'a Line> {
    let before = lines.iter().copied().filter(|l| l.at <= at && holds(l));
    before.last()
}
