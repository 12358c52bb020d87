//! [`Report`]: burn rates, alarms and budgets over all instances.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use caraway_records::Objective;
use caraway_types::{Incarnation, InstanceId, Millis};
use serde::{Deserialize, Serialize};

use crate::{
    ALARMS, Alarm, BurnRecord, Counts, ObjectiveName, Series, Snapshot, UnixSeconds,
    ledger::SNAPSHOT_SCHEMA,
};

/// Longest window that is counted, in seconds.
const LONGEST_SECONDS: u64 = 3 * 24 * 3600;
/// Clocks that differ by more from the report's are noted, in seconds.
const CLOCK_SLACK_SECONDS: u64 = 30;

/// Everything that a report is made from.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Instances that answered; the objectives are those of the largest offset.
    pub snapshots: Vec<Snapshot>,
    /// Instances that did not, each with the reason.
    pub silent: BTreeMap<InstanceId, Arc<str>>,
    /// Records of the log, in their order.
    pub records: Vec<Arc<str>>,
    /// Why the log could not be read, if it could not.
    pub log_error: Option<Arc<str>>,
}

/// The report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// When it was made.
    pub now: UnixSeconds,
    /// A row for each objective, by name.
    pub rows: Vec<Row>,
    /// What is missing or odd.
    pub notes: Vec<Note>,
}

/// One objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub name: ObjectiveName,
    /// The objective.
    pub objective: Objective,
    /// Burn rates, the shortest window first.
    pub windows: Vec<WindowRate>,
    /// The most urgent alarm, if any rule holds.
    pub alarm: Option<Alarm>,
    /// Share of the budget of the longest counted window that is left; below 0 when overspent.
    pub budget_left: Option<f64>,
    /// Time until the budget is spent at the rate of the last hour, if it burns.
    pub spent_in: Option<Millis>,
    /// What was counted in each minute of the last hour, the oldest first.
    pub last_hour: Vec<Counts>,
}

/// The burn over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowRate {
    /// Length of the window, in seconds.
    pub seconds: u64,
    /// What was counted.
    pub counts: Counts,
    /// The burn rate, or `None` for an empty window.
    pub rate: Option<f64>,
}

/// Something missing or odd.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The instance, the log or an offset.
    pub place: Arc<str>,
    /// What is wrong.
    pub problem: Arc<str>,
}

impl Report {
    /// Joins the sources.
    ///
    /// An instance that answers is counted from its answer, and from its records for the incarnations
    /// before; one that does not answer is counted from its records only.
    #[must_use]
    pub fn new(now: UnixSeconds, sources: &Sources) -> Self {
        let mut notes = Vec::new();
        let series = join(now, sources, &mut notes);
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
        let windows = windows().into_iter().map(|seconds| WindowRate {
            seconds,
            counts: series.window(now, seconds),
            rate: rate(seconds),
        });
        let windows = windows.collect();
        let fast = |seconds, limit: f64| rate(seconds).is_some_and(|r| r > limit);
        let rule = ALARMS
            .iter()
            .find(|a| fast(a.short, a.rate) && fast(a.long, a.rate));
        let period = period(&objective);
        let budget_left = rate(period).map(|r| 1.0 - r);
        let spent_in = spent_in(period, budget_left, rate(3600));
        Self {
            name,
            objective,
            windows,
            alarm: rule.map(|r| r.alarm),
            budget_left,
            spent_in,
            last_hour: series.last_hour(now),
        }
    }
}

/// Returns every window of the rules, the shortest first.
fn windows() -> BTreeSet<u64> {
    ALARMS.iter().flat_map(|a| [a.short, a.long]).collect()
}

/// Returns the budget's period: the objective's, as far as it is counted.
fn period(objective: &Objective) -> u64 {
    let period = objective.window_ms.get().as_secs();
    if period == 0 {
        LONGEST_SECONDS
    } else {
        period.min(LONGEST_SECONDS)
    }
}

/// Returns when the rest of the budget is spent: `period * left / rate`.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the result is a span of time that saturates"
)]
fn spent_in(period: u64, left: Option<f64>, rate: Option<f64>) -> Option<Millis> {
    let (left, rate) = (left?.max(0.0), rate?);
    if rate <= 0.0 {
        return None;
    }
    let seconds = period as f64 * left / rate;
    Some(Millis::new((seconds * 1000.0) as u64))
}

fn join(
    now: UnixSeconds,
    sources: &Sources,
    notes: &mut Vec<Note>,
) -> BTreeMap<ObjectiveName, Series> {
    let mut joined: BTreeMap<ObjectiveName, Series> = BTreeMap::new();
    let mut live: BTreeSet<(InstanceId, Incarnation)> = BTreeSet::new();
    for snapshot in &sources.snapshots {
        if snapshot.schema != SNAPSHOT_SCHEMA {
            let problem = format!("schema {} is not known; left out", snapshot.schema);
            note(notes, &snapshot.instance, problem);
            continue;
        }
        let skew = snapshot.now.abs_diff(now);
        if skew > CLOCK_SLACK_SECONDS {
            note(
                notes,
                &snapshot.instance,
                format!("its clock differs by {skew} s"),
            );
        }
        live.insert((Arc::clone(&snapshot.instance), snapshot.incarnation));
        for (name, series) in &snapshot.series {
            joined.entry(Arc::clone(name)).or_default().merge(series);
        }
    }
    for (instance, why) in &sources.silent {
        let problem = format!("no answer ({why}); counted up to its last record");
        note(notes, instance, problem);
    }
    join_records(sources, &live, &mut joined, notes);
    joined
}

fn join_records(
    sources: &Sources,
    live: &BTreeSet<(InstanceId, Incarnation)>,
    joined: &mut BTreeMap<ObjectiveName, Series>,
    notes: &mut Vec<Note>,
) {
    if let Some(error) = &sources.log_error {
        let problem = format!("not read ({error}); instances that ended are missing");
        note(notes, &"log".into(), problem);
    }
    let mut seen = BTreeSet::new();
    for (i, text) in sources.records.iter().enumerate() {
        let record = match BurnRecord::parse(text) {
            Ok(record) => record,
            Err(problem) => {
                note(notes, &format!("record {i}").into(), problem);
                continue;
            }
        };
        let writer = (Arc::clone(&record.instance), record.incarnation);
        if live.contains(&writer) || !seen.insert((writer, record.start)) {
            continue;
        }
        for (name, counts) in record.counts {
            joined
                .entry(name)
                .or_default()
                .add_bucket(record.start, counts);
        }
    }
}

fn note(notes: &mut Vec<Note>, place: &Arc<str>, problem: impl Into<Arc<str>>) {
    notes.push(Note {
        place: Arc::clone(place),
        problem: problem.into(),
    });
}
