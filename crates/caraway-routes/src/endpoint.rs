//! [`Endpoint`]: the registry entry of an endpoint.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use caraway_types::{AdapterId, EndpointId, SoftwareVersion, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It accepts no new requests, finishes those in flight and shuts down.
    Draining,
}

/// An adapter version that is loaded on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Id of the adapter.
    pub adapter: AdapterId,
    /// The loaded version of the adapter.
    pub version: u64,
}

/// A base model that is loaded on an endpoint, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the base model.
    pub model: Arc<str>,
    /// The loaded adapters, all of them ready to serve.
    pub adapters: Vec<Resident>,
}

/// The registry entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint, which stays the same across restarts.
    pub id: EndpointId,
    /// Name of the service that it belongs to.
    pub service: Arc<str>,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Time until it shuts down, if that is known.
    pub remaining: Option<Duration>,
    /// Start time of this incarnation, in Unix milliseconds. Distinguishes the incarnations that
    /// follow each other under one id.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Version of its software, empty if it states none. What endpoints of different versions write
    /// does not fit together.
    pub software: SoftwareVersion,
    /// Whether it is a model engine. A newly started engine may have no model loaded yet.
    pub is_engine: bool,
    /// The models that are loaded on it.
    pub models: Vec<LoadedModel>,
}

impl Endpoint {
    /// Returns whether the endpoint accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns the loaded version of an adapter of `model`, or `None` if the adapter is not loaded.
    #[must_use]
    pub fn adapter_version(&self, model: &str, adapter: &str) -> Option<u64> {
        let model = self.models.iter().find(|m| &*m.model == model)?;
        // While an older version has runs, both are listed, in any order.
        let held = model.adapters.iter().filter(|r| &*r.adapter == adapter);
        held.map(|r| r.version).max()
    }

    /// Returns whether a base model is loaded on the endpoint.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| &*m.model == model)
    }
}
