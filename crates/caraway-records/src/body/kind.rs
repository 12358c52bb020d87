//! [`Kind`]: the type of object that a record configures.

use std::str::FromStr;

use caraway_types::{AdapterRef, Findings};

/// The type of object that a record configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The served version of an adapter; the key is the adapter's name.
    Adapter,
    /// A version of an adapter; the key is `adapter@version`.
    AdapterVersion,
    /// The routing configuration; the key is `default`.
    Routing,
    /// A client account; the key is its id.
    Account,
    /// A service-level objective; the key is its name.
    Objective,
    /// A service other than an engine; the key is its name.
    Service,
}

impl Kind {
    /// Every kind, in the order of the variants.
    pub const ALL: [Self; 6] = [
        Self::Adapter,
        Self::AdapterVersion,
        Self::Routing,
        Self::Account,
        Self::Objective,
        Self::Service,
    ];

    /// Returns the name that stands in the `kind` field of a record.
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

    /// Returns the newest schema version of the body that this program supports.
    #[must_use]
    pub fn schema(self) -> u32 {
        match self {
            Self::Adapter => 2,
            _ => 1,
        }
    }

    /// Adds a finding if the key is not valid for this kind.
    pub(crate) fn check_key(self, key: &str, findings: &mut Findings) {
        let (valid, expected) = match self {
            Self::AdapterVersion => (key.parse::<AdapterRef>().is_ok(), "adapter@version"),
            Self::Routing => (key == "default", "default"),
            _ => (AdapterRef::is_valid_name(key), "a name"),
        };
        if !valid {
            findings.add("/key", format!("expected {expected}"));
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
