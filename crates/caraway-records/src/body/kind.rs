//! [`Kind`] of a record.

use std::str::FromStr;

use caraway_types::{AdapterRef, Findings};

/// Says what a record governs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Which version of an adapter is served; the key is the adapter.
    Adapter,
    /// A version of an adapter; the key is `adapter@version`.
    AdapterVersion,
    /// The routing configuration; the key is `default`.
    Routing,
    /// A client account; the key is its id.
    Account,
    /// A service-level objective; the key is its name.
    Objective,
    /// A plain service; the key is its name.
    Service,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Adapter,
        Self::AdapterVersion,
        Self::Routing,
        Self::Account,
        Self::Objective,
        Self::Service,
    ];

    /// Returns the name used in records.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Adapter => "adapter",
            Self::AdapterVersion => "adapter_version",
            Self::Routing => "routing",
            Self::Account => "account",
            Self::Objective => "objective",
            Self::Service => "service",
        }
    }

    /// Returns the newest schema that this program reads.
    #[must_use]
    pub fn schema(self) -> u32 {
        match self {
            Self::Adapter => 2,
            _ => 1,
        }
    }

    /// Reports a key that does not fit the kind.
    pub(crate) fn check_key(self, key: &str, found: &mut Findings) {
        let (fits, expected) = match self {
            Self::AdapterVersion => (key.parse::<AdapterRef>().is_ok(), "adapter@version"),
            Self::Routing => (key == "default", "default"),
            _ => (AdapterRef::is_valid_name(key), "a name"),
        };
        if !fits {
            found.add("/key", format!("expected {expected}"));
        }
    }
}

impl FromStr for Kind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|k| k.name() == text)
            .ok_or("expected adapter, adapter_version, routing, account, objective or service")
    }
}
