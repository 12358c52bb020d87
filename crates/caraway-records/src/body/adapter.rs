//! [`Adapter`]: which version of an adapter is served.

use serde::{Deserialize, Serialize};

use caraway_types::{AdapterRef, Findings, VersionId};

use crate::fields::Fields;

/// Most versions that may be loaded ahead.
const WARM_LIMIT: usize = 4;

/// Names the version that answers requests for an adapter without a version.
///
/// Schema 1 is `{version}`; it is read as `{serve: version}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Adapter {
    /// The version served.
    pub serve: VersionId,
    /// Versions to load ahead of a change of `serve`.
    pub warm: Vec<VersionId>,
}

impl Adapter {
    /// Reads schema 1 or 2.
    pub(crate) fn read(schema: u32, fields: &mut Fields<'_>, found: &mut Findings) -> Self {
        if schema == 1 {
            return Self {
                serve: fields.text("version", "a version", AdapterRef::is_valid_name, found),
                warm: Vec::new(),
            };
        }
        let warm = fields.texts("warm", "a version", AdapterRef::is_valid_name, found);
        if warm.len() > WARM_LIMIT {
            found.add(
                "/body/warm",
                format!("expected at most {WARM_LIMIT} versions"),
            );
        }
        Self {
            serve: fields.text("serve", "a version", AdapterRef::is_valid_name, found),
            warm,
        }
    }
}
