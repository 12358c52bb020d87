//! Replicas restart with a newer software version under their ids, and an instance is killed.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    engine::Engine,
    gateway::{Gateway, Site},
    record::Record,
    rollback::{CONFIGURATION, Got, SPEC, STREAMS, client, holder},
    store::Store,
};

fn start_clients(from: usize, fronts: &[SocketAddr], record: &Record) -> Vec<thread::JoinHandle<Got>> {
    (from..from + STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.to_vec(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(10) * (number - from) as u32);
                client(number, STREAMS, &fronts, &record)
            })
        })
        .collect()
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let zones = ["za", "zb"];
    let born = 1_700_000_000_000;
    let mut engines = Vec::new();
    for (number, zone) in ["za", "zb", "za", "zb", "za", "zb"].into_iter().enumerate() {
        let id = &format!("i-1{number}");
        let engine = Engine::start(id, zone, "v1", born, SPEC, record)?;
        engine.register(&store);
        engines.push(engine);
    }
    store.put("keyed.op", "config", CONFIGURATION);
    let site = Site { zones: &zones, memory_mb: 260, store: store.addr };
    let mut gateways = Vec::new();
    for (name, zone) in [("g-a1", "za"), ("g-a2", "za"), ("g-b1", "zb"), ("g-b2", "zb")] {
        gateways.push(Gateway::start(&site, name, zone, folder)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Ok(Verdict::CouldNotRun);
        }
    }
    thread::sleep(Duration::from_secs(4));
    // Planned work: two of the six replicas are upgraded where they are.
    // For comparison: replicas of the newer version join under ids of their own.
    if std::env::var("TROUBLE").as_deref() == Ok("side") {
        for (id, zone) in [("i-21", "za"), ("i-22", "zb")] {
            Engine::start(id, zone, "v2", born + 60_000, SPEC, record)?.register(&store);
            thread::sleep(Duration::from_millis(500));
        }
    } else {
        for engine in &engines[4..] {
            engine.restart("v2", born + 60_000, Duration::from_millis(500), &store);
        }
    }
    thread::sleep(Duration::from_secs(2));
    // The streams begin at an instance that holds no zone.
    let holders = [holder(&store, "za"), holder(&store, "zb")];
    gateways.sort_by_key(|g| holders.iter().flatten().any(|h| *h == g.name));
    let name = gateways[0].name.clone();
    record.line(&format!("the streams begin at {name}; holders {holders:?}"));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|g| g.front).collect();
    let clients = start_clients(0, &fronts, record);
    thread::sleep(Duration::from_millis(1300));
    if has_trouble {
        gateways[0].kill();
        record.line(&format!("{name} is killed"));
    }
    // New streams at the other instances, to compare.
    let others = start_clients(500, &fronts[1..], record);
    let all: Vec<Got> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let new: Vec<Got> = others.into_iter().filter_map(|c| c.join().ok()).collect();
    let begun = new.iter().filter(|g| !g.events.is_empty()).count();
    let taken_up: Vec<&Got> = all.iter().filter(|g| g.before.is_some_and(|b| b > 0)).collect();
    let goes_on = taken_up.iter().filter(|g| g.before.is_some_and(|b| g.events.len() > b)).count();
    let joined = all.iter().filter(|g| g.events.iter().any(|(_, s)| *s != g.events[0].1)).count();
    record.line(&format!(
        "new streams that began: {begun} of {}; streams taken up: {}, of which {goes_on} went on ({joined} at another version)",
        new.len(), taken_up.len()
    ));
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    let is_lost = taken_up.len() >= 12
        && share(goes_on, taken_up.len()) < share(begun, new.len()) / 2.0;
    Ok(if is_lost { Verdict::Broken } else { Verdict::Held })
}
