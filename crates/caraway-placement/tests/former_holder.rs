//! What a placer does with endpoints that the former holder of the zone still gave orders to.

mod simulation;

use std::time::{Duration, Instant};

use caraway_placement::{
    Action, Order, OrderOutcome, Output, PlacementId, PlacementRequest, Placer, PlacerSettings,
    Report,
};
use caraway_routes::{Change, EngineConfig, Model, TokenCount};
use simulation::{SERVICE, adapter, endpoint_id, entry};

const SLOTS: usize = 4;
const MS: Duration = Duration::from_millis(1);

fn engine() -> EngineConfig {
    EngineConfig {
        slots: 8,
        adapter_slots: u32::try_from(SLOTS).expect("a small number"),
        memory_mb: 100.0,
        models: vec![Model {
            name: "base".into(),
            weight_mb: 90.0,
            adapter_mb: 0.0,
            load_time: 200 * MS,
            disk_load_time: 100 * MS,
        }],
        loads_per_second: 10.0,
        token_capacity: None,
    }
}

fn request(now: Instant, number: usize) -> PlacementRequest {
    PlacementRequest {
        service: SERVICE.into(),
        account: None,
        model: adapter(number),
        tokens: TokenCount::default(),
        priority: 0,
        goal: now + 1000 * MS,
        deadline: now + 5000 * MS,
        exclude: Vec::new(),
    }
}

fn report(accepted_orders: u64, held: &[usize], incoming: &[usize]) -> Report {
    Report {
        accepted_orders,
        loading_weights: false,
        models: vec!["base".into()],
        adapters: held.iter().map(|n| (adapter(*n), 1)).collect(),
        incoming: incoming.iter().map(|n| adapter(*n)).collect(),
        running: 0,
        waiting: 0,
    }
}

/// Returns the next order that is not a poll.
fn next_order(placer: &mut Placer) -> Option<Order> {
    let outputs = placer.take_outputs().into_iter();
    let mut orders = outputs.filter_map(|o| match o {
        Output::Order(order) if !order.is_poll => Some(order),
        _ => None,
    });
    orders.next()
}

// Guards against: the former holder's last load is under way, the next holder has the same load queued
// and does not count it, so that it orders one load more than the endpoint has slots.
#[test]
fn load_of_the_former_holder_takes_a_slot() {
    let start = Instant::now();
    let mut placer = Placer::new(PlacerSettings::default(), start);
    placer.set_engine(&SERVICE.into(), &engine());
    placer.on_endpoint(start, &entry(0, 8, 1, true), Change::New);
    let endpoint = endpoint_id(0);
    placer.on_report(start, &endpoint, Some(report(5, &[0, 1, 2, 3], &[])));
    for ticket in [1, 2] {
        let id = PlacementId { source: 0, ticket };
        let number = 10 + usize::try_from(ticket).expect("a small number");
        placer.on_request(start, id, request(start, number));
    }
    let unload = next_order(&mut placer).expect("a slot is needed");
    assert_eq!(unload.action, Action::Unload);
    // Meanwhile the former holder has unloaded the same adapter and loads what the second request needs.
    let mut now = start + 5 * MS;
    placer.on_order_outcome(now, &endpoint, unload.number, OrderOutcome::Conflict);
    let mut held: Vec<usize> = (0..SLOTS).filter(|n| adapter(*n) != unload.model).collect();
    now += 5 * MS;
    placer.on_report(now, &endpoint, Some(report(7, &held, &[12])));
    for _ in 0..50 {
        now += 20 * MS;
        placer.on_tick(now);
        while let Some(order) = next_order(&mut placer) {
            if order.action == Action::Load {
                // The endpoint answers a second order for a load that is under way, and loads once.
                let is_incoming = order.model == adapter(12);
                assert!(
                    is_incoming || held.len() + 1 < SLOTS,
                    "no slot is free for {order:?}"
                );
                placer.on_order_outcome(now, &endpoint, order.number, OrderOutcome::Conflict);
                placer.on_report(now, &endpoint, Some(report(7, &held, &[12])));
                continue;
            }
            held.retain(|n| adapter(*n) != order.model);
            placer.on_order_outcome(now, &endpoint, order.number, OrderOutcome::Complete);
        }
    }
}
