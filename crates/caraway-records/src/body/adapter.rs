//! [`Adapter`]: the version of an adapter that is served by default.

use serde::{Deserialize, Serialize};

use caraway_types::{AdapterRef, Findings, VersionId};

use crate::fields::Fields;

/// Maximum number of versions to preload.
const WARM_LIMIT: usize = 4;

/// Selects the version that serves requests naming an adapter without a version.
///
/// Schema 1 has the single field `version`, which is parsed as `serve`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Adapter {
    /// The version that is served by default.
    pub serve: VersionId,
    /// Versions to preload before `serve` switches to one of them.
    pub warm: Vec<VersionId>,
}

impl Adapter {
    /// Parses a body in schema 1 or 2.
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
