//! Messages of the platform's list of instances and endpoints: `GET /v1/instances` responds with a
//! [`Listing`], which may be stale.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use caraway_types::{Incarnation, ZoneId};

/// The content of the list at some time in the past.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Listing {
    /// Every instance and endpoint that runs, including those that are shutting down.
    pub members: Vec<ListEntry>,
}

/// An instance or endpoint in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Id of the instance or endpoint, which stays the same across restarts.
    pub id: Arc<str>,
    /// Kind of process.
    pub role: Role,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Increases with each restart.
    pub incarnation: Incarnation,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
}

/// Kind of process of a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An instance of this system that accepts callers' requests.
    Entry,
    /// A replica of a model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}
