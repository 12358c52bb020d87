//! `caraway-measure compare`: prints the numbers of two JSON reports side by side.

use std::{collections::BTreeMap, fs, path::Path};

use anyhow::{Context, Result};
use serde_json::Value;

use crate::flags::Compare;

/// Prints every number of both reports with the ratio of new to old.
///
/// # Errors
///
/// Returns an error when a file can't be read or isn't JSON.
pub(crate) fn run(args: &Compare) -> Result<()> {
    let (old, new) = (read_numbers(&args.old)?, read_numbers(&args.new)?);
    println!("{:>12} {:>12} {:>7}  figure", "old", "new", "ratio");
    for (name, old_value) in &old {
        match new.get(name) {
            Some(new_value) => println!(
                "{old_value:>12.4} {new_value:>12.4} {}  {name}",
                ratio(*old_value, *new_value)
            ),
            None => println!("{old_value:>12.4} {:>12} {:>7}  {name}", "-", "-"),
        }
    }
    for (name, new_value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        println!("{:>12} {new_value:>12.4} {:>7}  {name}", "-", "-");
    }
    Ok(())
}

fn ratio(old_value: f64, new_value: f64) -> String {
    if old_value == 0.0 {
        format!("{:>7}", "-")
    } else {
        format!("{:>7.3}", new_value / old_value)
    }
}

/// Reads the numbers of a report, by JSON pointer.
///
/// In a report of several values each pointer starts with the index of its value.
fn read_numbers(path: &Path) -> Result<BTreeMap<String, f64>> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    // Some reports hold several JSON values, one on each line.
    let values = serde_json::Deserializer::from_str(&text).into_iter::<Value>();
    let values: Vec<Value> = values
        .collect::<Result<_, _>>()
        .with_context(|| path.display().to_string())?;
    let mut numbers = BTreeMap::new();
    for (i, value) in values.iter().enumerate() {
        let pointer = if values.len() == 1 {
            String::new()
        } else {
            format!("/{i}")
        };
        collect_numbers(value, &pointer, &mut numbers);
    }
    Ok(numbers)
}

fn collect_numbers(value: &Value, pointer: &str, numbers: &mut BTreeMap<String, f64>) {
    match value {
        Value::Number(number) => {
            if let Some(number) = number.as_f64() {
                numbers.insert(pointer.to_owned(), number);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                collect_numbers(item, &format!("{pointer}/{i}"), numbers);
            }
        }
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_numbers(field, &format!("{pointer}/{name}"), numbers);
            }
        }
        _ => {}
    }
}
