//! Processor time and memory of this process, from the system's process table.

use std::{fs, time::Duration};

/// Clock ticks in a second, as the process table counts.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of the stat line after the command name up to the user time.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Returns the processor time that this process used.
pub(crate) fn process_time() -> Duration {
    stat_time("/proc/self/stat").unwrap_or_default()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn stat_time(path: &str) -> Option<Duration> {
    let stat = fs::read_to_string(path).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<f64>().ok();
    let total = ticks(FIELDS_BEFORE_UTIME)? + ticks(FIELDS_BEFORE_UTIME + 1)?;
    Some(Duration::from_secs_f64(total / TICKS_PER_SECOND))
}
