//! [`Permission`] on a replica and [`Presence`] of a member.

use serde::{Deserialize, Serialize};

/// What an instance may currently do on a replica; each level includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permission {
    /// It may neither start requests nor send orders.
    None,
    /// It may use resident loads and load adapters into free slots, but not evict.
    #[serde(rename = "fill")]
    LoadOnly,
    /// It may serve, load and evict.
    Full,
}

/// State of an instance or endpoint as known to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Reachable, or named by the platform's list.
    Live,
    /// Not reachable in time, but not dropped by the list either.
    Suspected,
    /// Finishes its work and accepts no new work.
    Leaving,
    /// Dropped by the list and unreachable, or ended by its own report.
    Gone,
}
