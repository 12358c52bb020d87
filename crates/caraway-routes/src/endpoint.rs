//! [`Endpoint`]: what the registry says about an endpoint.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use caraway_types::{AdapterId, EndpointId, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An adapter that an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: u64,
}

/// A model that an endpoint holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model's name.
    pub model: Arc<str>,
    /// The adapters that are ready to serve.
    pub adapters: Vec<Resident>,
}

/// What the registry says about an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// How long it stays, where that is known.
    pub remaining: Option<Duration>,
    /// When this run of it started, in Unix milliseconds; tells runs under one id apart.
    pub born: Option<u64>,
    /// Whether it is a model engine; one that has just started may hold no model yet.
    pub is_engine: bool,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
}

impl Endpoint {
    /// Tells whether it takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns the version of an adapter that it holds.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: &str) -> Option<u64> {
        let held = self.models.iter().find(|m| &*m.model == model)?;
        let resident = held.adapters.iter().find(|r| &*r.adapter == adapter)?;
        Some(resident.version)
    }

    /// Tells whether it holds a model.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| &*m.model == model)
    }
}
