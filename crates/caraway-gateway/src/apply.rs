//! Applies records of the platform's store: configurations, adapter versions, endpoints and
//! holders.

use std::{rc::Rc, sync::Arc};

use caraway_placement::{AnnouncedVersion, AnnouncedVersions};
use caraway_platform::{
    OperatorKey, Record, Topic, decode_configuration, decode_registry_entry,
    decode_version_announcement, is_versions_key, operator_key,
};
use caraway_routes::{Change, Endpoint, MissingPolicy, ModelRef, RoutingConfig};
use caraway_types::{EndpointId, Offset};

use crate::{
    claim, crash_records, endpoint_limits, event::emit, held_zone::HeldZone, shared::Shared,
    topics, version_histories,
};

/// Of the registry's records that only change the adapters of an endpoint, one in this many is
/// forwarded. They are most of the records, and only instances that reach no placer use them.
const RESIDENT_FORWARD_INTERVAL: u64 = 8;

/// How a record was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// From the log, soon after it was written.
    Log,
    /// Among the newest records of all keys, possibly long after it was written.
    Snapshot,
}

/// Applies a record; returns whether to forward it to other instances.
pub(crate) fn apply(
    shared: &Rc<Shared>,
    topic: Topic,
    record: &Record,
    missing_policy: MissingPolicy,
    source: RecordSource,
) -> bool {
    match topic {
        Topic::Operators => apply_operators(shared, record, source),
        Topic::Endpoints => return apply_endpoint(shared, record, missing_policy),
        Topic::Holders => claim::on_holder_record(shared, record),
        Topic::Shared if is_versions_key(&record.key) => {
            version_histories::on_history(shared, record, source);
        }
        Topic::Shared => {
            crash_records::on_record(shared, record, source);
        }
        // Read only by instances at which streams are taken up.
        Topic::Streams => {}
    }
    true
}

/// Returns whether a record of an older copy of the store says less than this instance knows. Holders
/// are compared by their fencing tokens instead.
pub(crate) fn is_outdated(shared: &Shared, topic: Topic, record: &Record) -> bool {
    let Some(value) = record.value.as_deref() else {
        return false;
    };
    // Invalid records are reported when they are applied.
    match topic {
        Topic::Operators => match operator_key(&record.key) {
            OperatorKey::Configuration => decode_configuration(value).is_ok_and(|(routing, _)| {
                shared
                    .routing()
                    .is_some_and(|r| routing.version < r.version)
            }),
            OperatorKey::Version => decode_version_announcement(value).is_ok_and(|announced| {
                let versions = shared.announced_versions.borrow();
                let newest = versions
                    .get(&announced.model)
                    .and_then(AnnouncedVersions::newest);
                newest.is_some_and(|n| announced.version < n)
            }),
            OperatorKey::Other => false,
        },
        Topic::Endpoints => decode_registry_entry(&record.key, value)
            .is_ok_and(|entry| shared.directory.borrow().is_outdated(&entry)),
        Topic::Holders | Topic::Shared | Topic::Streams => false,
    }
}

/// Passes the known adapter versions and endpoints to the placer of a zone that was just acquired.
pub(crate) fn init_placer(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    let versions = shared.announced_versions.borrow().clone();
    held.with_placer(shared, |placer, now| {
        for (model, versions) in &versions {
            for announced in versions.iter() {
                placer.on_version(now, model, announced.version, announced.since);
            }
        }
    });
    update_engines(shared, held);
    endpoint_limits::init_placer(shared, held);
}

/// Removes the endpoints whose entries, missing after an outage of the registry, did not come back
/// in time.
pub(crate) fn expire_endpoints(shared: &Rc<Shared>) {
    let removed = shared.directory.borrow_mut().expire(Shared::now());
    for id in removed {
        on_endpoint_removed(shared, &id, "its entry did not come back");
    }
}

fn apply_operators(shared: &Rc<Shared>, record: &Record, source: RecordSource) {
    let Some(value) = record.value.as_deref() else {
        return;
    };
    match operator_key(&record.key) {
        OperatorKey::Configuration => match decode_configuration(value) {
            Ok((routing, findings)) => {
                for finding in findings.list() {
                    emit!(shared, warn, ConfigFinding; "offset" => record.offset,
                        "place" => &*finding.place, "finding" => &*finding.problem);
                }
                apply_routing(shared, routing, record.offset);
            }
            Err(findings) => emit!(shared, error, ConfigFinding; "offset" => record.offset,
                "finding" => %findings),
        },
        OperatorKey::Version => match decode_version_announcement(value) {
            Ok(announced) => {
                let is_recent =
                    source == RecordSource::Log && !topics::is_configuration_stale(shared);
                let version = AnnouncedVersion {
                    version: announced.version,
                    since: is_recent.then(Shared::now),
                };
                apply_version(shared, &announced.model, version);
            }
            Err(findings) => emit!(shared, warn, ConfigFinding; "key" => &*record.key,
                "offset" => record.offset, "finding" => %findings),
        },
        OperatorKey::Other => {}
    }
}

fn apply_routing(shared: &Rc<Shared>, routing: RoutingConfig, offset: Offset) {
    let former = shared.routing().map_or(0, |r| r.version);
    if routing.version <= former {
        return;
    }
    emit!(shared, info, ConfigApplied; "version" => routing.version, "former" => former,
        "offset" => offset, "routes" => routing.routes().len());
    shared.quotas.set_accounts(routing.accounts());
    shared.config_applied_at.set(Some(Shared::now()));
    let accounts = routing.accounts().clone();
    let mut load_shedder = shared.load_shedder.get();
    load_shedder.set_routes(routing.routes().iter().map(|r| &**r));
    shared.load_shedder.set(load_shedder);
    *shared.routing.borrow_mut() = Some(Arc::new(routing));
    for held in shared.held_zones() {
        held.set_accounts(&accounts);
        update_engines(shared, &held);
    }
}

/// Passes the engine settings and the endpoints of its zone to a placer.
fn update_engines(shared: &Rc<Shared>, held: &Rc<HeldZone>) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let endpoints: Vec<Arc<Endpoint>> = {
        let directory = shared.directory.borrow();
        let own = directory.all().filter(|e| e.zone == held.zone);
        own.filter(|e| e.is_engine).cloned().collect()
    };
    held.with_placer(shared, |placer, now| {
        for service in routing.services() {
            if let Some(engine) = &service.engine {
                placer.set_engine(&service.name, engine);
            }
        }
        for endpoint in &endpoints {
            placer.on_endpoint(now, endpoint, Change::Updated);
        }
    });
}

fn apply_version(shared: &Rc<Shared>, model: &ModelRef, announced: AnnouncedVersion) {
    let former = {
        let mut versions = shared.announced_versions.borrow_mut();
        let versions = versions.entry(model.clone()).or_default();
        let former = versions.newest();
        let grace = shared.placer_settings.version_grace;
        if !versions.add(Shared::now(), announced, grace) {
            return;
        }
        former
    };
    emit!(shared, info, VersionAnnounced; "adapter" => %model, "version" => announced.version,
        "former" => former.unwrap_or(0), "fresh" => announced.since.is_some());
    for held in shared.held_zones() {
        held.with_placer(shared, |placer, now| {
            placer.on_version(now, model, announced.version, announced.since);
        });
    }
}

/// Applies a registry entry; returns whether to forward it. Entries that only change the adapters
/// of an endpoint are forwarded in part. The others are forwarded even if this instance knew their
/// content already, from an answer of the endpoint or a report of another instance.
fn apply_endpoint(shared: &Rc<Shared>, record: &Record, missing_policy: MissingPolicy) -> bool {
    let id: EndpointId = record.key.clone();
    let Some(value) = &record.value else {
        if shared
            .directory
            .borrow_mut()
            .remove(Shared::now(), &id, missing_policy)
        {
            on_endpoint_removed(shared, &id, "its entry was removed");
        }
        return true;
    };
    let endpoint = match decode_registry_entry(&id, value) {
        Ok(endpoint) => endpoint,
        Err(findings) => {
            emit!(shared, warn, EntryInvalid; "endpoint" => &*id, "offset" => record.offset,
                "finding" => %findings);
            return false;
        }
    };
    let is_significant = shared.directory.borrow().is_significant(&endpoint);
    let change = shared.directory.borrow_mut().put(Shared::now(), endpoint);
    if change == Change::Same {
        return is_significant;
    }
    let endpoint = shared.directory.borrow().get(&id).cloned();
    let Some(endpoint) = endpoint else {
        return is_significant;
    };
    if matches!(change, Change::New | Change::Reborn) {
        version_histories::on_endpoint_started(shared, &endpoint);
        shared.pool.forget(&id);
        shared.load_balancer.borrow_mut().forget(&id);
        shared.call_results.borrow_mut().remove(&id);
        shared.reach.forget(&id);
        emit!(shared, info, EndpointChanged; "endpoint" => &*id,
            "change" => format!("{change:?}"), "service" => &*endpoint.service,
            "endpoint_zone" => &*endpoint.zone, "addr" => %endpoint.addr,
            "software" => &*endpoint.software,
            "state" => format!("{:?}", endpoint.state), "offset" => record.offset);
    } else if !endpoint.is_ready() {
        emit!(shared, info, EndpointChanged; "endpoint" => &*id, "change" => "Draining",
            "endpoint_zone" => &*endpoint.zone, "offset" => record.offset);
    }
    let held = shared.held_zone(&endpoint.zone);
    if let Some(held) = held.filter(|_| endpoint.is_engine) {
        held.with_placer(shared, |placer, now| {
            placer.on_endpoint(now, &endpoint, change);
        });
    }
    if matches!(change, Change::New | Change::Reborn) {
        endpoint_limits::update_placer(shared, &endpoint);
    }
    let is_sampled = record.offset.is_multiple_of(RESIDENT_FORWARD_INTERVAL);
    is_significant || is_sampled
}

/// Handles the removal of an endpoint from the directory; `why` is logged.
pub(crate) fn on_endpoint_removed(shared: &Rc<Shared>, id: &EndpointId, why: &str) {
    emit!(shared, info, EndpointChanged; "endpoint" => &**id, "change" => "Gone", "why" => why);
    shared.versions.is_outdated.set(true);
    shared.pool.forget(id);
    shared.load_balancer.borrow_mut().forget(id);
    shared.reach.forget(id);
    for held in shared.held_zones() {
        held.with_placer(shared, |placer, now| placer.on_endpoint_gone(now, id));
    }
}
