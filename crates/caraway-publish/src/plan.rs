//! [`Plan`]: the records that a file would publish, given the current state.

use std::{collections::BTreeMap, sync::Arc};

use caraway_records::{Outcome, Record, RefusedRecord, State};
use caraway_types::{Findings, Offset};
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_128;

use crate::file::Draft;

/// The records that a file would publish, and the problems that prevent it.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Records to append, in the order of the file.
    pub(crate) records: Vec<PlannedRecord>,
    /// Names of the keys, `kind/key`, whose current record already equals the file's.
    pub(crate) unchanged: Vec<String>,
    /// Problems of the records.
    pub(crate) findings: Findings,
    /// Records whose base is not the current revision of their key, with the current revision.
    pub(crate) conflicts: Vec<(Record, Option<Offset>)>,
}

/// A record to append.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRecord {
    /// Record as checked.
    pub(crate) record: Record,
    /// JSON text of the record as it is appended.
    pub(crate) text: Arc<str>,
}

impl Plan {
    /// Plans to publish `drafts` on top of `state`, and fills in the fields that they leave out.
    pub(crate) fn new(state: &State, drafts: Vec<Draft>, author: Option<&str>) -> Self {
        let mut plan = Self::default();
        let mut trial_state = state.clone();
        let mut pointers: BTreeMap<String, String> = BTreeMap::new();
        for mut draft in drafts {
            fill_missing_fields(state, &mut draft.fields, author);
            let value = Value::Object(draft.fields);
            let record = match Record::check(&value) {
                Ok(record) => record,
                Err(findings) => {
                    plan.add_findings(&draft.pointer, &findings);
                    continue;
                }
            };
            let name = format!("{}/{}", record.kind, record.key);
            if let Some(other) = pointers.insert(name.clone(), draft.pointer.clone()) {
                let place = format!("{}/key", draft.pointer);
                plan.findings.add(place, format!("also in {other}"));
                continue;
            }
            if is_unchanged(state, &record) {
                plan.unchanged.push(name);
                continue;
            }
            plan.add_record(&mut trial_state, &draft.pointer, record);
        }
        plan
    }

    /// Checks `drafts` by themselves, without the published records.
    pub(crate) fn offline(drafts: Vec<Draft>, author: Option<&str>) -> Self {
        let mut plan = Self::default();
        for mut draft in drafts {
            fill_missing_fields(&State::default(), &mut draft.fields, author);
            match Record::check(&Value::Object(draft.fields)) {
                Ok(record) => {
                    let text = record.to_json();
                    plan.records.push(PlannedRecord { record, text });
                }
                Err(findings) => plan.add_findings(&draft.pointer, &findings),
            }
        }
        plan
    }

    /// Applies a record to `trial_state`, a copy of the state, and adds it to the plan according to
    /// the outcome.
    fn add_record(&mut self, trial_state: &mut State, place: &str, record: Record) {
        let text = record.to_json();
        match trial_state.apply(trial_state.next(), &text) {
            Outcome::Applied | Outcome::Duplicate(_) => {
                self.records.push(PlannedRecord { record, text });
            }
            Outcome::Refused(RefusedRecord::Conflict { current, .. }) => {
                self.conflicts.push((record, current));
            }
            Outcome::Void(findings) => self.add_findings(place, &findings),
            Outcome::Refused(refused) => self.findings.add(place, refused.to_string()),
            other => self
                .findings
                .add(place, format!("unexpected outcome: {other:?}")),
        }
    }

    /// Adds the findings of the record at `place`, whose own places are relative to the record.
    fn add_findings(&mut self, place: &str, findings: &Findings) {
        for finding in findings.list() {
            let at = format!("{place}{}", finding.place);
            self.findings.add(at, finding.problem.clone());
        }
    }
}

/// Fills in the fields `author`, `base` and `id` if they are missing.
///
/// The id is a hash of the other fields, so the same record gets the same id each time.
fn fill_missing_fields(state: &State, fields: &mut Map<String, Value>, author: Option<&str>) {
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("");
    let current = state.revision(text("kind"), text("key"));
    if let Some(author) = author {
        fields.entry("author").or_insert_with(|| author.into());
    }
    if let Some(revision) = current {
        fields.entry("base").or_insert_with(|| revision.into());
    }
    if !fields.contains_key("id") {
        let hash = xxh3_128(Value::Object(fields.clone()).to_string().as_bytes());
        fields.insert("id".into(), format!("{hash:032x}").into());
    }
}

/// Returns whether the current record of the key is in force and equals `record`, so that nothing
/// needs to be published.
fn is_unchanged(state: &State, record: &Record) -> bool {
    let current = state.current(&record.kind, &record.key);
    current.map_or(record.body.is_null(), |c| {
        let is_equal = c.record.schema == record.schema && c.record.body == record.body;
        let based_on_current =
            record.base.is_none_or(|b| b == c.revision) || c.record.id == record.id;
        c.in_force && is_equal && based_on_current
    })
}
