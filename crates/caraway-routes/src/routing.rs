//! [`Routing`]: one version of the operators' configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Route;

/// A base model of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: Arc<str>,
    /// Memory of its weights, in MB.
    pub weight_mb: f64,
    /// Memory of each of its adapters, in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a load from an endpoint's own disk.
    pub reload: Duration,
}

/// What the endpoints of a service that are model engines have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// Adapters that an endpoint holds at most.
    pub places: u32,
    /// Memory for weights and adapters together, in MB.
    pub memory_mb: f64,
    /// The models that the service offers.
    pub models: Vec<Model>,
    /// Loads of models that the weight store gives in a second, to all endpoints together.
    pub loads_rate: f64,
}

impl Engine {
    /// Returns how many adapters an endpoint can hold beside the weights of its model.
    #[must_use]
    pub fn adapter_places(&self) -> usize {
        let places = self.places as usize;
        let free = |m: &Model| {
            let room = (self.memory_mb - m.weight_mb).max(0.0);
            if m.adapter_mb <= 0.0 {
                return places;
            }
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a count that is small and not negative"
            )]
            let fit = (room / m.adapter_mb) as usize;
            fit.min(places)
        };
        self.models.iter().map(free).min().unwrap_or(places)
    }
}

/// A service that routes name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Set where endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that a head may take.
    pub head_time: Duration,
    /// Longest time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Common servers take heads of 16 KB and bodies of a few MB.
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            // As long as a slow mobile link takes for a head.
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// The version; a larger one replaces every smaller one.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: HashMap<Arc<str>, Arc<Service>>,
}

impl Routing {
    /// Makes a version of these routes and services.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        mut routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let order = |r: &Route| (r.host.clone(), std::cmp::Reverse(r.prefix.len()));
        routes.sort_by_key(order);
        Self {
            version,
            limits,
            routes: routes.into_iter().map(Arc::new).collect(),
            services: services
                .into_iter()
                .map(|s| (s.name.clone(), Arc::new(s)))
                .collect(),
        }
    }

    /// Returns the route with the longest prefix that begins `path`, among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let from = self.routes.partition_point(|r| &*r.host < host);
        self.routes[from..]
            .iter()
            .take_while(|r| &*r.host == host)
            .find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns every service, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns every route, by host.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
