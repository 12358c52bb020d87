//! [`RoutingConfig`]: one version of the operators' configuration of routes and services.

use std::{collections::HashMap, sync::Arc, time::Duration};

use caraway_accounts::AccountDirectory;
use serde::{Deserialize, Serialize};

use crate::Route;

/// A base model that a service offers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Memory for its weights, in MB.
    pub weight_mb: f64,
    /// Memory for each of its adapters, in MB.
    pub adapter_mb: f64,
    /// Time to load its weights from the weight store.
    #[serde(rename = "load")]
    pub load_time: Duration,
    /// Time to load its weights from the endpoint's own disk.
    #[serde(rename = "reload")]
    pub disk_load_time: Duration,
}

/// Capacity and models of the model engines of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Number of requests that an endpoint runs concurrently; not its adapter slots.
    pub slots: u32,
    /// Maximum number of adapters that an endpoint holds, if its memory suffices.
    #[serde(rename = "places")]
    pub adapter_slots: u32,
    /// Memory for weights and adapters together, in MB.
    pub memory_mb: f64,
    /// The models that the service offers.
    pub models: Vec<Model>,
    /// Maximum number of loads per second that the weight store serves to all endpoints together.
    #[serde(rename = "loads_rate")]
    pub loads_per_second: f64,
    /// Tokens of prompts and answers that fit in an endpoint's memory; `None` if that is not stated.
    #[serde(default)]
    pub token_capacity: Option<u32>,
}

impl EngineConfig {
    /// Returns how many adapters fit on an endpoint in addition to the weights of its model, for
    /// the model that leaves the least memory.
    #[must_use]
    pub fn adapter_capacity(&self) -> usize {
        let max = self.adapter_slots as usize;
        let capacity = |m: &Model| {
            let free_mb = (self.memory_mb - m.weight_mb).max(0.0);
            if m.adapter_mb <= 0.0 {
                return max;
            }
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a count that is small and not negative"
            )]
            let fit = (free_mb / m.adapter_mb) as usize;
            fit.min(max)
        };
        self.models.iter().map(capacity).min().unwrap_or(max)
    }
}

/// A service to which routes can send requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, to which routes and registry entries refer.
    pub name: Arc<str>,
    /// Capacity of its endpoints if they are model engines; `None` for a plain service.
    pub engine: Option<EngineConfig>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time until a request's head is received completely.
    pub head_time: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Common servers accept heads of 16 KB and bodies of a few MB.
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            // Time that a slow mobile link needs to send a head.
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the operators' configuration of routes and services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version number; a configuration replaces every one with a smaller number.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// The client accounts; never serialized, as keys must not leave the configuration's document.
    #[serde(skip)]
    accounts: Arc<AccountDirectory>,
    /// Sorted by host, then by descending length of the prefix, so that the first match is the
    /// most specific one.
    routes: Vec<Arc<Route>>,
    services: HashMap<Arc<str>, Arc<Service>>,
}

impl RoutingConfig {
    /// Creates a configuration from its routes and services, in any order.
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
            accounts: Arc::default(),
            routes: routes.into_iter().map(Arc::new).collect(),
            services: services
                .into_iter()
                .map(|s| (s.name.clone(), Arc::new(s)))
                .collect(),
        }
    }

    /// Sets the client accounts; without a call, there are none.
    #[must_use]
    pub fn with_accounts(mut self, accounts: AccountDirectory) -> Self {
        self.accounts = Arc::new(accounts);
        self
    }

    /// Returns the client accounts.
    #[must_use]
    pub fn accounts(&self) -> &Arc<AccountDirectory> {
        &self.accounts
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|r| &*r.host < host);
        self.routes[first..]
            .iter()
            .take_while(|r| &*r.host == host)
            .find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns every service, in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns every route, sorted by host.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
