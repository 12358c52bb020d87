//! `caraway-measure path`: the latency and CPU time that the daemon adds to a request, compared with
//! requests sent directly to the engine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use caraway_types::AdapterRef;
use caraway_wire::{EngineClient, EventStream, HttpClient, engine::CompletionRequest};
use hdrhistogram::Histogram;
use ntex::http::Method;
use serde::Serialize;
use serde_json::json;

use crate::{
    deployment::{ACCOUNT, Deployment, DeploymentPlan},
    flags::Path,
    process,
};

/// Tokens that each request generates.
const TOKENS: u32 = 32;
/// Concurrent callers in the throughput measurement.
const CALLERS: usize = 16;
/// Requests of the throughput measurement on each path, unless `--requests` sets another number; the
/// latency measurement sends a tenth of them.
const DEFAULT_REQUESTS: u32 = 2000;
/// Timeout of the direct load, and longest wait until the daemon serves a request.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const PROMPT: &str = "A follow-up note on a banner.";

/// The figures of both paths and their differences.
#[derive(Clone, Debug, Serialize)]
struct Report {
    requests: u32,
    tokens: u32,
    callers: usize,
    /// Requests sent directly to the engine.
    direct: PathFigures,
    /// Requests sent through the daemon.
    through: PathFigures,
    added_ms_p50: f64,
    cpu_us_added_per_request: f64,
    cpu_us_added_per_token: f64,
    requests_per_second_per_core: f64,
}

/// Figures of one path.
#[derive(Clone, Debug, Serialize)]
struct PathFigures {
    one_caller_ms_p50: f64,
    one_caller_ms_p99: f64,
    requests_per_second: f64,
    cpu_us_per_request: f64,
}

/// The receiver of a request.
#[derive(Clone, Debug)]
enum Target {
    Engine(SocketAddr),
    Entry(SocketAddr),
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when a request fails.
pub(crate) fn run(args: &Path) -> Result<()> {
    let requests = args.requests.unwrap_or(DEFAULT_REQUESTS);
    ensure!(requests >= 100, "--requests: at least 100");
    let deployment = Deployment::start(&DeploymentPlan::default())?;
    let targets = [
        Target::Engine(deployment.engines[0].addr()),
        Target::Entry(deployment.addr(0)),
    ];
    block_on(warm_up(deployment.engines[0].addr(), deployment.addr(0)))?;
    let [direct, through] = targets;
    let direct = block_on(measure(direct, requests))?;
    let through = block_on(measure(through, requests))?;
    deployment.stop();
    let added_cpu_us = through.cpu_us_per_request - direct.cpu_us_per_request;
    let report = Report {
        requests,
        tokens: TOKENS,
        callers: CALLERS,
        added_ms_p50: through.one_caller_ms_p50 - direct.one_caller_ms_p50,
        cpu_us_added_per_request: added_cpu_us,
        cpu_us_added_per_token: added_cpu_us / f64::from(TOKENS),
        requests_per_second_per_core: 1e6 / added_cpu_us,
        direct,
        through,
    };
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(())
}

fn print(report: &Report) {
    let Report {
        requests,
        tokens,
        callers,
        direct,
        through,
        ..
    } = report;
    println!("{requests} requests of {tokens} tokens, streamed; {callers} callers at once");
    println!("                       direct    through the daemon");
    let row = |name: &str, a: f64, b: f64| println!("{name:<20} {a:>9.2} {b:>9.2}");
    row(
        "p50 ms, one caller",
        direct.one_caller_ms_p50,
        through.one_caller_ms_p50,
    );
    row(
        "p99 ms, one caller",
        direct.one_caller_ms_p99,
        through.one_caller_ms_p99,
    );
    row(
        "requests/s",
        direct.requests_per_second,
        through.requests_per_second,
    );
    row(
        "cpu us/request",
        direct.cpu_us_per_request,
        through.cpu_us_per_request,
    );
    println!("added p50 ms: {:.3}", report.added_ms_p50);
    println!(
        "added cpu us/request: {:.1}",
        report.cpu_us_added_per_request
    );
    println!("added cpu us/token: {:.2}", report.cpu_us_added_per_token);
    println!(
        "requests/s on one core: {:.0}",
        report.requests_per_second_per_core
    );
}

/// Runs a future to its end on a new ntex system in this thread.
pub(crate) fn block_on<T: 'static>(work: impl Future<Output = Result<T>> + 'static) -> Result<T> {
    ntex::rt::System::build()
        .name("measure")
        .build(ntex::rt::DefaultRuntime)
        .block_on(work)
}

/// Loads the adapter that direct requests use, and waits until the daemon serves a request.
async fn warm_up(engine: SocketAddr, entry: SocketAddr) -> Result<()> {
    let http = HttpClient::new().await?;
    let client = EngineClient::new(http.clone(), engine);
    let adapter = AdapterRef::new("adapter-1", "v1");
    // An engine that checks fencing tokens accepts its first load even when the token isn't above
    // the holder's.
    client
        .load(&"direct".into(), &adapter, 1, READY_TIMEOUT)
        .await?;
    let entry = Target::Entry(entry);
    let deadline = Instant::now() + READY_TIMEOUT;
    while let Err(error) = send_request(&http, &entry, 0).await {
        ensure!(
            Instant::now() < deadline,
            "the daemon served no request within {READY_TIMEOUT:?}: {error:#}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Measures latency with one caller, then throughput and CPU time with [`CALLERS`].
async fn measure(target: Target, requests: u32) -> Result<PathFigures> {
    let http = HttpClient::new().await?;
    let mut latencies = Histogram::<u64>::new(3)?;
    for request_number in 0..requests / 10 {
        let start = Instant::now();
        send_request(&http, &target, request_number).await?;
        latencies.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    let (start, cpu) = (Instant::now(), process::cpu_time());
    let target = Arc::new(target);
    let requests_per_caller = requests / u32::try_from(CALLERS)?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            ntex::rt::spawn(send_requests(
                http.clone(),
                Arc::clone(&target),
                requests_per_caller,
            ))
        })
        .collect();
    for caller in callers {
        caller
            .await
            .ok()
            .context("a caller panicked or was cancelled")??;
    }
    let (elapsed, cpu) = (start.elapsed(), process::cpu_time().saturating_sub(cpu));
    let sent = f64::from(requests_per_caller * u32::try_from(CALLERS)?);
    Ok(PathFigures {
        one_caller_ms_p50: ms(latencies.value_at_quantile(0.5)),
        one_caller_ms_p99: ms(latencies.value_at_quantile(0.99)),
        requests_per_second: sent / elapsed.as_secs_f64(),
        cpu_us_per_request: cpu.as_secs_f64() * 1e6 / sent,
    })
}

async fn send_requests(http: HttpClient, target: Arc<Target>, requests: u32) -> Result<()> {
    for request_number in 0..requests {
        send_request(&http, &target, request_number).await?;
    }
    Ok(())
}

/// Sends one request and reads its whole stream.
async fn send_request(http: &HttpClient, target: &Target, request_number: u32) -> Result<()> {
    let tokens = match target {
        Target::Engine(addr) => send_direct(http, *addr, request_number).await?,
        Target::Entry(addr) => send_through(http, *addr).await?,
    };
    ensure!(tokens == TOKENS, "got {tokens} tokens, expected {TOKENS}");
    Ok(())
}

/// Sends a request to the engine and returns the number of tokens.
async fn send_direct(http: &HttpClient, addr: SocketAddr, request_number: u32) -> Result<u32> {
    static NEXT_ATTEMPT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let attempt = NEXT_ATTEMPT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let request = CompletionRequest {
        model: "direct".into(),
        prompt: PROMPT.into(),
        max_tokens: TOKENS,
        stream: true,
        request_id: format!("direct-{request_number}-{attempt}").into(),
        ..CompletionRequest::default()
    };
    let mut stream = EngineClient::new(http.clone(), addr)
        .complete(&request)
        .await?;
    let mut tokens = 0;
    while stream.next().await?.is_some() {
        tokens += 1;
    }
    Ok(tokens)
}

/// Sends a request through the daemon and returns the number of tokens.
async fn send_through(http: &HttpClient, addr: SocketAddr) -> Result<u32> {
    let body = json!({
        "model": "adapter-0@v1", "prompt": PROMPT, "max_tokens": TOKENS, "stream": true,
    });
    let headers = [("x-client-account", ACCOUNT)];
    let body = Some(body.to_string().into());
    let response = http
        .send(Method::POST, addr, "/v1/completions", &headers, body)
        .await?;
    let status = response.status().as_u16();
    ensure!(
        status == 200,
        "the daemon answered with status {status}, expected 200"
    );
    let mut events = EventStream::new(response);
    let mut tokens = 0;
    while let Some(data) = events.next().await? {
        if &*data == "[DONE]" {
            return Ok(tokens);
        }
        tokens += 1;
    }
    anyhow::bail!("the stream ended before its [DONE] event")
}

#[expect(clippy::cast_precision_loss, reason = "times stay far below 2^52 us")]
fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}
