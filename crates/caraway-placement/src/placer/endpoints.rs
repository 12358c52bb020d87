//! Endpoint state from the registry and from reports.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Change, Endpoint, EngineConfig, ModelRef};
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Output, Report,
    replica::{AdapterState, LoadTiming, Phase, Replica},
};

/// Delay before fetching another report when one is too old to reflect the last order.
const EARLY_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Delay before fetching a report again when the last one failed or the endpoint is loading
/// weights.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(300);

impl Placer {
    /// Sets the engine capacity of the endpoints of `service`.
    pub fn set_engine(&mut self, service: &Arc<str>, engine: &EngineConfig) {
        self.engines.insert(service.clone(), engine.clone());
        for replica in self.replicas.values_mut() {
            if replica.endpoint.service == *service {
                replica.adapter_slots = engine.adapter_capacity();
                replica.token_capacity = engine.token_capacity;
            }
        }
    }

    /// Applies the registry entry of an endpoint in this zone. Entries of services without an
    /// engine set by [`Self::set_engine`] are ignored.
    pub fn on_endpoint(&mut self, now: Instant, endpoint: &Arc<Endpoint>, change: Change) {
        let Some(engine) = self.engines.get(&endpoint.service) else {
            return;
        };
        let adapter_slots = engine.adapter_capacity();
        let token_capacity = engine.token_capacity;
        let residents = endpoint.models.iter().flat_map(|m| &m.adapters);
        self.update_first_version(residents.map(|r| r.version).min());
        match self.replicas.get_mut(&endpoint.id) {
            Some(replica) if change != Change::Reborn => {
                replica.endpoint = endpoint.clone();
                for model in &endpoint.models {
                    replica.add_model(&model.model);
                }
            }
            _ => {
                self.forget_runs(&endpoint.id);
                let report_at = now.max(self.first_order_at);
                let mut replica = Replica::new(report_at, endpoint.clone(), adapter_slots);
                replica.token_capacity = token_capacity;
                self.replicas.insert(endpoint.id.clone(), replica);
                self.clamp_load_limit();
                self.grant_for_endpoint(now, &endpoint.id);
            }
        }
        self.fetch_reports(now);
    }

    /// Removes an endpoint that has left the registry.
    pub fn on_endpoint_gone(&mut self, now: Instant, endpoint: &EndpointId) {
        self.forget_runs(endpoint);
        self.limiters.set(now, endpoint, None);
        if self.replicas.remove(endpoint).is_some() {
            self.clamp_load_limit();
            self.plan_loads(now);
        }
    }

    /// Applies an endpoint's report, or `None` if it gave none.
    pub fn on_report(&mut self, now: Instant, endpoint: &EndpointId, report: Option<Report>) {
        let lag = self.settings.report_lag;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        replica.report_pending = false;
        replica.report_failed = report.is_none();
        let Some(report) = report else {
            replica.report_at = Some(now + REPORT_RETRY_DELAY);
            return;
        };
        // A report may be older than the last order, and is then fetched again. It is certainly
        // newer if the number of accepted orders was unknown here and the report's is larger than
        // the minimum.
        let is_fresh =
            replica.accepted_orders.is_none() && report.accepted_orders > replica.min_accepted;
        if let Some(last_ordered) = replica.last_ordered
            && now < last_ordered + lag
            && !is_fresh
        {
            let retry_at = (now + EARLY_REPORT_DELAY).min(last_ordered + lag);
            replica.report_at = Some(retry_at);
            return;
        }
        replica.report_at = None;
        replica.accepted_orders = Some(report.accepted_orders);
        replica.models.clone_from(&report.models);
        replica.loading_weights = report.loading_weights;
        if replica.loading_weights {
            replica.report_at = Some(now + REPORT_RETRY_DELAY);
        }
        replica.reconcile(now, &report, self.settings.poll_interval);
        if replica
            .adapters
            .values()
            .any(|a| a.phase == Phase::Unloading)
        {
            replica.report_at = Some(now + lag);
        }
        self.update_first_version(report.adapters.iter().map(|(_, v)| *v).min());
        self.grant_for_endpoint(now, endpoint);
        self.plan_weights(now);
        self.plan_loads(now);
        self.send_due_orders(now, endpoint);
    }

    /// Lowers the first version to `lowest`, the lowest version that an endpoint holds. An adapter
    /// without an announced version is loaded in the first version: versions count up from it, and
    /// most adapters have only that one.
    fn update_first_version(&mut self, lowest: Option<u64>) {
        let known = self.first_version;
        self.first_version = lowest.map_or(known, |v| Some(known.map_or(v, |k| k.min(v))));
    }

    /// Fetches the reports that are due.
    pub(super) fn fetch_reports(&mut self, now: Instant) {
        for (id, replica) in &mut self.replicas {
            let due = replica.report_at.is_some_and(|at| at <= now);
            if due && !replica.report_pending && replica.in_flight.is_none() {
                replica.report_pending = true;
                self.outputs.push(Output::FetchReport(id.clone()));
            }
        }
    }
}

impl Replica {
    /// Aligns the known state with a report that is newer than the last order.
    fn reconcile(&mut self, now: Instant, report: &Report, poll_interval: Duration) {
        let is_reported = |m: &ModelRef| {
            report.adapters.iter().any(|(r, _)| r == m) || report.incoming.contains(m)
        };
        if let Some(weights) = &mut self.weights_load
            && weights.phase == Phase::Uncertain
        {
            weights.phase = Phase::Loading {
                since: now,
                poll_at: Some(now + poll_interval),
            };
        }
        let models = &self.models;
        self.weights_load.take_if(|w| {
            let is_sent = w.phase != Phase::LoadQueued;
            models.contains(&w.model) || is_sent && !report.loading_weights
        });
        self.adapters.retain(|model, adapter| match adapter.phase {
            Phase::LoadQueued | Phase::UnloadQueued => true,
            _ => is_reported(model),
        });
        // While an older version has runs, both are listed, in any order.
        let mut held: HashMap<&ModelRef, u64> = HashMap::new();
        for (model, version) in &report.adapters {
            let newest = held.entry(model).or_insert(*version);
            *newest = (*newest).max(*version);
        }
        for (model, version) in held {
            let adapter = self
                .adapters
                .entry(model.clone())
                .or_insert(AdapterState::ready(version));
            match adapter.phase {
                Phase::LoadQueued if adapter.replaces.is_some() => {}
                Phase::UnloadQueued | Phase::Unloading => {}
                _ if report.incoming.contains(model) => {}
                _ => {
                    adapter.set_ready();
                    adapter.version = version;
                }
            }
        }
        for model in &report.incoming {
            let poll_at = Some(now + poll_interval);
            let loading = Phase::Loading {
                since: now,
                poll_at,
            };
            match self.adapters.get_mut(model) {
                // A queued load may be under way by an order of the former holder.
                Some(adapter) if matches!(adapter.phase, Phase::Uncertain | Phase::LoadQueued) => {
                    adapter.phase = loading;
                    adapter.timing = LoadTiming::Unknown;
                }
                Some(_) => {}
                None => {
                    let adapter = AdapterState {
                        phase: loading,
                        ..AdapterState::ready(0)
                    };
                    self.adapters.insert(model.clone(), adapter);
                }
            }
        }
        let reported = report.adapters.iter().map(|(m, _)| m);
        let reported: HashSet<&ModelRef> = reported.chain(&report.incoming).collect();
        let copies = report.adapters.len() + report.incoming.len();
        let replaced = self
            .adapters
            .values()
            .filter(|a| a.replaces.is_some())
            .count();
        self.extra_versions = (copies - reported.len()).saturating_sub(replaced);
        self.queue.retain(|o| self.adapters.contains_key(&o.model));
    }
}
