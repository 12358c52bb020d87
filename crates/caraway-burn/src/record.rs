//! [`BurnRecord`]: a closed bucket of one instance, as it passes through the platform's log.

use std::{collections::BTreeMap, sync::Arc};

use caraway_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{Counts, ObjectiveName, UnixSeconds};

/// Schema of [`BurnRecord`].
const RECORD_SCHEMA: u32 = 1;

/// A closed bucket of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnRecord {
    /// Schema of this record.
    pub schema: u32,
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When the bucket starts; it is [`LOG_WIDTH_SECONDS`](crate::LOG_WIDTH_SECONDS) wide.
    pub start: UnixSeconds,
    /// Counts by objective.
    pub counts: BTreeMap<ObjectiveName, Counts>,
}

impl BurnRecord {
    pub(crate) fn new(
        instance: &InstanceId,
        incarnation: Incarnation,
        start: UnixSeconds,
        counts: BTreeMap<ObjectiveName, Counts>,
    ) -> Self {
        Self {
            schema: RECORD_SCHEMA,
            instance: Arc::clone(instance),
            incarnation,
            start,
            counts,
        }
    }

    /// Reads a record of the log.
    ///
    /// # Errors
    ///
    /// Returns the problem when the text is no record or its schema is newer than this program.
    pub fn parse(text: &str) -> Result<Self, String> {
        let record: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if record.schema == RECORD_SCHEMA {
            Ok(record)
        } else {
            Err(format!("schema {} is not known", record.schema))
        }
    }
}
