//! [`Right`] and [`Presence`].

use serde::{Deserialize, Serialize};

/// What an instance may do on a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permission {
    /// Nothing: it starts no request and gives no order.
    None,
    /// It serves resident loads and fills free slots, but evicts nothing.
    Fill,
    /// It serves, loads and evicts.
    Full,
}

/// State of an instance or endpoint as seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Heard or listed.
    Live,
    /// Neither heard in time nor dropped by the list.
    Suspected,
    /// Finishes its work and takes none.
    Leaving,
    /// Dropped by the list and not heard.
    Gone,
}
