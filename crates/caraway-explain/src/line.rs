//! [`Line`]: one log line of a gateway.

use std::{fmt, sync::Arc};

use serde_json::{Map, Value};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Fields that are told apart from the others.
const COMMON: [&str; 6] = ["ts", "instance", "zone", "event", "msg", "level"];

/// One log line of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, by the instance's wall clock.
    pub at: OffsetDateTime,
    /// The instance that wrote it.
    pub instance: Arc<str>,
    /// The number of its event.
    pub event: u16,
    /// The event's text.
    pub text: Arc<str>,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` when it is none of a gateway, or cut off.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let Value::Object(mut fields) = serde_json::from_str(text).ok()? else {
            return None;
        };
        let word = |name: &str| fields.get(name).and_then(Value::as_str);
        let at = OffsetDateTime::parse(word("ts")?, &Rfc3339).ok()?;
        let instance = word("instance")?.into();
        let message = word("msg")?.into();
        let event = fields.get("event")?.as_u64()?;
        fields.retain(|name, _| !COMMON.contains(&name.as_str()));
        Some(Self {
            at,
            instance,
            event: u16::try_from(event).ok()?,
            text: message,
            fields,
        })
    }

    /// Returns a field that holds a text.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Tells whether a field holds this text.
    #[must_use]
    pub fn has(&self, name: &str, text: &str) -> bool {
        self.field(name) == Some(text)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.text, self.event)?;
        for (name, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {name}={text:?}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
