//! [`ListedMember`]: one entry of the platform's lagging list.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{Incarnation, ZoneId};

/// One entry of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMember {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Rises with each restart.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is an endpoint, not an instance.
    pub endpoint: bool,
}
