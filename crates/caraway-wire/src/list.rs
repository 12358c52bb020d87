//! The platform's lagging list of instances and endpoints: `GET /v1/instances` answers [`Listing`].

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use caraway_types::{Incarnation, ZoneId};

/// What the list holds, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Listing {
    /// All entries that are live or leaving.
    pub members: Vec<Listed>,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// What it is.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address.
    pub addr: SocketAddr,
    /// Rises with each restart.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a listed member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of the system.
    Entry,
    /// A model engine replica.
    Engine,
    /// A replica of a plain service.
    Service,
}
