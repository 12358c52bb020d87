//! [`inject_violations`] causes rule violations through the stand-ins, to show that the checks
//! detect them.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use caraway_standin::EngineFaults;
use caraway_types::AdapterRef;
use caraway_wire::{HttpClient, engine::UnloadRequest, service::IDEMPOTENCY_KEY_HEADER};
use ntex::http::Method;
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::Fleet;

/// Number of tokens that each engine generates from another adapter version.
const WRONG_TOKENS_PER_ENGINE: u32 = 50;
/// Number of loads that are requested from the weight store at once.
const EXCESS_LOADS: u32 = 100;
/// Time limit until a load is evicted while a request runs on it.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the engines are checked for a running request.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Makes the engines send wrong tokens, executes a write twice and evicts a load that serves a
/// request.
///
/// # Errors
///
/// Returns an error if a stand-in does not answer, or if no request runs in time.
pub(crate) async fn inject_violations(fleet: &Fleet) -> Result<()> {
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            wrong_tokens: WRONG_TOKENS_PER_ENGINE,
            ..EngineFaults::default()
        });
    }
    execute_write_twice(fleet).await?;
    timeout(RUN_TIMEOUT, unload_in_use(fleet))
        .await
        .context("no request ran on an engine in time")?
}

/// Executes a write twice with one idempotency key, by sending it directly to a replica.
async fn execute_write_twice(fleet: &Fleet) -> Result<()> {
    let http = HttpClient::new().await?;
    let addr = fleet
        .services
        .first()
        .context("the deployment has no service replica")?
        .addr();
    for _ in 0..2 {
        let headers = [(IDEMPOTENCY_KEY_HEADER, "spoiled")];
        let pending = http.send(Method::POST, addr, "/spoiled", &headers, None);
        pending.await?;
    }
    Ok(())
}

/// Exceeds the rate of the weight store.
///
/// This leaves no rate for the entry instances, so it is called after the last request.
pub(crate) fn exceed_store_rate(fleet: &Fleet) {
    let adapter = AdapterRef::new("spoiled", "v1");
    let now = Instant::now().into_std();
    for _ in 0..EXCESS_LOADS {
        if fleet.store.begin_load(now, &adapter).is_ok() {
            fleet.store.end_load();
        }
    }
}

/// Unloads a load on which a request runs, until an engine records a violation.
async fn unload_in_use(fleet: &Fleet) -> Result<()> {
    let http = HttpClient::new().await?;
    let has_violation = || {
        fleet
            .engines
            .iter()
            .any(|e| !e.ledger().violations.is_empty())
    };
    while !has_violation() {
        for engine in &fleet.engines {
            let ledger = engine.ledger();
            let running = ledger.runs.iter().find(|r| r.started && r.end.is_none());
            if let Some(run) = running {
                unload(&http, engine.addr(), &run.load).await?;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn unload(http: &HttpClient, addr: SocketAddr, load: &str) -> Result<()> {
    let request = UnloadRequest {
        lora_name: load.into(),
    };
    let body = serde_json::to_vec(&request)?.into();
    let path = "/v1/unload_lora_adapter";
    http.send(Method::POST, addr, path, &[], Some(body)).await?;
    Ok(())
}
