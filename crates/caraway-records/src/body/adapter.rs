//! [`Adapter`]: the version of an adapter that is served by default.

use serde::{Deserialize, Serialize};

use caraway_types::{AdapterRef, Findings, VersionId};

use crate::fields::Fields;

/// Maximum number of versions to preload.
const MAX_WARM_VERSIONS: usize = 4;

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
    pub(crate) fn parse(schema: u32, fields: &mut Fields<'_>, findings: &mut Findings) -> Self {
        if schema == 1 {
            return Self {
                serve: fields.string("version", "a version", AdapterRef::is_valid_name, findings),
                warm: Vec::new(),
            };
        }
        let warm = fields.strings("warm", "a version", AdapterRef::is_valid_name, findings);
        if warm.len() > MAX_WARM_VERSIONS {
            findings.add(
                "/body/warm",
                format!("expected at most {MAX_WARM_VERSIONS} versions"),
            );
        }
        Self {
            serve: fields.string("serve", "a version", AdapterRef::is_valid_name, findings),
            warm,
        }
    }
}
