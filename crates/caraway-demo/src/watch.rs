//! [`watch`] publishes a change and follows the configuration in force at every instance.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use caraway_wire::Http;
use tokio::time::{Instant, sleep};

use crate::{
    deployment::Deployment,
    floor::{offset, publish},
    records::{ROUTING_OFFSET, routing},
    rules::{Rule, Rules},
};

/// Interval at which each instance is asked for its offset.
const POLL: Duration = Duration::from_millis(200);
/// Most time until a published change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Publishes a change at `at`, and checks until `end` that no instance reverts.
///
/// # Errors
///
/// Returns the error of the log.
pub(crate) async fn watch(
    deployment: &Deployment,
    log: SocketAddr,
    entries: &[SocketAddr],
    at: Instant,
    end: Instant,
) -> anyhow::Result<Rules> {
    let http = Http::new().await?;
    let mut rules = Rules::default();
    let mut seen = BTreeMap::new();
    look_until(&http, entries, at, &mut seen, &mut rules).await;
    let target = publish(log, routing(deployment, Some(ROUTING_OFFSET))).await?;
    let published = Instant::now();
    let late = published + IN_FORCE_LIMIT;
    while Instant::now() < late && seen.values().any(|offset| *offset < target) {
        look(&http, entries, &mut seen, &mut rules).await;
        sleep(POLL).await;
    }
    for entry in entries {
        let in_force = seen.get(entry).is_some_and(|offset| *offset >= target);
        let broken = (!in_force).then(|| format!("{entry}: not in force in {IN_FORCE_LIMIT:?}"));
        rules.check(Rule::Configuration, broken);
    }
    look_until(&http, entries, end, &mut seen, &mut rules).await;
    Ok(rules)
}

async fn look_until(
    http: &Http,
    entries: &[SocketAddr],
    end: Instant,
    seen: &mut BTreeMap<SocketAddr, u64>,
    rules: &mut Rules,
) {
    while Instant::now() < end {
        look(http, entries, seen, rules).await;
        sleep(POLL).await;
    }
}

/// Asks each instance for its offset and checks that it did not fall.
async fn look(
    http: &Http,
    entries: &[SocketAddr],
    seen: &mut BTreeMap<SocketAddr, u64>,
    rules: &mut Rules,
) {
    for entry in entries {
        let Some(now) = offset(http, *entry).await else {
            continue;
        };
        let before = seen.insert(*entry, now).unwrap_or_default();
        let broken = (now < before).then(|| format!("{entry}: from {before} back to {now}"));
        rules.check(Rule::Configuration, broken);
    }
}
