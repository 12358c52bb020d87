//! Applying records of the platform's store: configurations, adapter versions, endpoints, holders.

use std::{rc::Rc, sync::Arc};

use caraway_platform::{
    OperatorKey, Record, Topic, decode_configuration, decode_registry_entry,
    decode_version_announcement, operator_key,
};
use caraway_routes::{Change, Endpoint, MissingPolicy, ModelRef, RoutingConfig};
use caraway_types::{EndpointId, Offset};

use crate::{
    claim,
    desk::Desk,
    event::emit,
    follow,
    shared::{Announcement, Shared},
};

/// Of the entries that tell only which adapters an endpoint holds, one in so many is passed on:
/// they are most of the registry's records, and matter only to instances that no placer answers.
const RESIDENTS_PASSED_ON: u64 = 8;

/// Where a record was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// In the log, soon after it was written.
    Log,
    /// Among the newest of all keys, some time after it was written.
    Snapshot,
}

/// Applies a record; returns whether other instances need it, too.
pub(crate) fn apply(
    shared: &Rc<Shared>,
    topic: Topic,
    record: &Record,
    lapse: MissingPolicy,
    source: Source,
) -> bool {
    match topic {
        Topic::Operators => apply_operators(shared, record, source),
        Topic::Endpoints => return apply_endpoint(shared, record, lapse),
        Topic::Holders => claim::on_record(shared, record),
    }
    true
}

/// Tells a new placer what is known of its endpoints and their adapters.
pub(crate) fn fill_desk(shared: &Rc<Shared>, desk: &Rc<Desk>) {
    let newest: Vec<(ModelRef, Announcement)> = {
        let newest = shared.newest.borrow();
        newest.iter().map(|(m, v)| (m.clone(), *v)).collect()
    };
    desk.with(shared, |placer, now| {
        for (model, newest) in &newest {
            placer.on_version(now, model, newest.version, newest.heard);
        }
    });
    fill_engines(shared, desk);
}

/// Drops the endpoints whose entries did not come back in time.
pub(crate) fn expire(shared: &Rc<Shared>) {
    let gone = shared.directory.borrow_mut().expire(Shared::now());
    for id in gone {
        on_gone(shared, &id, "its entry did not come back");
    }
}

fn apply_operators(shared: &Rc<Shared>, record: &Record, source: Source) {
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
                let heard = (source == Source::Log && !follow::is_behind(shared)).then(Shared::now);
                let version = announced.version;
                apply_version(shared, &announced.model, Announcement { version, heard });
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
    *shared.routing.borrow_mut() = Some(Arc::new(routing));
    for desk in shared.own_desks() {
        fill_engines(shared, &desk);
    }
}

/// Tells a placer what the endpoints of its zone are and can hold.
fn fill_engines(shared: &Rc<Shared>, desk: &Rc<Desk>) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let endpoints: Vec<Arc<Endpoint>> = {
        let directory = shared.directory.borrow();
        let own = directory.all().filter(|e| e.zone == desk.zone);
        own.filter(|e| e.is_engine).cloned().collect()
    };
    desk.with(shared, |placer, now| {
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

fn apply_version(shared: &Rc<Shared>, model: &ModelRef, newest: Announcement) {
    let former = shared.newest.borrow().get(model).map_or(0, |n| n.version);
    if newest.version <= former {
        return;
    }
    emit!(shared, info, VersionAnnounced; "adapter" => %model, "version" => newest.version,
        "former" => former, "fresh" => newest.heard.is_some());
    shared.newest.borrow_mut().insert(model.clone(), newest);
    for desk in shared.own_desks() {
        desk.with(shared, |placer, now| {
            placer.on_version(now, model, newest.version, newest.heard);
        });
    }
}

/// Takes an entry; returns whether it says more than which adapters an endpoint holds.
fn apply_endpoint(shared: &Rc<Shared>, record: &Record, lapse: MissingPolicy) -> bool {
    let id: EndpointId = record.key.clone();
    let Some(value) = &record.value else {
        if shared.directory.borrow_mut().remove(&id, lapse) {
            on_gone(shared, &id, "its entry was removed");
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
    let was_ready = shared.directory.borrow().get(&id).map(|e| e.is_ready());
    let change = shared.directory.borrow_mut().put(Shared::now(), endpoint);
    if change == Change::Same {
        return false;
    }
    let endpoint = shared.directory.borrow().get(&id).cloned();
    let Some(endpoint) = endpoint else {
        return false;
    };
    if matches!(change, Change::New | Change::Reborn) {
        shared.pool.forget(&id);
        shared.chooser.borrow_mut().forget(&id);
        emit!(shared, info, EndpointChanged; "endpoint" => &*id,
            "change" => format!("{change:?}"), "service" => &*endpoint.service,
            "endpoint_zone" => &*endpoint.zone, "addr" => %endpoint.addr,
            "state" => format!("{:?}", endpoint.state), "offset" => record.offset);
    } else if !endpoint.is_ready() {
        emit!(shared, info, EndpointChanged; "endpoint" => &*id, "change" => "Draining",
            "endpoint_zone" => &*endpoint.zone, "offset" => record.offset);
    }
    let desk = shared.desk(&endpoint.zone);
    if let Some(desk) = desk.filter(|_| endpoint.is_engine) {
        desk.with(shared, |placer, now| {
            placer.on_endpoint(now, &endpoint, change);
        });
    }
    let is_sample = record.offset.is_multiple_of(RESIDENTS_PASSED_ON);
    change != Change::Updated || was_ready != Some(endpoint.is_ready()) || is_sample
}

pub(crate) fn on_gone(shared: &Rc<Shared>, id: &EndpointId, why: &str) {
    emit!(shared, info, EndpointChanged; "endpoint" => &**id, "change" => "Gone", "why" => why);
    shared.pool.forget(id);
    shared.chooser.borrow_mut().forget(id);
    for desk in shared.own_desks() {
        desk.with(shared, |placer, now| placer.on_endpoint_gone(now, id));
    }
}
