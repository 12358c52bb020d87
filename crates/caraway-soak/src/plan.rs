//! [`Plan`]: the parameters of a run.

use std::{path::PathBuf, time::Duration};

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Executable of the gateway.
    pub program: PathBuf,
    /// Executable of another build, which half of the instances of each zone run at the start; instances
    /// are replaced by ones of the other build and back.
    pub former: Option<PathBuf>,
    /// Whether the store never returns from an older copy, which builds before 0.2 may not know of.
    pub keeps_store: bool,
    /// Whether requests need keys of client accounts, which builds before the accounts do not check.
    pub has_accounts: bool,
    /// Seed of the faults and of the requests that callers choose.
    pub seed: u64,
    /// Period in which faults start.
    pub fault_period: Duration,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of gateway instances in each zone.
    pub instances: usize,
    /// Number of engines in each zone.
    pub engines: usize,
    /// Number of callers of each instance.
    pub callers: usize,
    /// Mean time between the starts of faults; series of the same fault come on top.
    pub fault_interval: Duration,
    /// Time after the end of all faults within which each instance must have the newest
    /// configuration and serve every kind of request.
    pub recovery: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            program: "caraway-gateway".into(),
            former: None,
            keeps_store: false,
            has_accounts: true,
            seed: 1,
            fault_period: Duration::from_secs(8),
            // With two zones of two instances, each zone has a holder of its own, and one can fail
            // while another instance is left.
            zones: 2,
            instances: 2,
            engines: 2,
            callers: 3,
            // Faults last 0.2 to 2 s, so about three overlap.
            fault_interval: Duration::from_millis(350),
            // The recovery time that the deployments require.
            recovery: Duration::from_secs(12),
        }
    }
}
