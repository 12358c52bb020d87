//! [`Line`]: a parsed log line of a gateway.

use std::{fmt, sync::Arc};

use serde_json::{Map, Value};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Fields that every log line has; they are not kept among the further fields of a [`Line`].
const COMMON_FIELDS: [&str; 6] = ["ts", "instance", "zone", "event", "msg", "level"];

/// A parsed log line of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Timestamp, from the wall clock of the instance.
    pub timestamp: OffsetDateTime,
    /// Id of the instance that wrote the line.
    pub instance: Arc<str>,
    /// Number of the event.
    pub event: u16,
    /// Message of the event.
    pub message: Arc<str>,
    /// Fields other than the [`COMMON_FIELDS`] ones.
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; returns `None` if it is not a log line of a gateway or is truncated.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let Value::Object(mut fields) = serde_json::from_str(text).ok()? else {
            return None;
        };
        let string = |name: &str| fields.get(name).and_then(Value::as_str);
        let timestamp = OffsetDateTime::parse(string("ts")?, &Rfc3339).ok()?;
        let instance = string("instance")?.into();
        let message = string("msg")?.into();
        let event = fields.get("event")?.as_u64()?;
        fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
        Some(Self {
            timestamp,
            instance,
            event: u16::try_from(event).ok()?,
            message,
            fields,
        })
    }

    /// Returns the value of a field; `None` if the field is missing or is not a string.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Returns whether a field is a list, separated by commas, that contains `text`.
    #[must_use]
    pub fn lists_value(&self, name: &str, text: &str) -> bool {
        let mut values = self.field(name).unwrap_or_default().split(',');
        values.any(|v| v == text)
    }

    /// Returns whether a field is a string equal to `text`.
    #[must_use]
    pub fn has_value(&self, name: &str, text: &str) -> bool {
        self.field(name) == Some(text)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.event)?;
        for (name, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {name}={text:?}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
