//! [`Plan`]: the parameters of one run, with its [`Profile`] and [`Scenario`].

use std::str::FromStr;

use anyhow::{bail, ensure};

use crate::flags::Policy;

/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Microseconds in a millisecond.
pub(crate) const MILLISECOND: u64 = 1_000;
/// Simulated seconds, unless `--seconds` sets another number.
const DEFAULT_SECONDS: u64 = 1200;

/// The deployment whose sizes, request mix and routing weights the run uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Profile {
    /// Gives load stalls more weight than batch efficiency.
    Cooperative,
    /// Gives batch efficiency more weight than load stalls.
    Rodopa,
}

/// What changes or fails during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Nothing: the adapters' popularity stays the same.
    Steady,
    /// The adapters' popularity is redrawn every five minutes.
    Shift,
    /// One engine after another restarts without loads.
    Restart,
    /// Transfers take eight times as long for a third of the run.
    StoreSlow,
    /// Loads fail, or their results are lost, for a sixth of the run.
    StoreDown,
    /// One zone is cut off from the others for a third of the run.
    ZoneCut,
    /// One client account sends many times its usual number of requests for a third of the run.
    Flood,
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Set by `--deployment`.
    pub(crate) profile: Profile,
    pub(crate) scenario: Scenario,
    /// Seed of the arrivals and of random faults.
    pub(crate) seed: u64,
    /// Adapter slots of a replica.
    pub(crate) slots: u32,
    /// Arrivals per second.
    pub(crate) rate: f64,
    /// Simulated seconds of arrivals.
    pub(crate) seconds: u64,
    /// Number of adapters.
    pub(crate) adapters: usize,
    /// Number of engines.
    pub(crate) replicas: usize,
    /// Loads per second that the store allows.
    pub(crate) store_rate: f64,
    /// Largest batch of a replica, in requests.
    pub(crate) max_batch: u32,
    /// One-way delay between zones, in microseconds.
    pub(crate) zone_delay_us: u64,
    /// One-way delay between callers and instances, in microseconds.
    pub(crate) caller_delay_us: u64,
    /// Weight of load stalls in the routing configuration.
    pub(crate) stall_weight: f64,
    /// Weight of batch efficiency in the routing configuration.
    pub(crate) batch_weight: f64,
}

impl Plan {
    /// Builds the parameters from the command line.
    ///
    /// # Errors
    ///
    /// Returns an error when the value of a flag is unknown or out of range.
    pub(crate) fn new(args: &Policy) -> anyhow::Result<Self> {
        let profile: Profile = args
            .deployment
            .as_deref()
            .unwrap_or("cooperative")
            .parse()?;
        let scenario: Scenario = args.scenario.as_deref().unwrap_or("steady").parse()?;
        let slots = args.slots.unwrap_or(4);
        ensure!((1..=64).contains(&slots), "--slots: expected 1 to 64");
        let rate = args.rate.unwrap_or(profile.default_rate(slots));
        ensure!(
            rate > 0.0 && rate <= 1000.0,
            "--rate: expected above 0, at most 1000"
        );
        let is_cooperative = profile == Profile::Cooperative;
        Ok(Self {
            profile,
            scenario,
            seed: args.seed.unwrap_or(1),
            slots,
            rate,
            seconds: args.seconds.unwrap_or(DEFAULT_SECONDS),
            adapters: 3000,
            replicas: 9,
            store_rate: if is_cooperative { 3.0 } else { 2.6 },
            max_batch: 8,
            zone_delay_us: 1500,
            caller_delay_us: if is_cooperative {
                MILLISECOND
            } else {
                3 * MILLISECOND
            },
            stall_weight: if is_cooperative { 1.0 } else { 0.3 },
            batch_weight: if is_cooperative { 0.03 } else { 1.0 },
        })
    }

    /// Returns the time in microseconds at which `numerator / denominator` of the run has passed.
    pub(crate) fn fraction(&self, numerator: u64, denominator: u64) -> u64 {
        self.seconds * SECOND * numerator / denominator
    }

    /// Returns the time in microseconds from which on figures count, so that the loads into empty
    /// engines at the start don't.
    pub(crate) fn warm_up_end(&self) -> u64 {
        self.fraction(1, 8)
    }

    /// Returns the zone of the replica or instance with an index.
    pub(crate) fn zone_of(index: usize) -> usize {
        index % 3
    }
}

impl Profile {
    /// Returns the arrivals per second that keep the store at least 85% busy under the better
    /// baseline.
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

impl FromStr for Profile {
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
