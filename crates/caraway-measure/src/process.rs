//! CPU time and memory of this process, from `/proc/self`.

use std::{fs, time::Duration};

/// Unit of the CPU times in `/proc/self/stat` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of the stat line after the command name.
const UTIME_INDEX: usize = 11;

/// Returns the CPU time, in user and system mode, that this process has used.
pub(crate) fn cpu_time() -> Duration {
    read_cpu_time("/proc/self/stat").unwrap_or_default()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn read_cpu_time(path: &str) -> Option<Duration> {
    let stat = fs::read_to_string(path).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<f64>().ok();
    let total = ticks(UTIME_INDEX)? + ticks(UTIME_INDEX + 1)?;
    Some(Duration::from_secs_f64(total / TICKS_PER_SECOND))
}
