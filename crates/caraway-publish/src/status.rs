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
    instances::{InstanceStatus, Instances},
    needed,
    report::Report,
};

/// Shows the configuration offset and digest of each live instance.
pub(crate) async fn status(flags: &CarawayPublish) -> Result<Report> {
    let instances = Instances::new(needed(flags.list, "--list")?).await?;
    let statuses = instances.ask().await?;
    let (exit, summary) = judge(&statuses);
    let mut report = Report::new(exit, summary);
    report.instances = statuses;
    Ok(report)
}

/// Returns whether all instances have the same configuration in force, as exit code and summary.
fn judge(statuses: &[InstanceStatus]) -> (Exit, String) {
    let mut digests: BTreeMap<Offset, BTreeSet<Arc<str>>> = BTreeMap::new();
    for status in statuses {
        if let (Some(offset), Some(digest)) = (status.offset, &status.digest) {
            digests.entry(offset).or_default().insert(digest.clone());
        }
    }
    let split = digests.iter().find(|(_, d)| d.len() > 1);
    if let Some((offset, _)) = split {
        return (
            Exit::Diverged,
            format!("instances have different digests at offset {offset}"),
        );
    }
    let silent = statuses.iter().filter(|s| s.offset.is_none()).count();
    if digests.len() == 1 && silent == 0 {
        let count = statuses.len();
        return (Exit::Done, format!("{count} instances agree"));
    }
    let offsets = digests.len();
    let summary = format!("instances are at {offsets} offsets; {silent} do not respond");
    (Exit::Lagging, summary)
}
