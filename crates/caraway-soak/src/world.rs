//! [`World`]: the store, the endpoints and the gateways of a run; applies faults to them.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use caraway_platform_standin::{
    Behavior, Engine, EngineSpec, Ledger, OrderHandling, PlainEndpoint, Proxy, ProxyMode, Store,
    StoreMode, configuration, held_models, registry_entry,
};
use nix::sys::signal::Signal;

use crate::{
    Fault, Plan,
    gateway::{Gateway, Place},
};

/// Number of adapter slots of an engine.
const PLACES: usize = 4;

/// An endpoint that gateways reach through a proxy.
#[derive(Debug)]
struct Endpoint {
    id: String,
    zone: String,
    proxy: Proxy,
    born: u64,
    what: Service,
}

/// The process behind an endpoint.
#[derive(Debug)]
enum Service {
    Engine(Engine),
    Desk(PlainEndpoint),
}

/// The store, the endpoints and the gateways of a run.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) ledger: Ledger,
    pub(crate) gateways: Vec<Gateway>,
    store: Store,
    store_ways: Vec<Proxy>,
    endpoints: Vec<Endpoint>,
    version: u64,
    further: Vec<String>,
    /// For each gateway, whether it is restarted as soon as it has exited.
    pub(crate) kept: Vec<bool>,
}

impl World {
    /// Starts the store, the endpoints and the gateways; the gateways' files are in `place`.
    pub(crate) async fn start(plan: &Plan, place: &Place) -> Result<Self> {
        let ledger = Ledger::default();
        let store = Store::default();
        let addr = store.start().await.context("can't start the store")?;
        let names: Vec<String> = (0..plan.zones).map(|z| format!("z{z}")).collect();
        let zones: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut world = Self {
            ledger,
            gateways: Vec::new(),
            store,
            store_ways: Vec::new(),
            endpoints: Vec::new(),
            version: 0,
            further: Vec::new(),
            kept: Vec::new(),
        };
        for zone in &zones {
            for number in 0..plan.engines {
                let spec = EngineSpec {
                    id: format!("e-{zone}-{number}").into(),
                    model: "base".into(),
                    adapter_slots: PLACES,
                };
                let id = spec.id.to_string();
                let engine = Engine::new(spec, world.ledger.clone());
                let addr = engine.start().await.context("can't start an engine")?;
                world.add(&id, zone, addr, Service::Engine(engine)).await?;
            }
        }
        for zone in &zones {
            let id = format!("d-{zone}");
            let desk = PlainEndpoint::new(&id, world.ledger.clone());
            let addr = desk
                .start()
                .await
                .context("can't start an endpoint without engine")?;
            world.add(&id, zone, addr, Service::Desk(desk)).await?;
        }
        world.publish_configuration(None);
        for zone in &zones {
            for number in 0..plan.instances {
                let way = Proxy::start(addr).await.context("can't start a proxy")?;
                let name = format!("gate-{zone}-{number}");
                let is_weak = number % 2 == 1;
                let gateway = Gateway::start(place, &name, zone, &zones, way.addr(), is_weak)?;
                world.store_ways.push(way);
                world.gateways.push(gateway);
                world.kept.push(true);
            }
        }
        Ok(world)
    }

    /// Starts a proxy for an endpoint and registers the endpoint at the proxy's address.
    async fn add(&mut self, id: &str, zone: &str, addr: SocketAddr, what: Service) -> Result<()> {
        let endpoint = Endpoint {
            id: id.to_owned(),
            zone: zone.to_owned(),
            proxy: Proxy::start(addr).await.context("can't start a proxy")?,
            born: 1,
            what,
        };
        self.register(&endpoint);
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Publishes the registry entry of an endpoint; a restarted engine lists no models.
    fn register(&self, endpoint: &Endpoint) {
        let (service, models) = match &endpoint.what {
            Service::Desk(_) => ("desk", None),
            Service::Engine(engine) => ("lm", Some(held_models(engine.has_weights()))),
        };
        let addr = endpoint.proxy.addr();
        let entry = registry_entry(service, &endpoint.zone, addr, endpoint.born, models);
        self.store.publish_endpoint(&endpoint.id, &entry);
    }

    /// Publishes a configuration with all routes so far and, if given, the route `route`.
    pub(crate) fn publish_configuration(&mut self, route: Option<&str>) {
        self.version += 1;
        self.further.extend(route.map(str::to_owned));
        let configuration = configuration(self.version, PLACES, &self.further);
        self.store.publish_configuration(&configuration);
    }

    /// Starts a fault.
    pub(crate) fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(number) => {
                self.kept[number] = false;
                self.gateways[number].signal(Signal::SIGKILL);
            }
            Fault::Pause(number) => self.gateways[number].signal(Signal::SIGSTOP),
            Fault::Stop(number) => self.gateways[number].signal(Signal::SIGTERM),
            Fault::Reload(number) => self.gateways[number].signal(Signal::SIGHUP),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::StoreWay(number, mode) => self.store_ways[number].set_mode(mode),
            Fault::EndpointWay(number, mode) => self.endpoints[number].proxy.set_mode(mode),
            Fault::Restart(number) => {
                self.endpoints[number].born += 1;
                if let Service::Engine(engine) = &self.endpoints[number].what {
                    engine.restart();
                }
                self.register(&self.endpoints[number]);
            }
            Fault::LateOrders(number, by) => {
                self.set_orders(number, OrderHandling::LateUnanswered(by))
            }
            Fault::LostAnswers(number) => self.set_habit(number, Behavior::DropResponse),
            Fault::Configuration => {
                let name = format!("more{}", self.version);
                self.publish_configuration(Some(&name));
            }
        }
    }

    /// Ends a fault; has no effect on faults that have no duration.
    pub(crate) fn end(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Kill(number) => {
                self.kept[number] = true;
                self.gateways[number].run()?;
            }
            Fault::Pause(number) => self.gateways[number].signal(Signal::SIGCONT),
            Fault::Store(_) => self.store.set_mode(StoreMode::Up),
            Fault::StoreWay(number, _) => self.store_ways[number].set_mode(ProxyMode::Pass),
            Fault::EndpointWay(number, _) => self.endpoints[number].proxy.set_mode(ProxyMode::Pass),
            Fault::LateOrders(number, _) => self.set_orders(number, OrderHandling::Immediate),
            Fault::LostAnswers(number) => self.set_habit(number, Behavior::Respond),
            Fault::Stop(_) | Fault::Reload(_) | Fault::Restart(_) | Fault::Configuration => {}
        }
        Ok(())
    }

    /// Ends every fault.
    pub(crate) fn calm(&mut self) -> Result<()> {
        self.store.set_mode(StoreMode::Up);
        for way in &self.store_ways {
            way.set_mode(ProxyMode::Pass);
        }
        for endpoint in &self.endpoints {
            endpoint.proxy.set_mode(ProxyMode::Pass);
            match &endpoint.what {
                Service::Engine(engine) => engine.set_order_handling(OrderHandling::Immediate),
                Service::Desk(desk) => desk.set_behavior(Behavior::Respond),
            }
        }
        for gateway in &mut self.gateways {
            gateway.signal(Signal::SIGCONT);
        }
        self.kept.fill(true);
        self.keep()
    }

    /// Restarts gateways that have exited, as a platform does, except those that a fault keeps
    /// down.
    pub(crate) fn keep(&mut self) -> Result<()> {
        for (gateway, kept) in self.gateways.iter_mut().zip(&self.kept) {
            if *kept {
                gateway.run()?;
            }
        }
        Ok(())
    }

    /// Sets how an engine handles orders; has no effect on an endpoint without engine.
    fn set_orders(&self, number: usize, orders: OrderHandling) {
        if let Service::Engine(engine) = &self.endpoints[number].what {
            engine.set_order_handling(orders);
        }
    }

    /// Sets how an endpoint without engine responds; `number` counts only such endpoints.
    fn set_habit(&self, number: usize, habit: Behavior) {
        let mut desks = self.endpoints.iter().filter_map(|e| match &e.what {
            Service::Desk(desk) => Some(desk),
            Service::Engine(_) => None,
        });
        if let Some(desk) = desks.nth(number) {
            desk.set_behavior(habit);
        }
    }
}

/// Interval at which exited gateways are restarted; platforms take about as long.
pub(crate) const KEEP_PAUSE: Duration = Duration::from_millis(200);
