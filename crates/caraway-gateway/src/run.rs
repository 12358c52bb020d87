//! Starts the daemon, runs its periodic checks, reloads its settings and stops it.

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
    time::{Instant, sleep, sleep_until},
};

use crate::{
    apply, call_results, claim, crash_watch,
    event::emit,
    executor::millis,
    hand_over,
    log::{LogLimits, LogQueue, json_logger, start_writer},
    metrics::Metrics,
    monitoring, reach, request,
    serve::{listen, serve},
    session_server::{self, BUILD},
    shared::{LastAnswers, Shared},
    topics, version_histories,
};

/// Interval between periodic checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks between sweeps of idle connections and reports of dropped log lines.
const CHECKS_PER_SWEEP: u32 = 10;
/// Time after a stop signal during which new connections are still accepted: the platform removes
/// an instance from service after two failed readiness checks, one second apart.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period by which the daemon exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Time before the exit from which on no request is sent to an endpoint for the first time: plain ones
/// take less than a second.
const LAST_SENDS_TIME: Duration = Duration::from_secs(1);
/// Time before the exit at which the requests that are still in flight are answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);
/// Interval between checks for requests in flight while stopping.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Command-line options.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Path of the settings file, which is reloaded on SIGHUP.
    pub settings: PathBuf,
    /// Port on which metrics are served; `None` disables them.
    pub metrics_port: Option<u16>,
}

/// Serves until SIGTERM or SIGINT, then finishes the requests in flight.
///
/// # Errors
///
/// Returns an error if a listener can't be bound or a signal handler can't be installed.
pub fn run(site: InstanceSettings, options: &Options) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    LocalSet::new().block_on(&runtime, run_daemon(site, options))
}

async fn run_daemon(site: InstanceSettings, options: &Options) -> Result<()> {
    let limits = LogLimits::default();
    let (queue, lines) = LogQueue::new(limits);
    start_writer(lines, limits);
    let log = json_logger(queue.clone(), &site.instance, &site.zone);
    let mut stop = signal(SignalKind::terminate()).context("can't install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("can't install the SIGINT handler")?;
    let reload = signal(SignalKind::hangup()).context("can't install the SIGHUP handler")?;
    let metrics = Metrics::new().context("can't set up metrics")?;
    let shared = Rc::new(Shared::new(site, log, queue, metrics, new_incarnation()));
    let closing = watch::Sender::new(false);
    start_servers(&shared, options, &closing).await?;
    for topic in Topic::FOLLOWED {
        tokio::task::spawn_local(topics::follow_topic(shared.clone(), topic));
    }
    tokio::task::spawn_local(run_periodic_checks(shared.clone()));
    tokio::task::spawn_local(reload_settings(
        shared.clone(),
        options.settings.clone(),
        reload,
    ));
    emit!(shared, info, Started; "build" => BUILD, "front" => %shared.site.front_addr,
        "peers" => %shared.peer_addr(), "incarnation" => shared.incarnation,
        "store" => %shared.site.store.addr);
    let signal_name = tokio::select! {
        _ = stop.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    };
    drain(&shared, &closing, signal_name).await;
    emit!(shared, info, Stopped; "in_flight" => shared.in_flight.get());
    // Gives the log writer time to write the last lines.
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
    let state = shared.clone();
    let idle_timeout = move || state.routing().map(|r| r.limits.idle_time);
    let (state, closing_rx) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let callers = state.caller_connections.clone();
        serve(
            state,
            front,
            idle_timeout,
            closing_rx,
            &callers,
            request::handle,
        )
        .await;
    });
    let (state, closing_rx) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let handler = |shared, request| async move { monitoring::readiness(&shared, &request) };
        serve(state, ready, || None, closing_rx, &Rc::default(), handler).await;
    });
    let (state, closing_rx) = (shared.clone(), closing.subscribe());
    tokio::task::spawn_local(async move {
        let handler = |shared, request| async move {
            if hand_over::is_handed(&request) {
                hand_over::take(shared, request).await
            } else {
                session_server::handle(&shared, request)
            }
        };
        serve(state, peers, || None, closing_rx, &Rc::default(), handler).await;
    });
    if let Some(port) = options.metrics_port {
        let metrics = listen((site.ip, port).into()).await?;
        let (state, closing_rx) = (shared.clone(), closing.subscribe());
        tokio::task::spawn_local(async move {
            let handler = |shared, _| async move { monitoring::metrics(&shared) };
            serve(state, metrics, || None, closing_rx, &Rc::default(), handler).await;
        });
    }
    Ok(())
}

/// Runs the periodic checks for as long as the daemon runs.
async fn run_periodic_checks(shared: Rc<Shared>) {
    let mut rounds = 0;
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        sleep_until(due).await;
        update_load_shedder(&shared, due.elapsed());
        apply::expire_endpoints(&shared);
        claim::check_zones(&shared);
        crash_watch::draw_conclusions(&shared);
        reach::probe_if_due(&shared);
        call_results::update_held(&shared);
        rounds += 1;
        if shared.versions.is_outdated.get() || rounds % CHECKS_PER_SWEEP == 0 {
            version_histories::update_histories(&shared);
        }
        if rounds % CHECKS_PER_SWEEP == 0 {
            shared.pool.sweep();
            shared.helper_pool.sweep();
            shared.update_retry_limits();
            log_placer_stats(&shared);
            shared.quotas.view.update(&shared);
            for (event, lines) in shared.line_rates.take_suppressed() {
                emit!(shared, info, LinesSuppressed; "of" => event, "lines" => lines);
            }
        }
    }
}

/// Passes the lateness of a timer to the load shedder.
fn update_load_shedder(shared: &Shared, late: Duration) {
    let mut load_shedder = shared.load_shedder.get();
    let change = load_shedder.on_timer(late);
    shared.load_shedder.set(load_shedder);
    if let Some(is_short) = change {
        emit!(shared, warn, ProcessorTimeChanged; "short" => is_short,
            "late_ms" => millis(load_shedder.lateness()), "in_flight" => shared.in_flight.get());
    }
}

/// Logs the statistics of this instance's placers.
fn log_placer_stats(shared: &Rc<Shared>) {
    for held in shared.held_zones() {
        held.update_limit_share(shared);
        shared.on_fleet_size(held.known_instances());
        let stats = held.stats();
        emit!(shared, info, PlacerStats; "held_zone" => &*held.zone, "token" => held.token(),
            "waiting" => stats.waiting, "running" => stats.running,
            "endpoints" => stats.endpoints, "usable" => stats.usable,
            "ordering" => stats.orderable, "empty" => stats.without_weights, "transit" => stats.loading,
            "limit" => stats.load_limit, "fetched" => stats.fetched,
            "load_ms" => millis(stats.load_time), "limited" => stats.limited,
            "held_back" => stats.held_back);
    }
}

/// Reloads the settings on each SIGHUP. Changed addresses take effect only at a restart.
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

/// Stops without cutting off requests: fails the platform's readiness checks, gives up the held
/// zones, and returns when no request is in flight or the grace period is nearly over.
async fn drain(shared: &Rc<Shared>, closing: &watch::Sender<bool>, signal_name: &str) {
    let start = Instant::now();
    emit!(shared, info, Draining; "signal" => signal_name, "in_flight" => shared.in_flight.get());
    shared.draining.send_replace(true);
    let limit = shared.site.bounds.grace.saturating_sub(GRACE_MARGIN);
    claim::release_all(shared).await;
    sleep(ACCEPT_AFTER_STOP.saturating_sub(start.elapsed())).await;
    closing.send_replace(true);
    while shared.in_flight.get() > 0 && start.elapsed() < limit {
        let left = limit.saturating_sub(start.elapsed());
        if left <= LAST_ANSWERS_TIME {
            shared.last_answers.send_replace(LastAnswers::All);
        } else if left <= LAST_SENDS_TIME {
            shared.last_answers.send_replace(LastAnswers::Unsent);
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // All answers are complete by now, but callers may still be reading them.
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

/// Returns an incarnation, which increases with each start of this instance.
fn new_incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 yields no distinct numbers; the process id distinguishes most starts.
    now.map_or_else(|_| u64::from(std::process::id()), millis)
}
