//! [`Report`]: what a command says at its end.

use std::sync::Arc;

use anyhow::Error;
use caraway_types::{Findings, Offset};
use serde::Serialize;
use serde_json::Value;

use crate::{exit::Exit, instances::InstanceStatus};

/// What a command says at its end, as text or as one line of JSON.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// How it ended.
    #[serde(skip)]
    pub(crate) exit: Exit,
    /// One line for a person.
    pub(crate) summary: String,
    /// What is wrong with the input.
    #[serde(skip_serializing_if = "Findings::is_empty")]
    pub(crate) findings: Findings,
    /// Records that were made against older revisions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) conflicts: Vec<Conflict>,
    /// Records, with what became of them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) records: Vec<RecordLine>,
    /// Instances.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) instances: Vec<InstanceStatus>,
}

/// A record that was made against an older revision than the current one.
#[derive(Debug, Serialize)]
pub(crate) struct Conflict {
    /// The key, `kind/key`.
    pub(crate) name: String,
    /// The revision it was made against.
    pub(crate) base: Option<Offset>,
    /// The current revision.
    pub(crate) current: Option<Offset>,
    /// What was accepted since, the latest last.
    pub(crate) since: Vec<RecordLine>,
}

/// A record and what became of it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RecordLine {
    /// Where it lies.
    pub(crate) offset: Option<Offset>,
    /// The key, `kind/key`.
    pub(crate) name: String,
    /// Who made it.
    pub(crate) author: Option<Arc<str>>,
    /// What became of it.
    pub(crate) outcome: String,
    /// Its body.
    pub(crate) body: Value,
}

impl Report {
    /// Makes a report.
    pub(crate) fn new(exit: Exit, summary: impl Into<String>) -> Self {
        Self {
            exit,
            summary: summary.into(),
            findings: Findings::default(),
            conflicts: Vec::new(),
            records: Vec::new(),
            instances: Vec::new(),
        }
    }

    /// Makes the report of an error, whose context may say how to exit.
    pub(crate) fn failure(error: &Error) -> Self {
        let exit = error.downcast_ref::<Exit>().copied();
        Self::new(exit.unwrap_or(Exit::Usage), format!("{error:#}"))
    }

    /// Prints the report.
    pub(crate) fn print(&self, json: bool) {
        if json {
            let text = serde_json::to_string(self).unwrap_or_default();
            println!("{text}");
            return;
        }
        for finding in self.findings.list() {
            println!("{}: {}", finding.place, finding.problem);
        }
        for conflict in &self.conflicts {
            conflict.print();
        }
        for record in &self.records {
            record.print("");
        }
        for instance in &self.instances {
            println!("{instance}");
        }
        println!("{}", self.summary);
    }
}

impl Conflict {
    fn print(&self) {
        let revision = |r: Option<Offset>| r.map_or("nothing".into(), |r| r.to_string());
        let (base, current) = (revision(self.base), revision(self.current));
        println!(
            "{}: made against {base}, now at {current}; since then:",
            self.name
        );
        for record in &self.since {
            record.print("  ");
        }
    }
}

impl RecordLine {
    fn print(&self, indent: &str) {
        let offset = self.offset.map_or("-".into(), |o| o.to_string());
        let author = self.author.as_deref().unwrap_or("-");
        let Self {
            name,
            outcome,
            body,
            ..
        } = self;
        println!("{indent}{offset}\t{name}\t{author}\t{outcome}\t{body}");
    }
}
