//! [`InstanceCounts`]: the counts of one instance since its start.

use std::{collections::BTreeMap, sync::Arc};

use caraway_records::Objective;
use caraway_types::{Incarnation, InstanceId, Offset};
use serde::{Deserialize, Serialize};

use crate::{
    BurnRecord, ObjectiveName, Sample, Series, UnixSeconds, meets_objective,
    series::LOG_BUCKET_SECONDS,
};

/// Maximum number of objectives that an instance counts requests for.
const MAX_OBJECTIVES: usize = 256;
/// Schema version of [`Snapshot`].
pub(crate) const SNAPSHOT_SCHEMA: u32 = 1;

/// The counts of one instance since its start, by objective.
#[derive(Clone, Debug, Default)]
pub struct InstanceCounts {
    series: BTreeMap<ObjectiveName, Series>,
    /// Start of the bucket of the latest record that was taken.
    last_bucket: UnixSeconds,
}

/// A copy of the counts of an instance, which an instance sends to the maker of a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// Schema version of this message.
    pub schema: u32,
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Time of the instance's clock.
    pub now: UnixSeconds,
    /// Offset of the next configuration record that the instance will apply.
    pub offset: Offset,
    /// The objectives in force on the instance.
    pub objectives: BTreeMap<ObjectiveName, Objective>,
    /// The counts by objective.
    pub series: BTreeMap<ObjectiveName, Series>,
}

impl InstanceCounts {
    /// Counts a sample for every objective that applies to it.
    pub fn add<'a>(
        &mut self,
        now: UnixSeconds,
        objectives: impl Iterator<Item = (&'a ObjectiveName, &'a Objective)>,
        sample: &Sample,
    ) {
        for (name, objective) in objectives.take(MAX_OBJECTIVES) {
            if let Some(good) = meets_objective(objective, sample) {
                let series = self.series.entry(Arc::clone(name)).or_default();
                series.add(now, good);
            }
        }
    }

    /// Returns a copy for a report; the caller sets `offset` and `objectives`.
    #[must_use]
    pub fn snapshot(
        &self,
        now: UnixSeconds,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> Snapshot {
        Snapshot {
            schema: SNAPSHOT_SCHEMA,
            instance: Arc::clone(instance),
            incarnation,
            now,
            series: self.series.clone(),
            ..Snapshot::default()
        }
    }

    /// Returns the record of the latest closed bucket, or `None` if it is empty or was returned
    /// before.
    ///
    /// With `is_stopping`, the current bucket counts as closed.
    pub fn take_record(
        &mut self,
        now: UnixSeconds,
        instance: &InstanceId,
        incarnation: Incarnation,
        is_stopping: bool,
    ) -> Option<BurnRecord> {
        let current = now / LOG_BUCKET_SECONDS * LOG_BUCKET_SECONDS;
        let start = if is_stopping {
            current
        } else {
            current.checked_sub(LOG_BUCKET_SECONDS)?
        };
        if start <= self.last_bucket {
            return None;
        }
        self.last_bucket = start;
        let counts = self
            .series
            .iter()
            .map(|(name, s)| (Arc::clone(name), s.bucket(start)));
        let counts: BTreeMap<_, _> = counts.filter(|(_, c)| c.total() > 0).collect();
        (!counts.is_empty()).then(|| BurnRecord::new(instance, incarnation, start, counts))
    }
}
