//! [`Ledger`]: what one instance counted since its start.

use std::{collections::BTreeMap, sync::Arc};

use caraway_records::Objective;
use caraway_types::{Incarnation, InstanceId, Offset};
use serde::{Deserialize, Serialize};

use crate::{
    BurnRecord, ObjectiveName, Sample, Series, UnixSeconds, judge, series::LOG_WIDTH_SECONDS,
};

/// Most objectives that an instance counts.
const OBJECTIVE_LIMIT: usize = 256;
/// Schema of [`Snapshot`].
pub(crate) const SNAPSHOT_SCHEMA: u32 = 1;

/// What one instance counted since its start.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    series: BTreeMap<ObjectiveName, Series>,
    logged: UnixSeconds,
}

/// A ledger as an instance gives it to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// Schema of this message.
    pub schema: u32,
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its clock.
    pub now: UnixSeconds,
    /// Offset after the last record in force there.
    pub offset: Offset,
    /// The objectives in force there.
    pub objectives: BTreeMap<ObjectiveName, Objective>,
    /// Its counts by objective.
    pub series: BTreeMap<ObjectiveName, Series>,
}

impl Ledger {
    /// Counts a sample for every objective that it falls under.
    pub fn add<'a>(
        &mut self,
        now: UnixSeconds,
        objectives: impl Iterator<Item = (&'a ObjectiveName, &'a Objective)>,
        sample: &Sample,
    ) {
        for (name, objective) in objectives.take(OBJECTIVE_LIMIT) {
            if let Some(good) = judge(objective, sample) {
                let series = self.series.entry(Arc::clone(name)).or_default();
                series.add(now, good);
            }
        }
    }

    /// Returns what a report needs, without the objectives.
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

    /// Takes the record of the last closed bucket, once; `None` without counts.
    ///
    /// At the end of an instance, `last` closes the current bucket too.
    pub fn take_record(
        &mut self,
        now: UnixSeconds,
        instance: &InstanceId,
        incarnation: Incarnation,
        last: bool,
    ) -> Option<BurnRecord> {
        let current = now / LOG_WIDTH_SECONDS * LOG_WIDTH_SECONDS;
        let start = if last {
            current
        } else {
            current.checked_sub(LOG_WIDTH_SECONDS)?
        };
        if start <= self.logged {
            return None;
        }
        self.logged = start;
        let counts = self
            .series
            .iter()
            .map(|(name, s)| (Arc::clone(name), s.bucket(start)));
        let counts: BTreeMap<_, _> = counts.filter(|(_, c)| c.total() > 0).collect();
        (!counts.is_empty()).then(|| BurnRecord::new(instance, incarnation, start, counts))
    }
}
