//! `caraway-measure path`: what the daemon adds to a request, against the engine called directly.

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
    cpu,
    deployment::{ACCOUNT, Deployment, Plan},
    flags::Path,
};

const TOKENS: u32 = 32;
const CALLERS: usize = 16;
const REQUESTS: u32 = 2000;
const LOAD_LIMIT: Duration = Duration::from_secs(10);
const PROMPT: &str = "A follow-up note on a banner.";

/// The two ways side by side.
#[derive(Clone, Debug, Serialize)]
struct Report {
    requests: u32,
    tokens: u32,
    callers: usize,
    direct: Way,
    through: Way,
    added_ms_p50: f64,
    cpu_us_added_per_request: f64,
    cpu_us_added_per_token: f64,
    requests_per_second_per_core: f64,
}

/// Figures of one way.
#[derive(Clone, Debug, Serialize)]
struct Way {
    one_caller_ms_p50: f64,
    one_caller_ms_p99: f64,
    requests_per_second: f64,
    cpu_us_per_request: f64,
}

/// Where a request goes.
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
    let requests = args.requests.unwrap_or(REQUESTS);
    ensure!(requests >= 100, "--requests: at least 100");
    let deployment = Deployment::start(&Plan::default())?;
    let targets = [
        Target::Engine(deployment.engines[0].addr()),
        Target::Entry(deployment.addr(0)),
    ];
    system(prepare(deployment.engines[0].addr(), deployment.addr(0)))?;
    let [direct, through] = targets;
    let direct = system(measure(direct, requests))?;
    let through = system(measure(through, requests))?;
    deployment.stop();
    let added = through.cpu_us_per_request - direct.cpu_us_per_request;
    let report = Report {
        requests,
        tokens: TOKENS,
        callers: CALLERS,
        added_ms_p50: through.one_caller_ms_p50 - direct.one_caller_ms_p50,
        cpu_us_added_per_request: added,
        cpu_us_added_per_token: added / f64::from(TOKENS),
        requests_per_second_per_core: 1e6 / added,
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

/// Runs `work` on a system of its own.
pub(crate) fn system<T: 'static>(work: impl Future<Output = Result<T>> + 'static) -> Result<T> {
    ntex::rt::System::build()
        .name("measure")
        .build(ntex::rt::DefaultRuntime)
        .block_on(work)
}

/// Loads the adapter under the name that direct calls use, and warms the daemon up.
async fn prepare(engine: SocketAddr, entry: SocketAddr) -> Result<()> {
    let http = HttpClient::new().await?;
    let client = EngineClient::new(http.clone(), engine);
    let adapter = AdapterRef::new("adapter-1", "v1");
    // Without a fencing token above the holder's, a checking engine still takes a first load.
    client
        .load(&"direct".into(), &adapter, 1, LOAD_LIMIT)
        .await?;
    let entry = Target::Entry(entry);
    let deadline = Instant::now() + LOAD_LIMIT;
    while let Err(error) = once(&http, &entry, 0).await {
        ensure!(
            Instant::now() < deadline,
            "the daemon does not answer: {error:#}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn measure(target: Target, requests: u32) -> Result<Way> {
    let http = HttpClient::new().await?;
    let mut alone = Histogram::<u64>::new(3)?;
    for n in 0..requests / 10 {
        let start = Instant::now();
        once(&http, &target, n).await?;
        alone.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    let (start, cpu) = (Instant::now(), cpu::process_time());
    let target = Arc::new(target);
    let share = requests / u32::try_from(CALLERS)?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| ntex::rt::spawn(many(http.clone(), Arc::clone(&target), share)))
        .collect();
    for caller in callers {
        caller.await.ok().context("a caller ended early")??;
    }
    let (time, cpu) = (start.elapsed(), cpu::process_time().saturating_sub(cpu));
    let sent = f64::from(share * u32::try_from(CALLERS)?);
    Ok(Way {
        one_caller_ms_p50: ms(alone.value_at_quantile(0.5)),
        one_caller_ms_p99: ms(alone.value_at_quantile(0.99)),
        requests_per_second: sent / time.as_secs_f64(),
        cpu_us_per_request: cpu.as_secs_f64() * 1e6 / sent,
    })
}

async fn many(http: HttpClient, target: Arc<Target>, requests: u32) -> Result<()> {
    for n in 0..requests {
        once(&http, &target, n).await?;
    }
    Ok(())
}

/// Sends one request and reads its whole stream.
async fn once(http: &HttpClient, target: &Target, n: u32) -> Result<()> {
    let tokens = match target {
        Target::Engine(addr) => direct(http, *addr, n).await?,
        Target::Entry(addr) => through(http, *addr).await?,
    };
    ensure!(tokens == TOKENS, "{tokens} tokens in place of {TOKENS}");
    Ok(())
}

async fn direct(http: &HttpClient, addr: SocketAddr, n: u32) -> Result<u32> {
    static ATTEMPTS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let attempt = ATTEMPTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let request = CompletionRequest {
        model: "direct".into(),
        prompt: PROMPT.into(),
        max_tokens: TOKENS,
        stream: true,
        request_id: format!("direct-{n}-{attempt}").into(),
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

async fn through(http: &HttpClient, addr: SocketAddr) -> Result<u32> {
    let body = json!({
        "model": "adapter-0@v1", "prompt": PROMPT, "max_tokens": TOKENS, "stream": true,
    });
    let headers = [("x-client-account", ACCOUNT)];
    let body = Some(body.to_string().into());
    let response = http
        .send(Method::POST, addr, "/v1/completions", &headers, body)
        .await?;
    let status = response.status().as_u16();
    ensure!(status == 200, "status {status}");
    let mut events = EventStream::new(response);
    let mut tokens = 0;
    while let Some(data) = events.next().await? {
        if &*data == "[DONE]" {
            return Ok(tokens);
        }
        tokens += 1;
    }
    anyhow::bail!("the stream ended early")
}

#[expect(clippy::cast_precision_loss, reason = "times stay far below 2^52 us")]
fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}
