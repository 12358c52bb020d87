//! The command `history`.

use anyhow::Result;

use crate::{
    exit::Exit,
    feed::Feed,
    flags::CarawayPublish,
    needed,
    report::{RecordLine, Report},
};

/// Shows the records of a key that the log still retains, including refused ones.
pub(crate) async fn history(flags: &CarawayPublish, key: &str) -> Result<Report> {
    let mut feed = Feed::new(needed(flags.log, "--log")?).await?;
    feed.catch_up().await?;
    let lines = feed.records().filter_map(|(offset, f)| f.line(offset));
    let records: Vec<RecordLine> = lines.filter(|l| names(key, &l.name)).collect();
    let summary = format!("{} records in the retained part of the log", records.len());
    let mut report = Report::new(Exit::Done, summary);
    report.records = records;
    Ok(report)
}

/// Returns whether the argument `key`, KEY or KIND/KEY, matches `name`, which is KIND/KEY.
fn names(key: &str, name: &str) -> bool {
    key == name || name.split_once('/').is_some_and(|(_, k)| k == key)
}
