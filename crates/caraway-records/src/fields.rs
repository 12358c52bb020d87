//! [`Fields`]: parses a JSON object field by field and collects all findings with their JSON
//! pointers.

use std::{collections::BTreeSet, sync::Arc};

use serde_json::{Map, Value};

use caraway_types::Findings;

/// Parser of one JSON object, which records the fields that were read.
pub(crate) struct Fields<'a> {
    map: &'a Map<String, Value>,
    pointer_prefix: String,
    read_names: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Starts parsing the value at `pointer_prefix`; adds a finding if it is not an object.
    pub(crate) fn new(
        value: &'a Value,
        pointer_prefix: &str,
        findings: &mut Findings,
    ) -> Option<Self> {
        let map = value.as_object();
        if map.is_none() {
            findings.add(pointer_prefix, "expected an object");
        }
        Some(Self {
            map: map?,
            pointer_prefix: pointer_prefix.to_owned(),
            read_names: BTreeSet::new(),
        })
    }

    /// Returns the JSON pointer of a field.
    pub(crate) fn pointer(&self, name: &str) -> String {
        let escaped = name.replace('~', "~0").replace('/', "~1");
        format!("{}/{escaped}", self.pointer_prefix)
    }

    /// Returns a field, or `None` if it is absent or null.
    pub(crate) fn optional(&mut self, name: &'static str) -> Option<&'a Value> {
        self.read_names.insert(name);
        self.map.get(name).filter(|v| !v.is_null())
    }

    /// Returns a required string that passes `check`.
    ///
    /// Adds a finding and returns an empty string if it is absent or fails the check.
    pub(crate) fn string(
        &mut self,
        name: &'static str,
        expected: &str,
        check: impl Fn(&str) -> bool,
        findings: &mut Findings,
    ) -> Arc<str> {
        if self.optional(name).is_none() {
            findings.add(self.pointer(name), format!("missing, expected {expected}"));
        }
        self.optional_string(name, expected, check, findings)
            .unwrap_or_default()
    }

    /// Returns an optional string; adds a finding if it is present but fails `check`.
    pub(crate) fn optional_string(
        &mut self,
        name: &'static str,
        expected: &str,
        check: impl Fn(&str) -> bool,
        findings: &mut Findings,
    ) -> Option<Arc<str>> {
        let value = self.optional(name)?;
        let text = value.as_str().filter(|t| check(t));
        if text.is_none() {
            findings.add(self.pointer(name), format!("expected {expected}"));
        }
        text.map(Arc::from)
    }

    /// Returns an array of strings; adds a finding for each that fails `check`.
    ///
    /// An absent field gives an empty list.
    pub(crate) fn strings(
        &mut self,
        name: &'static str,
        expected: &str,
        check: impl Fn(&str) -> bool,
        findings: &mut Findings,
    ) -> Vec<Arc<str>> {
        let Some(value) = self.optional(name) else {
            return Vec::new();
        };
        let Some(list) = value.as_array() else {
            findings.add(self.pointer(name), "expected a list");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for (i, item) in list.iter().enumerate() {
            match item.as_str().filter(|t| check(t)) {
                Some(text) => strings.push(Arc::from(text)),
                None => findings.add(
                    format!("{}/{i}", self.pointer(name)),
                    format!("expected {expected}"),
                ),
            }
        }
        strings
    }

    /// Returns a number from `min` to `max`, or `default` if the field is absent or invalid.
    pub(crate) fn number(
        &mut self,
        name: &'static str,
        (min, max): (f64, f64),
        default: f64,
        findings: &mut Findings,
    ) -> f64 {
        let Some(value) = self.optional(name) else {
            return default;
        };
        let number = value.as_f64().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            findings.add(
                self.pointer(name),
                format!("expected a number from {min} to {max}"),
            );
        }
        number.unwrap_or(default)
    }

    /// Returns an integer from 0 to `max`, or `default` if the field is absent or invalid.
    pub(crate) fn integer(
        &mut self,
        name: &'static str,
        max: u64,
        default: u64,
        findings: &mut Findings,
    ) -> u64 {
        let Some(value) = self.optional(name) else {
            return default;
        };
        let number = value.as_u64().filter(|n| *n <= max);
        if number.is_none() {
            findings.add(
                self.pointer(name),
                format!("expected a whole number from 0 to {max}"),
            );
        }
        number.unwrap_or(default)
    }

    /// Returns a boolean, or `default` if the field is absent or invalid.
    pub(crate) fn boolean(
        &mut self,
        name: &'static str,
        default: bool,
        findings: &mut Findings,
    ) -> bool {
        let Some(value) = self.optional(name) else {
            return default;
        };
        let flag = value.as_bool();
        if flag.is_none() {
            findings.add(self.pointer(name), "expected true or false");
        }
        flag.unwrap_or(default)
    }

    /// Adds a finding for each field that was not read.
    pub(crate) fn finish(self, findings: &mut Findings) {
        for name in self.map.keys() {
            if !self.read_names.contains(name.as_str()) {
                findings.add(self.pointer(name), "unknown field");
            }
        }
    }
}

/// Appends `more` to `findings`.
pub(crate) fn append_findings(findings: &mut Findings, more: &Findings) {
    for finding in more.list() {
        findings.add(finding.place.clone(), finding.problem.clone());
    }
}
