//! `history`.

use anyhow::Result;

use crate::{
    exit::Exit,
    feed::Feed,
    flags::CarawayPublish,
    needed,
    report::{RecordLine, Report},
};

/// Shows what the log still keeps of a key, also what was refused.
pub(crate) async fn history(flags: &CarawayPublish, key: &str) -> Result<Report> {
    let mut feed = Feed::new(needed(flags.log, "--log")?).await?;
    feed.catch_up().await?;
    let lines = feed.records().filter_map(|(offset, f)| f.line(offset));
    let records: Vec<RecordLine> = lines.filter(|l| names(key, &l.name)).collect();
    let summary = format!("{} records in the part that the log keeps", records.len());
    let mut report = Report::new(Exit::Done, summary);
    report.records = records;
    Ok(report)
}

/// Tells whether `key`, which is KEY or KIND/KEY, names the key `name`.
fn names(key: &str, name: &str) -> bool {
    key == name || name.split_once('/').is_some_and(|(_, k)| k == key)
}
