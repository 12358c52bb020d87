//! [`Draft`]: a record of an operator's file, in which `base`, `id` and `author` are optional.

use std::path::Path;

use caraway_types::Findings;
use serde_json::{Map, Value};

/// A record of a file, not checked yet.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// JSON pointer to the record in the file; empty if the file holds a single record.
    pub(crate) place: String,
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
    let mut found = Findings::default();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            found.add(path.display().to_string(), error.to_string());
            return Err(found);
        }
    };
    let value: Value = match serde_json::from_str(&text) {
        Ok(value) => value,
        Err(error) => {
            let place = format!("line {} column {}", error.line(), error.column());
            found.add(place, format!("invalid JSON: {error}"));
            return Err(found);
        }
    };
    let drafts = drafts(value, &mut found);
    found.into_result(drafts)
}

/// Returns the objects of a file's JSON value, and adds a finding for each other value.
fn drafts(value: Value, found: &mut Findings) -> Vec<Draft> {
    let items: Vec<(String, Value)> = match value {
        Value::Array(list) => {
            let places = (0..).map(|i: usize| format!("/{i}"));
            places.zip(list).collect()
        }
        value => vec![(String::new(), value)],
    };
    let mut drafts = Vec::new();
    for (place, item) in items {
        match item {
            Value::Object(fields) => drafts.push(Draft { place, fields }),
            _ => found.add(place, "expected an object"),
        }
    }
    drafts
}
