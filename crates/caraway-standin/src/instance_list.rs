//! [`InstanceList`]: a test double for the platform's instance list, which answers with a lag.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use caraway_types::Millis;
use caraway_wire::list::{ListEntry, Listing};
use ntex::web::{self, HttpResponse, ServiceConfig, types::State};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server_thread::ServerThread;

/// Settings of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListSettings {
    /// Port of the server; zero lets the operating system choose.
    pub port: u16,
    /// How long a change takes to show in the answers.
    pub lag: Millis,
}

impl Default for ListSettings {
    fn default() -> Self {
        Self {
            port: 0,
            lag: Millis::new(1_000),
        }
    }
}

/// Faults to inject into the instance list; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Whether every request fails with status 503.
    pub down: bool,
    /// Time added to the lag.
    pub slow: Millis,
}

/// A running instance list; dropping it stops its server.
#[derive(Debug)]
pub struct InstanceList {
    server: ServerThread,
    shared: Arc<Mutex<ListState>>,
}

/// The current members and those of the recent past.
#[derive(Debug)]
struct ListState {
    settings: ListSettings,
    faults: ListFaults,
    current: Listing,
    /// The members after each change, with its time, oldest first.
    history: VecDeque<(Instant, Listing)>,
}

impl InstanceList {
    /// Starts an instance list; its initial `members` are answered at once, without lag.
    ///
    /// # Errors
    ///
    /// Returns the error of starting its server.
    pub fn start(settings: ListSettings, members: Vec<ListEntry>) -> io::Result<Self> {
        let port = settings.port;
        let first = Listing { members };
        let shared = Arc::new(Mutex::new(ListState {
            settings,
            faults: ListFaults::default(),
            history: VecDeque::from([(Instant::now(), first.clone())]),
            current: first,
        }));
        let no_task = |_| std::future::ready(());
        let server = ServerThread::start("list", port, Arc::clone(&shared), add_routes, no_task)?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the list's server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the server and waits for its thread to end.
    pub fn stop(&mut self) {
        self.server.stop();
    }

    /// Adds a member or replaces the one with the same id.
    pub fn set(&self, member: ListEntry) {
        self.change(|members| {
            members.retain(|m| m.id != member.id);
            members.push(member);
        });
    }

    /// Marks a member as leaving.
    pub fn mark_leaving(&self, id: &str) {
        self.change(|members| {
            for member in members.iter_mut().filter(|m| *m.id == *id) {
                member.leaving = true;
            }
        });
    }

    /// Removes a member.
    pub fn remove(&self, id: &str) {
        self.change(|members| members.retain(|m| *m.id != *id));
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ListFaults) {
        self.with(|s| s.faults = faults);
    }

    fn change(&self, f: impl FnOnce(&mut Vec<ListEntry>)) {
        self.with(|s| {
            f(&mut s.current.members);
            s.history.push_back((Instant::now(), s.current.clone()));
        });
    }

    fn with<R>(&self, f: impl FnOnce(&mut ListState) -> R) -> R {
        f(&mut self.shared.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ListState {
    /// Returns the listing as it was one lag before `now`.
    fn delayed_listing(&mut self, now: Instant) -> Listing {
        let lag = self.settings.lag.get() + self.faults.slow.get();
        let history = &mut self.history;
        while history.get(1).is_some_and(|(at, _)| now - *at >= lag) {
            history.pop_front();
        }
        history.front().map(|(_, l)| l.clone()).unwrap_or_default()
    }
}

fn add_routes(config: &mut ServiceConfig) {
    config.route("/v1/instances", web::get().to(instances));
}

async fn instances(list: State<Arc<Mutex<ListState>>>) -> HttpResponse {
    let mut state = list.lock().unwrap_or_else(PoisonError::into_inner);
    if state.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&state.delayed_listing(Instant::now()))
}
