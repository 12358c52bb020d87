//! [`spoil`] breaks rules behind the daemons' backs, to show that the checks see it.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use caraway_standin::EngineFaults;
use caraway_types::AdapterRef;
use caraway_wire::{HttpClient, engine::UnloadRequest, service::IDEMPOTENCY_KEY_HEADER};
use ntex::http::Method;
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::Fleet;

/// Tokens of another version that each engine sends.
const WRONG_TOKENS: u32 = 50;
/// Loads that are asked of the weight store at once.
const LOADS: u32 = 100;
/// Most time until some request runs on an engine.
const RUN_LIMIT: Duration = Duration::from_secs(30);
/// Interval at which a running request is looked for.
const POLL: Duration = Duration::from_millis(5);

/// Spoils tokens, repeats a write and evicts a load that serves.
///
/// # Errors
///
/// Returns an error when a stand-in does not answer or no request runs in time.
pub(crate) async fn spoil(fleet: &Fleet) -> Result<()> {
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            wrong_tokens: WRONG_TOKENS,
            ..EngineFaults::default()
        });
    }
    repeat_write(fleet).await?;
    timeout(RUN_LIMIT, evict(fleet))
        .await
        .context("no request runs")?
}

/// Carries a write out twice.
async fn repeat_write(fleet: &Fleet) -> Result<()> {
    let http = HttpClient::new().await?;
    let addr = fleet.services.first().context("no service")?.addr();
    for _ in 0..2 {
        let headers = [(IDEMPOTENCY_KEY_HEADER, "spoiled")];
        let call = http.send(Method::POST, addr, "/spoiled", &headers, None);
        call.await?;
    }
    Ok(())
}

/// Asks the weight store for more than its rate, which leaves none for the daemons.
pub(crate) fn exceed_rate(fleet: &Fleet) {
    let adapter = AdapterRef::new("spoiled", "v1");
    let now = Instant::now().into_std();
    for _ in 0..LOADS {
        if fleet.store.begin_load(now, &adapter).is_ok() {
            fleet.store.end_load();
        }
    }
}

/// Unloads a load on which a request runs.
async fn evict(fleet: &Fleet) -> Result<()> {
    let http = HttpClient::new().await?;
    let violated = || {
        fleet
            .engines
            .iter()
            .any(|e| !e.ledger().violations.is_empty())
    };
    while !violated() {
        for engine in &fleet.engines {
            let ledger = engine.ledger();
            let running = ledger.runs.iter().find(|r| r.started && r.end.is_none());
            if let Some(run) = running {
                unload(&http, engine.addr(), &run.load).await?;
            }
        }
        sleep(POLL).await;
    }
    Ok(())
}

async fn unload(http: &HttpClient, addr: SocketAddr, load: &str) -> Result<()> {
    let order = UnloadRequest {
        lora_name: load.into(),
    };
    let body = serde_json::to_vec(&order)?.into();
    let path = "/v1/unload_lora_adapter";
    http.send(Method::POST, addr, path, &[], Some(body)).await?;
    Ok(())
}
