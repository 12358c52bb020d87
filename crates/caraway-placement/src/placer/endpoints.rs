//! Endpoints: what the registry and their reports say.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Change, Endpoint, EngineConfig, ModelRef};
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Output, Report,
    replica::{Held, Phase, Replica, Timing},
};

/// Pause before an endpoint whose report came too early is asked again.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Pause before an endpoint that gave no report is asked again.
const REPORT_RETRY: Duration = Duration::from_millis(300);

impl Placer {
    /// Sets what an endpoint of `service` can hold.
    pub fn set_engine(&mut self, service: &Arc<str>, engine: &EngineConfig) {
        self.engines.insert(service.clone(), engine.clone());
        for replica in self.replicas.values_mut() {
            if replica.endpoint.service == *service {
                replica.places = engine.adapter_capacity();
            }
        }
    }

    /// Takes what the registry says about an endpoint in this zone; one whose service is not known
    /// by [`Self::set_engine`] is left out.
    pub fn on_endpoint(&mut self, now: Instant, endpoint: &Arc<Endpoint>, change: Change) {
        let Some(engine) = self.engines.get(&endpoint.service) else {
            return;
        };
        let places = engine.adapter_capacity();
        let residents = endpoint.models.iter().flat_map(|m| &m.adapters);
        self.note_first_version(residents.map(|r| r.version).min());
        match self.replicas.get_mut(&endpoint.id) {
            Some(replica) if change != Change::Reborn => {
                replica.endpoint = endpoint.clone();
                for held in &endpoint.models {
                    replica.add_model(&held.model);
                }
            }
            _ => {
                self.granted.retain(|_, g| g.endpoint != endpoint.id);
                let first = now.max(self.start);
                let replica = Replica::new(first, endpoint.clone(), places);
                self.replicas.insert(endpoint.id.clone(), replica);
                self.fit_limit();
                self.serve(now, &endpoint.id);
            }
        }
        self.ask_reports(now);
    }

    /// Notes that an endpoint is gone.
    pub fn on_gone(&mut self, now: Instant, endpoint: &EndpointId) {
        self.granted.retain(|_, g| g.endpoint != *endpoint);
        if self.replicas.remove(endpoint).is_some() {
            self.fit_limit();
            self.plan(now);
        }
    }

    /// Takes an endpoint's report, `None` when it gave none.
    pub fn on_report(&mut self, now: Instant, endpoint: &EndpointId, report: Option<Report>) {
        let lag = self.settings.report_lag;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        replica.reporting = false;
        replica.mute = report.is_none();
        let Some(report) = report else {
            replica.report_at = Some(now + REPORT_RETRY);
            return;
        };
        // A report shows the state of before, unless it counts more orders than are known of.
        let is_fresh = replica.orders.is_none() && report.orders > replica.at_least;
        if let Some(ordered) = replica.ordered
            && now < ordered + lag
            && !is_fresh
        {
            let again = (now + REPORT_PAUSE).min(ordered + lag);
            replica.report_at = Some(again);
            return;
        }
        replica.report_at = None;
        replica.orders = Some(report.orders);
        replica.models.clone_from(&report.models);
        replica.busy = report.busy;
        if replica.busy {
            replica.report_at = Some(now + REPORT_RETRY);
        }
        replica.reconcile(now, &report, self.settings.poll);
        if replica.held.values().any(|h| h.phase == Phase::Unloading) {
            replica.report_at = Some(now + lag);
        }
        self.note_first_version(report.held.iter().map(|(_, v)| *v).min());
        self.serve(now, endpoint);
        self.plan_weights(now);
        self.plan(now);
        self.pump(now, endpoint);
    }

    /// Notes the lowest of some versions that an endpoint holds: versions rise from the first one,
    /// and most adapters are of that.
    fn note_first_version(&mut self, lowest: Option<u64>) {
        let known = self.first_version;
        self.first_version = lowest.map_or(known, |v| Some(known.map_or(v, |k| k.min(v))));
    }

    /// Asks for the reports that are due.
    pub(super) fn ask_reports(&mut self, now: Instant) {
        for (id, replica) in &mut self.replicas {
            let due = replica.report_at.is_some_and(|at| at <= now);
            if due && !replica.reporting && replica.outstanding.is_none() {
                replica.reporting = true;
                self.outputs.push(Output::Report(id.clone()));
            }
        }
    }
}

impl Replica {
    /// Brings the belief in line with a report that no later order has overtaken.
    fn reconcile(&mut self, now: Instant, report: &Report, step: Duration) {
        let listed =
            |m: &ModelRef| report.held.iter().any(|(r, _)| r == m) || report.incoming.contains(m);
        if let Some(weights) = &mut self.weights
            && weights.phase == Phase::Doubtful
        {
            weights.phase = Phase::Loading {
                since: now,
                poll: Some(now + step),
            };
        }
        let models = &self.models;
        self.weights.take_if(|w| {
            let is_sent = w.phase != Phase::Planned;
            models.contains(&w.model) || is_sent && !report.busy
        });
        self.held.retain(|model, held| match held.phase {
            Phase::Planned | Phase::Leaving => true,
            _ => listed(model),
        });
        for (model, version) in &report.held {
            let held = self
                .held
                .entry(model.clone())
                .or_insert(Held::ready(*version));
            match held.phase {
                Phase::Planned if held.former.is_some() => {}
                Phase::Leaving | Phase::Unloading => {}
                _ if report.incoming.contains(model) => {}
                _ => {
                    held.set_ready();
                    held.version = *version;
                }
            }
        }
        for model in &report.incoming {
            let poll = Some(now + step);
            let loading = Phase::Loading { since: now, poll };
            match self.held.get_mut(model) {
                Some(held) if held.phase == Phase::Doubtful => {
                    held.phase = loading;
                    held.timing = Timing::Unknown;
                }
                Some(_) => {}
                None => {
                    let held = Held {
                        phase: loading,
                        ..Held::ready(0)
                    };
                    self.held.insert(model.clone(), held);
                }
            }
        }
        let names = report.held.iter().map(|(m, _)| m);
        let names: HashSet<&ModelRef> = names.chain(&report.incoming).collect();
        let all = report.held.len() + report.incoming.len();
        let replacing = self.held.values().filter(|h| h.former.is_some()).count();
        self.doubled = (all - names.len()).saturating_sub(replacing);
        self.todo.retain(|t| self.held.contains_key(&t.model));
    }
}
