//! [`Draft`]: a record of an operator's file, in which `base`, `id` and `author` are optional.

use std::path::Path;

use caraway_types::Findings;
use serde_json::{Map, Value};

/// A record of a file, not checked yet.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// JSON pointer to the record in the file; empty if the file holds a single record.
    pub(crate) pointer: String,
    /// Fields of the record as given in the file.
    pub(crate) fields: Map<String, Value>,
}

/// Reads a file that holds one record or a list of records.
///
/// # Errors
///
/// Returns findings if the file can't be read, is not JSON or holds values that are not objects.
/// Their places are the path, a line and column, or a JSON pointer.
pub(crate) fn read(path: &Path) -> Result<Vec<Draft>, Findings> {
    let mut findings = Findings::default();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            findings.add(path.display().to_string(), error.to_string());
            return Err(findings);
        }
    };
    let value: Value = match serde_json::from_str(&text) {
        Ok(value) => value,
        Err(error) => {
            let place = format!("line {} column {}", error.line(), error.column());
            findings.add(place, format!("not JSON: {error}"));
            return Err(findings);
        }
    };
    let drafts = to_drafts(value, &mut findings);
    findings.into_result(drafts)
}

/// Returns the objects of a file's JSON value, and adds a finding for each other value.
fn to_drafts(value: Value, findings: &mut Findings) -> Vec<Draft> {
    let items: Vec<(String, Value)> = match value {
        Value::Array(list) => {
            let pointers = (0..).map(|i: usize| format!("/{i}"));
            pointers.zip(list).collect()
        }
        value => vec![(String::new(), value)],
    };
    let mut drafts = Vec::new();
    for (pointer, item) in items {
        match item {
            Value::Object(fields) => drafts.push(Draft { pointer, fields }),
            _ => findings.add(pointer, "expected an object"),
        }
    }
    drafts
}
