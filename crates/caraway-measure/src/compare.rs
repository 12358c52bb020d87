//! `caraway-measure compare`: two JSON reports side by side.

use std::{collections::BTreeMap, fs, path::Path};

use anyhow::{Context, Result};
use serde_json::Value;

use crate::flags::Compare;

/// Prints every figure of both reports with the ratio of the new to the old.
///
/// # Errors
///
/// Returns an error when a file can't be read or is no JSON.
pub(crate) fn run(args: &Compare) -> Result<()> {
    let (old, new) = (figures(&args.old)?, figures(&args.new)?);
    println!("{:>12} {:>12} {:>7}  figure", "old", "new", "ratio");
    for (name, before) in &old {
        match new.get(name) {
            Some(after) => println!(
                "{before:>12.4} {after:>12.4} {}  {name}",
                ratio(*before, *after)
            ),
            None => println!("{before:>12.4} {:>12} {:>7}  {name}", "-", "-"),
        }
    }
    for (name, after) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        println!("{:>12} {after:>12.4} {:>7}  {name}", "-", "-");
    }
    Ok(())
}

fn ratio(before: f64, after: f64) -> String {
    if before == 0.0 {
        format!("{:>7}", "-")
    } else {
        format!("{:>7.3}", after / before)
    }
}

/// Returns the numbers of a report by their JSON pointer.
fn figures(path: &Path) -> Result<BTreeMap<String, f64>> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    // Reports of several lines hold one JSON value a line.
    let values = serde_json::Deserializer::from_str(&text).into_iter::<Value>();
    let values: Vec<Value> = values
        .collect::<Result<_, _>>()
        .with_context(|| path.display().to_string())?;
    let mut found = BTreeMap::new();
    for (i, value) in values.iter().enumerate() {
        let place = if values.len() == 1 {
            String::new()
        } else {
            format!("/{i}")
        };
        collect(value, &place, &mut found);
    }
    Ok(found)
}

fn collect(value: &Value, place: &str, found: &mut BTreeMap<String, f64>) {
    match value {
        Value::Number(number) => {
            if let Some(number) = number.as_f64() {
                found.insert(place.to_owned(), number);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                collect(item, &format!("{place}/{i}"), found);
            }
        }
        Value::Object(fields) => {
            for (name, field) in fields {
                collect(field, &format!("{place}/{name}"), found);
            }
        }
        _ => {}
    }
}
