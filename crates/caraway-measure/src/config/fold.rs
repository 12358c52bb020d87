//! Time and memory of the fold, which applies records to a state, and of snapshots of that state.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use caraway_records::{Snapshot, SnapshotAssembly, State};
use serde::Serialize;

use crate::{deployment::config_records, process};

/// Number of copies whose mean time is reported.
const COPIES: u32 = 20;

/// Figures for one number of adapters, each with one version.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    adapters: u32,
    /// Records of these adapters, with the account and service.
    records: usize,
    /// Microseconds to apply a record.
    fold_us_per_record: f64,
    /// Milliseconds to copy the state.
    copy_ms: f64,
    snapshot_ms: f64,
    snapshot_bytes: usize,
    snapshot_chunks: usize,
    restore_ms: f64,
    /// Growth of resident memory during the fold.
    memory_bytes: u64,
}

/// A state with the cost of its fold.
struct Folded {
    adapters: u32,
    records: usize,
    state: State,
    elapsed: Duration,
    memory_bytes: u64,
}

/// Measures the fold and a snapshot for each number of adapters.
///
/// Folds all states first and keeps them: reuse of freed memory would hide the next state's memory.
pub(crate) fn measure(adapters: &[u32]) -> Result<Vec<Figures>> {
    let folded: Vec<Folded> = adapters.iter().map(|n| fold(*n)).collect::<Result<_>>()?;
    folded.iter().map(measure_snapshot).collect()
}

/// Measures the fold of the records of `adapters` adapters.
///
/// # Errors
///
/// Returns an error when a record isn't accepted.
fn fold(adapters: u32) -> Result<Folded> {
    let records = config_records(usize::try_from(adapters)?);
    let memory_before = process::resident_bytes();
    let start = Instant::now();
    let mut state = State::default();
    for (offset, record) in (0..).zip(&records) {
        let outcome = state.apply(offset, record);
        ensure!(
            outcome.is_accepted(),
            "the record at offset {offset} was not accepted"
        );
    }
    Ok(Folded {
        adapters,
        records: records.len(),
        state,
        elapsed: start.elapsed(),
        memory_bytes: process::resident_bytes().saturating_sub(memory_before),
    })
}

/// Measures a copy, a snapshot and a restore of a folded state.
///
/// # Errors
///
/// Returns an error when the restored state isn't equal to the original.
fn measure_snapshot(folded: &Folded) -> Result<Figures> {
    let state = &folded.state;
    let start = Instant::now();
    for _ in 0..COPIES {
        std::hint::black_box(state.clone());
    }
    let copy_time = start.elapsed() / COPIES;
    let start = Instant::now();
    let snapshot = Snapshot::of(state);
    let snapshot_time = start.elapsed();
    let start = Instant::now();
    let restored = SnapshotAssembly::restore_all(&snapshot.chunks, None);
    let restored = restored.context("the snapshot can't be restored")?;
    let restore_time = start.elapsed();
    ensure!(
        restored == *state,
        "the restored state differs from the original"
    );
    let count = u32::try_from(folded.records)?;
    Ok(Figures {
        adapters: folded.adapters,
        records: folded.records,
        fold_us_per_record: ms(folded.elapsed) * 1e3 / f64::from(count),
        copy_ms: ms(copy_time),
        snapshot_ms: ms(snapshot_time),
        snapshot_bytes: snapshot.chunks.iter().map(|c| c.len()).sum(),
        snapshot_chunks: snapshot.chunks.len(),
        restore_ms: ms(restore_time),
        memory_bytes: folded.memory_bytes,
    })
}

impl Figures {
    /// Prints the figures as a row of the table.
    pub(crate) fn print(&self) {
        println!(
            "{:>8}  {:>7}  {:>14.1}  {:>7.1}  {:>11.1}  {}  {}  {:.1}  {}",
            self.adapters,
            self.records,
            self.fold_us_per_record,
            self.copy_ms,
            self.snapshot_ms,
            self.snapshot_bytes,
            self.snapshot_chunks,
            self.restore_ms,
            self.memory_bytes,
        );
    }
}

fn ms(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1e3
}
