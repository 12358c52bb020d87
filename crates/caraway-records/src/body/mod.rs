//! [`Body`]: what a record says of its key, one module for each [`Kind`].

mod account;
mod adapter;
mod adapter_version;
mod kind;
mod objective;
mod routing;
mod service;

use serde_json::Value;

use caraway_types::Findings;

pub use account::Account;
pub use adapter::Adapter;
pub use adapter_version::AdapterVersion;
pub use kind::Kind;
pub use objective::{Measure, Objective};
pub use routing::Routing;
pub use service::Service;

use crate::fields::Fields;

/// The body of a record in the newest schema of its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Which version of an adapter is served.
    Adapter(Adapter),
    /// That a version of an adapter exists.
    AdapterVersion(AdapterVersion),
    /// The routing configuration.
    Routing(Routing),
    /// A client account and its limits.
    Account(Account),
    /// A service-level objective.
    Objective(Objective),
    /// A plain service.
    Service(Service),
}

impl Body {
    /// Reads `value`, written in `schema` of `kind`, and upgrades it to the newest schema.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer, which starts with `/body`.
    pub(crate) fn read(kind: Kind, schema: u32, value: &Value) -> Result<Self, Findings> {
        let mut found = Findings::default();
        let Some(mut fields) = Fields::new(value, "/body", &mut found) else {
            return Err(found);
        };
        let f = &mut fields;
        let body = match kind {
            Kind::Adapter => Self::Adapter(Adapter::read(schema, f, &mut found)),
            Kind::AdapterVersion => Self::AdapterVersion(AdapterVersion::read(f, &mut found)),
            Kind::Routing => Self::Routing(Routing::read(f, &mut found)),
            Kind::Account => Self::Account(Account::read(f, &mut found)),
            Kind::Objective => Self::Objective(Objective::read(f, &mut found)),
            Kind::Service => Self::Service(Service::read(f, &mut found)),
        };
        fields.finish(&mut found);
        found.into_result(body)
    }
}
