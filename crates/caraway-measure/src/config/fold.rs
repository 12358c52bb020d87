//! Time and memory of the fold and of a snapshot.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use caraway_records::{Assembly, Snapshot, State};
use serde::Serialize;

use crate::{cpu, deployment::records};

/// Copies that are timed.
const COPIES: u32 = 20;

/// Figures at one number of adapters, each with one version.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    adapters: u32,
    records: usize,
    fold_us_per_record: f64,
    copy_ms: f64,
    snapshot_ms: f64,
    snapshot_bytes: usize,
    snapshot_chunks: usize,
    restore_ms: f64,
    memory_bytes: u64,
}

/// A state whose fold was measured.
struct Folded {
    adapters: u32,
    records: usize,
    state: State,
    time: Duration,
    memory: u64,
}

/// Measures at each number of adapters.
///
/// Folds all of them first and keeps the states, as freed memory would spoil the next figure.
pub(crate) fn measure(adapters: &[u32]) -> Result<Vec<Figures>> {
    let folded: Vec<Folded> = adapters.iter().map(|n| fold(*n)).collect::<Result<_>>()?;
    folded.iter().map(figures).collect()
}

/// Folds the records of a number of adapters.
fn fold(adapters: u32) -> Result<Folded> {
    let records = records(usize::try_from(adapters)?);
    let before = cpu::resident_bytes();
    let start = Instant::now();
    let mut state = State::default();
    for (offset, record) in (0..).zip(&records) {
        let outcome = state.apply(offset, record);
        ensure!(outcome.is_accepted(), "a record is refused");
    }
    Ok(Folded {
        adapters,
        records: records.len(),
        state,
        time: start.elapsed(),
        memory: cpu::resident_bytes().saturating_sub(before),
    })
}

/// Copies a state, takes a snapshot of it and restores that.
fn figures(folded: &Folded) -> Result<Figures> {
    let state = &folded.state;
    let start = Instant::now();
    for _ in 0..COPIES {
        std::hint::black_box(state.clone());
    }
    let copy = start.elapsed() / COPIES;
    let start = Instant::now();
    let snapshot = Snapshot::of(state);
    let snap = start.elapsed();
    let start = Instant::now();
    let restored = Assembly::restore_all(&snapshot.chunks, None);
    let restored = restored.context("a snapshot is refused")?;
    let restore = start.elapsed();
    ensure!(restored == *state, "the snapshot gives another state");
    let count = u32::try_from(folded.records)?;
    Ok(Figures {
        adapters: folded.adapters,
        records: folded.records,
        fold_us_per_record: ms(folded.time) * 1e3 / f64::from(count),
        copy_ms: ms(copy),
        snapshot_ms: ms(snap),
        snapshot_bytes: snapshot.chunks.iter().map(|c| c.len()).sum(),
        snapshot_chunks: snapshot.chunks.len(),
        restore_ms: ms(restore),
        memory_bytes: folded.memory,
    })
}

impl Figures {
    /// Prints a line.
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

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
