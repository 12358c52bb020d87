//! [`BurnRecord`]: a closed bucket of one instance, as stored in the platform's log.

use std::{collections::BTreeMap, sync::Arc};

use caraway_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{Counts, ObjectiveName, UnixSeconds};

/// Schema version of [`BurnRecord`].
const RECORD_SCHEMA: u32 = 1;

/// The counts of one instance in a closed bucket.
///
/// Records preserve the counts of instances that have ended or do not answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BurnRecord {
    /// Schema version of this record.
    pub schema: u32,
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Start of the bucket, which is [`LOG_BUCKET_SECONDS`](crate::LOG_BUCKET_SECONDS) wide.
    pub start: UnixSeconds,
    /// The counts by objective.
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

    /// Parses a record of the log.
    ///
    /// # Errors
    ///
    /// Returns a message if the text is not a record or its schema is not supported.
    pub fn parse(text: &str) -> Result<Self, String> {
        let record: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if record.schema == RECORD_SCHEMA {
            Ok(record)
        } else {
            Err(format!("schema {} is not known", record.schema))
        }
    }
}
