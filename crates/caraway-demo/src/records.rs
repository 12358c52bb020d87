//! Builds the configuration records of a deployment.

use std::sync::Arc;

use caraway_records::{Record, Routing};
use caraway_types::{AdapterRef, Offset};
use serde_json::{Value, json};

use crate::deployment::Deployment;

/// Offset of the routing record, which is published first.
pub(crate) const ROUTING_OFFSET: Offset = 0;
/// Rate limit of the client account, in requests per second; high enough that no request meets it.
const ACCOUNT_REQUESTS_PER_S: f64 = 10_000.0;

/// Returns all records, in the order in which they are published.
pub(crate) fn config_records(deployment: &Deployment) -> Vec<Arc<str>> {
    let account = json!({
        "rate": ACCOUNT_REQUESTS_PER_S, "burst": 10_000, "max_queued": 10_000, "retry_ratio": 0.1,
    });
    let mut records = vec![
        routing_record(deployment, None),
        encode_record("account", deployment.account, None, account),
        encode_record("service", deployment.service, None, json!({})),
    ];
    for rank in 0..deployment.adapter_count {
        let (adapter, default) = (adapter_name(deployment, rank), default_version(rank));
        for version in ["v1", "v2"] {
            let key = format!("{adapter}@{version}");
            records.push(encode_record("adapter_version", &key, None, json!({})));
        }
        records.push(encode_record(
            "adapter",
            &adapter,
            None,
            json!({ "version": default }),
        ));
    }
    records
}

/// Returns the routing record: a change to the revision at `base`, or the first one for `None`.
pub(crate) fn routing_record(deployment: &Deployment, base: Option<Offset>) -> Arc<str> {
    let routing = Routing {
        stall_weight: deployment.stall_weight,
        batch_weight: deployment.batch_weight,
        ..Routing::default()
    };
    let body = serde_json::to_value(routing).unwrap_or_default();
    encode_record("routing", "default", base, body)
}

/// Returns the name of the adapter with this popularity rank; rank 0 is the most popular.
pub(crate) fn adapter_name(deployment: &Deployment, rank: u32) -> String {
    format!("{}-{rank:04}", deployment.adapter_prefix)
}

/// Returns the version that serves requests which name the adapter without a version.
pub(crate) fn default_version(rank: u32) -> &'static str {
    if rank.is_multiple_of(2) { "v1" } else { "v2" }
}

/// Returns a version of the adapter with this popularity rank.
pub(crate) fn adapter_ref(deployment: &Deployment, rank: u32, version: &str) -> AdapterRef {
    AdapterRef::new(adapter_name(deployment, rank), version)
}

/// Returns a record as JSON.
///
/// The id is derived from key and base, so publishing a record again is recognized as a duplicate.
fn encode_record(kind: &str, key: &str, base: Option<Offset>, body: Value) -> Arc<str> {
    let revision = base.map_or_else(|| "first".to_owned(), |base| format!("after-{base}"));
    Record {
        schema: 1,
        kind: kind.into(),
        key: key.into(),
        base,
        id: format!("demo-{kind}-{key}-{revision}").into(),
        author: Some("caraway-demo".into()),
        body,
    }
    .to_json()
}
