//! [`Body`]: the parsed body of a record, with one module for each [`Kind`].

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
    /// The served version of an adapter.
    Adapter(Adapter),
    /// The declaration of an adapter version.
    AdapterVersion(AdapterVersion),
    /// Weights and limits for routing.
    Routing(Routing),
    /// A client account and its limits.
    Account(Account),
    /// A service-level objective.
    Objective(Objective),
    /// A service other than an engine.
    Service(Service),
}

impl Body {
    /// Parses `value`, a body of `kind` in version `schema`, and converts it to the newest schema.
    ///
    /// # Errors
    ///
    /// Returns all findings; their JSON pointers start with `/body`.
    pub(crate) fn parse(kind: Kind, schema: u32, value: &Value) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let Some(mut fields) = Fields::new(value, "/body", &mut findings) else {
            return Err(findings);
        };
        let f = &mut fields;
        let body = match kind {
            Kind::Adapter => Self::Adapter(Adapter::parse(schema, f, &mut findings)),
            Kind::AdapterVersion => Self::AdapterVersion(AdapterVersion::parse(f, &mut findings)),
            Kind::Routing => Self::Routing(Routing::parse(f, &mut findings)),
            Kind::Account => Self::Account(Account::parse(f, &mut findings)),
            Kind::Objective => Self::Objective(Objective::parse(f, &mut findings)),
            Kind::Service => Self::Service(Service::parse(f, &mut findings)),
        };
        fields.finish(&mut findings);
        findings.into_result(body)
    }
}
