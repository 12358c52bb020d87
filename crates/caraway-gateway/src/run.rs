//! The daemon's life: start, upkeep, reload, stop.

use std::{
    path::PathBuf,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use caraway_http::ConnectTimeouts;
use caraway_platform::{InstanceSettings, Topic};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::LocalSet,
    time::{Instant, sleep},
};

use crate::{
    apply, claim,
    event::emit,
    executor::millis,
    follow,
    log::{LogLimits, LogQueue, json_logger, start_writer},
    metrics::Metrics,
    monitoring, peer, request,
    serve::{listen, serve},
    shared::Shared,
};

/// Pause between looks at what has run out.
const UPKEEP_PAUSE: Duration = Duration::from_millis(100);
/// Looks between sweeps of connections and of left-out log lines.
const SWEEP_LOOKS: u32 = 10;
/// Time after a stop signal in which new connections still come: the platform takes an instance
/// out after two misses, a second apart.
const TURN_AWAY: Duration = Duration::from_millis(2500);
/// Time before the end of the grace in which the daemon ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Pause between looks whether requests are still served.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// What the command line sets.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The settings file, read again at SIGHUP.
    pub settings: PathBuf,
    /// Port on which metrics are served; none without.
    pub metrics_port: Option<u16>,
}

/// Serves until SIGTERM or SIGINT, then finishes what it has.
///
/// # Errors
///
/// Returns an error when an address can't be used or signals can't be taken.
pub fn run(site: InstanceSettings, options: &Options) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    LocalSet::new().block_on(&runtime, live(site, options))
}

async fn live(site: InstanceSettings, options: &Options) -> Result<()> {
    let limits = LogLimits::default();
    let (queue, lines) = LogQueue::new(limits);
    start_writer(lines, limits);
    let log = json_logger(queue.clone(), &site.instance, &site.zone);
    let mut stop = signal(SignalKind::terminate()).context("can't take SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("can't take SIGINT")?;
    let reload = signal(SignalKind::hangup()).context("can't take SIGHUP")?;
    let metrics = Metrics::new().context("can't set up metrics")?;
    let shared = Rc::new(Shared::new(site, log, queue, metrics, incarnation()));
    let closing = watch::Sender::new(false);
    start_servers(&shared, options, &closing).await?;
    for topic in Topic::ALL {
        tokio::task::spawn_local(follow::follow(shared.clone(), topic));
    }
    tokio::task::spawn_local(upkeep(shared.clone()));
    tokio::task::spawn_local(reload_settings(
        shared.clone(),
        options.settings.clone(),
        reload,
    ));
    emit!(shared, info, Started; "front" => %shared.site.front_addr,
        "peers" => %shared.peer_addr(), "incarnation" => shared.incarnation,
        "store" => %shared.site.store.addr);
    let name = tokio::select! {
        _ = stop.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    drain(&shared, &closing, name).await;
    emit!(shared, info, Stopped; "in_flight" => shared.in_flight.get());
    // Lets the writer take the last lines.
    sleep(limits.flush_interval * 2).await;
    Ok(())
}

async fn start_servers(
    shared: &Rc<Shared>,
    options: &Options,
    closing: &watch::Sender<bool>,
) -> Result<()> {
    let site = &shared.site;
    let front = listen(site.front_addr).await?;
    let ready = listen(site.ready_addr).await?;
    let peers = listen(shared.peer_addr()).await?;
    let own = shared.clone();
    let idle = move || own.routing().map(|r| r.limits.idle_time);
    let (own, closed) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let callers = own.callers.clone();
        serve(own, front, idle, closed, &callers, request::handle).await;
    });
    let (own, closed) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let answer = |shared, request| async move { monitoring::readiness(&shared, &request) };
        serve(own, ready, || None, closed, &Rc::default(), answer).await;
    });
    let (own, closed) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let answer = |shared, request| async move { peer::handle(&shared, request) };
        serve(own, peers, || None, closed, &Rc::default(), answer).await;
    });
    if let Some(port) = options.metrics_port {
        let metrics = listen((site.ip, port).into()).await?;
        let (own, closed) = (shared.clone(), closing.subscribe());
        tokio::task::spawn_local(async move {
            let answer = |shared, _| async move { monitoring::metrics(&shared) };
            serve(own, metrics, || None, closed, &Rc::default(), answer).await;
        });
    }
    Ok(())
}

/// Looks at what has run out, for as long as the daemon runs.
async fn upkeep(shared: Rc<Shared>) {
    let mut looks = 0;
    loop {
        sleep(UPKEEP_PAUSE).await;
        apply::expire(&shared);
        claim::look(&shared);
        looks += 1;
        if looks % SWEEP_LOOKS == 0 {
            shared.pool.sweep();
            shared.share_repeats();
            log_levels(&shared);
            for (event, lines) in shared.lines.take_suppressed() {
                emit!(shared, info, LinesSuppressed; "of" => event, "lines" => lines);
            }
        }
    }
}

/// Logs what this instance's placers have to do.
fn log_levels(shared: &Rc<Shared>) {
    for desk in shared.own_desks() {
        let levels = desk.levels();
        emit!(shared, info, PlacerStats; "held_zone" => &*desk.zone, "token" => desk.token(),
            "waiting" => levels.waiting, "running" => levels.running,
            "endpoints" => levels.endpoints, "usable" => levels.usable,
            "ordering" => levels.orderable, "empty" => levels.without_weights, "transit" => levels.loading,
            "limit" => levels.load_limit, "fetched" => levels.fetched,
            "load_ms" => millis(levels.load_time));
    }
}

/// Reads the settings again at each SIGHUP. Addresses stay as they are until a restart.
async fn reload_settings(shared: Rc<Shared>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                emit!(shared, error, SettingsInvalid; "error" => %e);
                continue;
            }
        };
        match InstanceSettings::parse(&text) {
            Ok(site) => {
                shared.set_limits(&site);
                emit!(shared, info, SettingsReloaded; "same" => site == shared.site);
            }
            Err(findings) => emit!(shared, error, SettingsInvalid; "error" => %findings),
        }
    }
}

/// Stops without cutting a request: tells the platform first, gives its zones up, and ends when
/// nothing is served any more.
async fn drain(shared: &Rc<Shared>, closing: &watch::Sender<bool>, signal: &str) {
    let start = Instant::now();
    emit!(shared, info, Draining; "signal" => signal, "in_flight" => shared.in_flight.get());
    shared.leaving.send_replace(true);
    let limit = shared.site.bounds.grace.saturating_sub(GRACE_MARGIN);
    claim::release_all(shared).await;
    sleep(TURN_AWAY.saturating_sub(start.elapsed())).await;
    closing.send_replace(true);
    while shared.in_flight.get() > 0 && start.elapsed() < limit {
        sleep(STOP_PAUSE).await;
    }
    // Answers are made by now; their callers may still read them.
    let limit = limit.min(start.elapsed() + ConnectTimeouts::default().unacknowledged);
    while shared.callers.get() > 0 && start.elapsed() < limit {
        sleep(STOP_PAUSE).await;
    }
    if shared.in_flight.get() > 0 {
        emit!(shared, warn, Stopped; "cut_off" => shared.in_flight.get(),
            "ms" => millis(start.elapsed()));
    }
    sleep(STOP_PAUSE).await;
}

/// Returns a number that rises with each start of this instance.
fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 can't tell runs apart; the process id does where it differs.
    now.map_or_else(|_| u64::from(std::process::id()), millis)
}
