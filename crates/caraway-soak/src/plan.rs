//! [`Plan`]: what is run.

use std::{path::PathBuf, time::Duration};

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The gateway's program.
    pub program: PathBuf,
    /// Fixes the faults and the callers' choices.
    pub seed: u64,
    /// Time in which faults begin.
    pub span: Duration,
    /// Availability zones.
    pub zones: usize,
    /// Instances of each zone.
    pub instances: usize,
    /// Engine endpoints of each zone.
    pub engines: usize,
    /// Callers of each instance.
    pub callers: usize,
    /// Mean time between faults.
    pub pause: Duration,
    /// Time after the last fault in which each instance serves everything again.
    pub recovery: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            program: "caraway-gateway".into(),
            seed: 1,
            span: Duration::from_secs(8),
            // Enough for holders of their own, and for a lost one beside another.
            zones: 2,
            instances: 2,
            engines: 2,
            callers: 3,
            // Faults last 0.2 to 2 s, so that some three overlap.
            pause: Duration::from_millis(350),
            // The deployments' bound of recovery.
            recovery: Duration::from_secs(12),
        }
    }
}
