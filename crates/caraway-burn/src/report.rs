//! [`Report`]: burn rates, alarms and remaining budgets over all instances.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use caraway_records::Objective;
use caraway_types::{Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};

use crate::{
    ALARM_RULES, Alarm, BurnRecord, Counts, ObjectiveName, Series, Snapshot, UnixSeconds,
    instance_counts::SNAPSHOT_SCHEMA,
};

/// Length of the longest window that is counted, in seconds.
const LONGEST_WINDOW_SECONDS: u64 = 3 * 24 * 3600;
/// Difference between an instance's clock and the report's above which a note is added, in
/// seconds.
const MAX_CLOCK_SKEW_SECONDS: u64 = 30;

/// The data from which a report is made.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Snapshots of the instances that answered; the one with the largest configuration
    /// offset gives the objectives.
    pub snapshots: Vec<Snapshot>,
    /// Instances that did not answer, with the reason for each.
    pub unreachable: BTreeMap<InstanceId, Arc<str>>,
    /// Records of the log, in log order.
    pub records: Vec<Arc<str>>,
    /// The error if the log could not be read.
    pub log_error: Option<Arc<str>>,
}

/// Burn rates, alarms and remaining budgets of all objectives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Time at which the report was made.
    pub now: UnixSeconds,
    /// One row per objective, ordered by name.
    pub rows: Vec<Row>,
    /// Problems with the sources.
    pub notes: Vec<Note>,
}

/// The state of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the objective.
    pub name: ObjectiveName,
    /// The objective.
    pub objective: Objective,
    /// Burn rates by window, the shortest window first.
    pub windows: Vec<WindowRate>,
    /// The most urgent alarm that is raised, if any.
    pub alarm: Option<Alarm>,
    /// Remaining share of the error budget, negative if overspent; `None` without requests.
    ///
    /// The budget's period is the objective's, limited to the longest window that is counted.
    pub budget_left: Option<f64>,
    /// Time until the budget is spent at the rate of the last hour, in milliseconds; `None` if
    /// that rate is zero or unknown.
    #[serde(rename = "spent_in")]
    pub exhausted_in: Option<Millis>,
    /// Counts of each minute of the last hour, oldest first.
    pub last_hour: Vec<Counts>,
}

/// Counts and burn rate of one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowRate {
    /// Length of the window, in seconds.
    pub seconds: u64,
    /// Requests that ended in the window.
    pub counts: Counts,
    /// Burn rate, or `None` if the window has no requests.
    pub rate: Option<f64>,
}

/// A problem with a source of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The source: an instance's id, `log` or `record` with its index.
    #[serde(rename = "place")]
    pub source: Arc<str>,
    /// Description of the problem.
    pub problem: Arc<str>,
}

impl Report {
    /// Merges the sources.
    ///
    /// An instance that answered is counted from its snapshot, and its earlier incarnations from
    /// their records; one that did not answer is counted from its records only.
    #[must_use]
    pub fn new(now: UnixSeconds, sources: &Sources) -> Self {
        let mut notes = Vec::new();
        let series = merge_sources(now, sources, &mut notes);
        let empty = Series::default();
        let newest = sources
            .snapshots
            .iter()
            .filter(|s| s.schema == SNAPSHOT_SCHEMA);
        let newest = newest.max_by_key(|s| s.offset);
        let objectives = newest.map(|s| &s.objectives).into_iter().flatten();
        let row = |(name, objective): (&ObjectiveName, &Objective)| {
            let series = series.get(name).unwrap_or(&empty);
            Row::new(now, Arc::clone(name), objective.clone(), series)
        };
        let rows = objectives.map(row).collect();
        Self { now, rows, notes }
    }
}

impl Row {
    fn new(now: UnixSeconds, name: ObjectiveName, objective: Objective, series: &Series) -> Self {
        let rate = |seconds: u64| series.window(now, seconds).burn_rate(objective.target);
        let windows = window_lengths().into_iter().map(|seconds| WindowRate {
            seconds,
            counts: series.window(now, seconds),
            rate: rate(seconds),
        });
        let windows = windows.collect();
        let exceeds = |seconds, threshold: f64| rate(seconds).is_some_and(|r| r > threshold);
        let rule = ALARM_RULES
            .iter()
            .find(|a| exceeds(a.short_seconds, a.rate) && exceeds(a.long_seconds, a.rate));
        let period = budget_period(&objective);
        let budget_left = rate(period).map(|r| 1.0 - r);
        let exhausted_in = time_to_exhaustion(period, budget_left, rate(3600));
        Self {
            name,
            objective,
            windows,
            alarm: rule.map(|r| r.alarm),
            budget_left,
            exhausted_in,
            last_hour: series.last_hour(now),
        }
    }
}

/// Returns the lengths of all windows of the rules in seconds, the shortest first.
fn window_lengths() -> BTreeSet<u64> {
    ALARM_RULES
        .iter()
        .flat_map(|a| [a.short_seconds, a.long_seconds])
        .collect()
}

/// Returns the budget's period in seconds: the objective's, limited to the longest window.
fn budget_period(objective: &Objective) -> u64 {
    let period = objective.window_ms.get().as_secs();
    if period == 0 {
        LONGEST_WINDOW_SECONDS
    } else {
        period.min(LONGEST_WINDOW_SECONDS)
    }
}

/// Returns the time until the remaining budget is spent: `period * left / rate`.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the result is a span of time that saturates"
)]
fn time_to_exhaustion(period: u64, left: Option<f64>, rate: Option<f64>) -> Option<Millis> {
    let (left, rate) = (left?.max(0.0), rate?);
    if rate <= 0.0 {
        return None;
    }
    let seconds = period as f64 * left / rate;
    Some(Millis::new((seconds * 1000.0) as u64))
}

fn merge_sources(
    now: UnixSeconds,
    sources: &Sources,
    notes: &mut Vec<Note>,
) -> BTreeMap<ObjectiveName, Series> {
    let mut merged: BTreeMap<ObjectiveName, Series> = BTreeMap::new();
    let mut answered: BTreeSet<(InstanceId, Incarnation)> = BTreeSet::new();
    for snapshot in &sources.snapshots {
        if snapshot.schema != SNAPSHOT_SCHEMA {
            let problem = format!("schema {} is not known; left out", snapshot.schema);
            add_note(notes, &snapshot.instance, problem);
            continue;
        }
        let skew = snapshot.now.abs_diff(now);
        if skew > MAX_CLOCK_SKEW_SECONDS {
            add_note(
                notes,
                &snapshot.instance,
                format!("its clock differs by {skew} s"),
            );
        }
        answered.insert((Arc::clone(&snapshot.instance), snapshot.incarnation));
        for (name, series) in &snapshot.series {
            merged.entry(Arc::clone(name)).or_default().merge(series);
        }
    }
    for (instance, reason) in &sources.unreachable {
        let problem = format!("no answer ({reason}); counted up to its last record");
        add_note(notes, instance, problem);
    }
    merge_records(sources, &answered, &mut merged, notes);
    merged
}

fn merge_records(
    sources: &Sources,
    answered: &BTreeSet<(InstanceId, Incarnation)>,
    merged: &mut BTreeMap<ObjectiveName, Series>,
    notes: &mut Vec<Note>,
) {
    if let Some(error) = &sources.log_error {
        let problem = format!("not read ({error}); instances that ended are missing");
        add_note(notes, &"log".into(), problem);
    }
    let mut counted = BTreeSet::new();
    for (i, text) in sources.records.iter().enumerate() {
        let record = match BurnRecord::parse(text) {
            Ok(record) => record,
            Err(problem) => {
                add_note(notes, &format!("record {i}").into(), problem);
                continue;
            }
        };
        let writer = (Arc::clone(&record.instance), record.incarnation);
        if answered.contains(&writer) || !counted.insert((writer, record.start)) {
            continue;
        }
        for (name, counts) in record.counts {
            merged
                .entry(name)
                .or_default()
                .add_bucket(record.start, counts);
        }
    }
}

fn add_note(notes: &mut Vec<Note>, place: &Arc<str>, problem: impl Into<Arc<str>>) {
    notes.push(Note {
        source: Arc::clone(place),
        problem: problem.into(),
    });
}
