//! [`Report`]: the result that a command prints.

use std::sync::Arc;

use anyhow::Error;
use caraway_types::{Findings, Offset};
use serde::Serialize;
use serde_json::Value;

use crate::{exit::Exit, instance_client::InstanceStatus};

/// The result that a command prints, as text or as one line of JSON.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// Exit code of the process.
    #[serde(skip)]
    pub(crate) exit: Exit,
    /// Result in one line, for people.
    pub(crate) summary: String,
    /// Problems of the input.
    #[serde(skip_serializing_if = "Findings::is_empty")]
    pub(crate) findings: Findings,
    /// Records whose base is not the current revision of their key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) conflicts: Vec<Conflict>,
    /// Records, with their outcomes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) records: Vec<RecordLine>,
    /// Configuration that each live instance has in force.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) instances: Vec<InstanceStatus>,
}

/// A record whose base is not the current revision of its key.
#[derive(Debug, Serialize)]
pub(crate) struct Conflict {
    /// The key, `kind/key`.
    pub(crate) name: String,
    /// Revision that the record is based on; `None` if it expects that the key does not exist.
    pub(crate) base: Option<Offset>,
    /// Current revision of the key; `None` if the key does not exist.
    pub(crate) current: Option<Offset>,
    /// Records of the key that were accepted after `base`, in log order.
    pub(crate) since: Vec<RecordLine>,
}

/// A record with its outcome.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RecordLine {
    /// Offset of the record in the log; printed as `-` if `None`.
    pub(crate) offset: Option<Offset>,
    /// The key, `kind/key`.
    pub(crate) name: String,
    /// Author of the record, if it names one.
    pub(crate) author: Option<Arc<str>>,
    /// Outcome of the record, such as `applied` or `in force`.
    pub(crate) outcome: String,
    /// Body of the record; null deletes the key.
    pub(crate) body: Value,
}

impl Report {
    /// Returns a report without findings, conflicts, records and instances.
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

    /// Returns the report of an error; an [`Exit`] in its context sets the exit code.
    pub(crate) fn from_error(error: &Error) -> Self {
        let exit = error.downcast_ref::<Exit>().copied();
        Self::new(exit.unwrap_or(Exit::Usage), format!("{error:#}"))
    }

    /// Prints the report to standard output, in tab-separated columns or as one line of JSON.
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
