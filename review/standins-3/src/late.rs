//! An order that got no answer is carried out after its replica has restarted under its id.

use std::{io, net::SocketAddr, path::Path, thread, time::Duration};

use crate::{
    Verdict,
    engine::{Engine, Spec},
    gateway::{Gateway, Site},
    record::Record,
    rollback::{CONFIGURATION, client},
    store::Store,
};

const SPEC: Spec = Spec { events: 12, interval: Duration::from_millis(50) };
const PLACES: usize = 16;
/// Time after which the order is carried out; the pages name 2 to 12 s.
const LATE: Duration = Duration::from_secs(10);

/// Asks for these adapters, all at once.
///
/// Returns how many streams were complete, and how many broke off at their clients.
fn ask(adapters: std::ops::Range<usize>, fronts: &[SocketAddr], record: &Record) -> (usize, usize) {
    let clients: Vec<_> = adapters
        .map(|number| {
            let (fronts, record) = (fronts.to_vec(), record.clone());
            thread::spawn(move || client(number, usize::MAX, &fronts, &record))
        })
        .collect();
    let got: Vec<_> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let broken = got.iter().filter(|g| g.before.is_some_and(|events| events > 0)).count();
    (got.iter().filter(|g| g.is_complete).count(), broken)
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let is_crash_only = std::env::var("TROUBLE").as_deref() == Ok("crash");
    let store = Store::start()?;
    let born = 1_700_000_000_000;
    let engine = Engine::start("i-11", "za", "v1", born, SPEC, record)?;
    engine.set_held((0..PLACES).map(|n| format!("a{n}")));
    engine.register(&store);
    let configuration = CONFIGURATION.replace("\"WeightSize\":100", "\"WeightSize\":110");
    store.put("keyed.op", "config", &configuration);
    let site = Site { zones: &["za"], memory_mb: 260, store: store.addr };
    let first = Gateway::start(&site, "g-a1", "za", folder)?;
    let second = Gateway::start(&site, "g-a2", "za", folder)?;
    for gateway in [&first, &second] {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Ok(Verdict::CouldNotRun);
        }
    }
    thread::sleep(Duration::from_secs(3));
    let fronts = [first.front, second.front];
    // Demand moves on: each adapter that comes in takes the place of one that is idle.
    // The weights and an adapter for each place are as many orders.
    let target = PLACES as u64 + 1;
    let mut next = PLACES;
    while engine.counts().0 + 1 < target && next < 4 * PLACES {
        ask(next..next + 1, &fronts, record);
        next += 1;
        record.line(&format!("accepted orders and held adapters: {:?}", engine.counts()));
    }
    if has_trouble && !is_crash_only {
        engine.set_late(target, LATE);
    }
    ask(next..next + 1, &fronts, record);
    record.line(&format!("accepted orders and held adapters: {:?}", engine.counts()));
    if has_trouble {
        record.line("the engine crashes, and starts again empty under its id");
        engine.restart_with("v1", born + 60_000, Duration::from_secs(1), &store, None);
    }
    thread::sleep(Duration::from_millis(1500));
    // The callers ask for as many adapters as there are places.
    for round in 0..14 {
        let (served, broken) = ask(100..100 + PLACES, &fronts, record);
        record.line(&format!("round {round}: {served} of {PLACES} served, {broken} broke off; accepted orders and held adapters: {:?}", engine.counts()));
        if !engine.overloads().is_empty() {
            break;
        }
    }
    thread::sleep(Duration::from_millis(500));
    let overloads = engine.overloads();
    record.line(&format!("loads ordered beyond the places: {overloads:?}"));
    Ok(if overloads.is_empty() { Verdict::Held } else { Verdict::Broken })
}
