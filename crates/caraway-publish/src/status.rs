//! The command `status`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use anyhow::Result;
use caraway_types::Offset;

use crate::{
    exit::Exit,
    flags::CarawayPublish,
    instance_client::{InstanceClient, InstanceStatus},
    report::Report,
    require_addr,
};

/// Shows the configuration offset and digest of each live instance.
pub(crate) async fn status(flags: &CarawayPublish) -> Result<Report> {
    let client = InstanceClient::new(require_addr(flags.list, "--list")?).await?;
    let statuses = client.fetch_all().await?;
    let (exit, summary) = compare(&statuses);
    let mut report = Report::new(exit, summary);
    report.instances = statuses;
    Ok(report)
}

/// Returns whether all instances have the same configuration in force, as exit code and summary.
fn compare(statuses: &[InstanceStatus]) -> (Exit, String) {
    let mut digests_by_offset: BTreeMap<Offset, BTreeSet<Arc<str>>> = BTreeMap::new();
    for status in statuses {
        if let (Some(offset), Some(digest)) = (status.offset, &status.digest) {
            digests_by_offset
                .entry(offset)
                .or_default()
                .insert(digest.clone());
        }
    }
    let diverged = digests_by_offset.iter().find(|(_, d)| d.len() > 1);
    if let Some((offset, _)) = diverged {
        return (
            Exit::Diverged,
            format!("instances have different digests at offset {offset}"),
        );
    }
    let unreachable = statuses.iter().filter(|s| s.offset.is_none()).count();
    if digests_by_offset.len() == 1 && unreachable == 0 {
        let count = statuses.len();
        return (Exit::Done, format!("{count} instances agree"));
    }
    let offsets = digests_by_offset.len();
    let summary = format!("instances are at {offsets} offsets; {unreachable} do not respond");
    (Exit::Lagging, summary)
}
