//! The daemon's life: start, upkeep, reload, stop.

use std::{
    path::PathBuf,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use caraway_http::ConnectTimeouts;
use caraway_platform::{Site, Topic};
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
    front,
    log::{LogLimits, LogQueue, json_logger, start_writer},
    metrics::Metrics,
    request,
    serve::{listen, serve},
    session_server,
    shared::Shared,
    topics,
};

/// Pause between looks at what has run out.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Looks between sweeps of connections and of left-out log lines.
const CHECKS_PER_SWEEP: u32 = 10;
/// Time after a stop signal in which new connections still come: the platform takes an instance
/// out after two misses, a second apart.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// Time before the end of the grace in which the daemon ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Pause between looks whether requests are still served.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

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
pub fn run(site: Site, options: &Options) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    LocalSet::new().block_on(&runtime, run_daemon(site, options))
}

async fn run_daemon(site: Site, options: &Options) -> Result<()> {
    let limits = LogLimits::default();
    let (queue, lines) = LogQueue::new(limits);
    start_writer(lines, limits);
    let log = json_logger(queue.clone(), &site.instance, &site.zone);
    let mut stop = signal(SignalKind::terminate()).context("can't take SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("can't take SIGINT")?;
    let reload = signal(SignalKind::hangup()).context("can't take SIGHUP")?;
    let metrics = Metrics::new().context("can't set up metrics")?;
    let shared = Rc::new(Shared::new(site, log, queue, metrics, new_incarnation()));
    let closing = watch::Sender::new(false);
    start_servers(&shared, options, &closing).await?;
    for topic in Topic::ALL {
        tokio::task::spawn_local(topics::follow_topic(shared.clone(), topic));
    }
    tokio::task::spawn_local(run_periodic_checks(shared.clone()));
    tokio::task::spawn_local(reload_settings(
        shared.clone(),
        options.settings.clone(),
        reload,
    ));
    emit!(shared, info, Started; "front" => %shared.site.front,
        "peers" => %shared.peer_addr(), "incarnation" => shared.incarnation,
        "store" => %shared.site.store.addr);
    let name = tokio::select! {
        _ = stop.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    drain(&shared, &closing, name).await;
    emit!(shared, info, Stopped; "in_flight" => shared.in_flight.get());
    // Lets the writer take the last lines.
    sleep(limits.pause * 2).await;
    Ok(())
}

async fn start_servers(
    shared: &Rc<Shared>,
    options: &Options,
    closing: &watch::Sender<bool>,
) -> Result<()> {
    let site = &shared.site;
    let front = listen(site.front).await?;
    let ready = listen(site.ready).await?;
    let peers = listen(shared.peer_addr()).await?;
    let own = shared.clone();
    let idle = move || own.routing().map(|r| r.limits.idle_time);
    let (own, closed) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let callers = own.caller_connections.clone();
        serve(own, front, idle, closed, &callers, request::handle).await;
    });
    let (own, closed) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let answer = |shared, request| async move { front::ready(&shared, &request) };
        serve(own, ready, || None, closed, &Rc::default(), answer).await;
    });
    let (own, closed) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let answer = |shared, request| async move { session_server::handle(&shared, request) };
        serve(own, peers, || None, closed, &Rc::default(), answer).await;
    });
    if let Some(port) = options.metrics_port {
        let metrics = listen((site.ip, port).into()).await?;
        let (own, closed) = (shared.clone(), closing.subscribe());
        tokio::task::spawn_local(async move {
            let answer = |shared, _| async move { front::metrics(&shared) };
            serve(own, metrics, || None, closed, &Rc::default(), answer).await;
        });
    }
    Ok(())
}

/// Looks at what has run out, for as long as the daemon runs.
async fn run_periodic_checks(shared: Rc<Shared>) {
    let mut rounds = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        apply::expire_endpoints(&shared);
        claim::check_zones(&shared);
        rounds += 1;
        if rounds % CHECKS_PER_SWEEP == 0 {
            shared.pool.sweep();
            shared.update_retry_limits();
            log_levels(&shared);
            for (event, lines) in shared.line_rates.take_left_out() {
                emit!(shared, info, LinesDropped; "of" => event, "lines" => lines);
            }
        }
    }
}

/// Logs what this instance's placers have to do.
fn log_levels(shared: &Rc<Shared>) {
    for held in shared.held_zones() {
        let stats = held.stats();
        emit!(shared, info, PlacerLevels; "held_zone" => &*held.zone, "token" => held.token(),
            "waiting" => stats.waiting, "running" => stats.running,
            "endpoints" => stats.endpoints, "usable" => stats.usable,
            "ordering" => stats.orderable, "empty" => stats.without_weights, "transit" => stats.loading,
            "limit" => stats.load_limit, "fetched" => stats.fetched,
            "load_ms" => millis(stats.load_time));
    }
}

/// Reads the settings again at each SIGHUP. Addresses stay as they are until a restart.
async fn reload_settings(shared: Rc<Shared>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                emit!(shared, error, SettingsBad; "error" => %e);
                continue;
            }
        };
        match Site::parse(&text) {
            Ok(site) => {
                shared.set_limits(&site);
                emit!(shared, info, Reloaded; "same" => site == shared.site);
            }
            Err(findings) => emit!(shared, error, SettingsBad; "error" => %findings),
        }
    }
}

/// Stops without cutting a request: tells the platform first, gives its zones up, and ends when
/// nothing is served any more.
async fn drain(shared: &Rc<Shared>, closing: &watch::Sender<bool>, signal: &str) {
    let start = Instant::now();
    emit!(shared, info, Draining; "signal" => signal, "in_flight" => shared.in_flight.get());
    shared.draining.send_replace(true);
    let limit = shared.site.bounds.grace.saturating_sub(GRACE_MARGIN);
    claim::release_all(shared).await;
    sleep(ACCEPT_AFTER_STOP.saturating_sub(start.elapsed())).await;
    closing.send_replace(true);
    while shared.in_flight.get() > 0 && start.elapsed() < limit {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // Answers are made by now; their callers may still read them.
    let limit = limit.min(start.elapsed() + ConnectTimeouts::default().unacknowledged);
    while shared.caller_connections.get() > 0 && start.elapsed() < limit {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    if shared.in_flight.get() > 0 {
        emit!(shared, warn, Stopped; "cut_off" => shared.in_flight.get(),
            "ms" => millis(start.elapsed()));
    }
    sleep(DRAIN_CHECK_INTERVAL).await;
}

/// Returns a number that rises with each start of this instance.
fn new_incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 can't tell runs apart; the process id does where it differs.
    now.map_or_else(|_| u64::from(std::process::id()), millis)
}
