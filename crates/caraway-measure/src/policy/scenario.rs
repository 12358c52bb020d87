//! [`Scenario`] and [`Plan`]: the sizes, arrivals and faults of one run.

use std::str::FromStr;

use anyhow::{bail, ensure};

use crate::flags::Policy;

/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Microseconds in a millisecond.
pub(crate) const MILLI: u64 = 1_000;
/// Simulated seconds unless the command line says otherwise.
const DEFAULT_SECONDS: u64 = 1200;

/// Whose sizes the run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Weighs load stalls more.
    Cooperative,
    /// Weighs batch efficiency more.
    Rodopa,
}

/// What happens during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Popularity stays.
    Steady,
    /// Popularity is drawn anew every five minutes.
    Shift,
    /// One engine after another restarts empty.
    Restart,
    /// Transfers take eight times as long for a third of the run.
    StoreSlow,
    /// Loads fail, and some answers are lost, for a sixth of the run.
    StoreDown,
    /// One zone is cut off from the others for a third of the run.
    ZoneCut,
    /// One client account sends many times its share for a third of the run.
    Flood,
}

/// Everything that one run is made from.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) deployment: Deployment,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    /// Adapter slots of a replica.
    pub(crate) slots: u32,
    /// Arrivals per second.
    pub(crate) rate: f64,
    /// Simulated seconds of arrivals.
    pub(crate) seconds: u64,
    pub(crate) adapters: usize,
    pub(crate) replicas: usize,
    /// Loads per second that the store allows.
    pub(crate) store_rate: f64,
    pub(crate) max_batch: u32,
    /// One way between zones, in microseconds.
    pub(crate) zone_delay: u64,
    /// One way to callers, in microseconds.
    pub(crate) caller_delay: u64,
    /// Weight of load stalls in the routing configuration.
    pub(crate) stall_weight: f64,
    /// Weight of batch efficiency in the routing configuration.
    pub(crate) batch_weight: f64,
}

impl Plan {
    /// Reads the plan from the command line.
    pub(crate) fn new(args: &Policy) -> anyhow::Result<Self> {
        let deployment: Deployment = args
            .deployment
            .as_deref()
            .unwrap_or("cooperative")
            .parse()?;
        let scenario: Scenario = args.scenario.as_deref().unwrap_or("steady").parse()?;
        let slots = args.slots.unwrap_or(4);
        ensure!((1..=64).contains(&slots), "--slots: expected 1 to 64");
        let rate = args.rate.unwrap_or(deployment.default_rate(slots));
        ensure!(
            rate > 0.0 && rate <= 1000.0,
            "--rate: expected above 0, at most 1000"
        );
        let cooperative = deployment == Deployment::Cooperative;
        Ok(Self {
            deployment,
            scenario,
            seed: args.seed.unwrap_or(1),
            slots,
            rate,
            seconds: args.seconds.unwrap_or(DEFAULT_SECONDS),
            adapters: 3000,
            replicas: 9,
            store_rate: if cooperative { 3.0 } else { 2.6 },
            max_batch: 8,
            zone_delay: 1500,
            caller_delay: if cooperative { MILLI } else { 3 * MILLI },
            stall_weight: if cooperative { 1.0 } else { 0.3 },
            batch_weight: if cooperative { 0.03 } else { 1.0 },
        })
    }

    /// Returns a point of the run, in microseconds, as a share of its length.
    pub(crate) fn point(&self, numerator: u64, denominator: u64) -> u64 {
        self.seconds * SECOND * numerator / denominator
    }

    /// Figures count from here on, so that empty engines at the start don't.
    pub(crate) fn warm_up(&self) -> u64 {
        self.point(1, 8)
    }

    /// Zone of a replica or an instance by its index.
    pub(crate) fn zone(index: usize) -> usize {
        index % 3
    }
}

impl Deployment {
    /// Arrivals that keep the store at least 85% busy under the better baseline.
    fn default_rate(self, slots: u32) -> f64 {
        match (self, slots) {
            (Self::Cooperative, ..=5) | (Self::Rodopa, 6..) => 4.0,
            (Self::Cooperative, _) => 4.5,
            (Self::Rodopa, _) => 3.5,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Cooperative => "cooperative",
            Self::Rodopa => "rodopa",
        }
    }
}

impl FromStr for Deployment {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "cooperative" => Self::Cooperative,
            "rodopa" => Self::Rodopa,
            _ => bail!("--deployment: expected cooperative or rodopa, got {text}"),
        })
    }
}

impl Scenario {
    const ALL: [Self; 7] = [
        Self::Steady,
        Self::Shift,
        Self::Restart,
        Self::StoreSlow,
        Self::StoreDown,
        Self::ZoneCut,
        Self::Flood,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::Restart => "restart",
            Self::StoreSlow => "store-slow",
            Self::StoreDown => "store-down",
            Self::ZoneCut => "zone-cut",
            Self::Flood => "flood",
        }
    }
}

impl FromStr for Scenario {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some(found) = Self::ALL.into_iter().find(|s| s.name() == text) else {
            let names: Vec<&str> = Self::ALL.iter().map(|s| s.name()).collect();
            bail!(
                "--scenario: expected one of {}, got {text}",
                names.join(", ")
            );
        };
        Ok(found)
    }
}
