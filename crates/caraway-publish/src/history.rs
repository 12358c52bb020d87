//! The command `history`.

use anyhow::Result;

use crate::{
    exit::Exit,
    flags::CarawayPublish,
    log_reader::LogReader,
    report::{RecordLine, Report},
    require_addr,
};

/// Shows the records of a key that the log still retains, including refused ones.
pub(crate) async fn history(flags: &CarawayPublish, key: &str) -> Result<Report> {
    let mut reader = LogReader::new(require_addr(flags.log, "--log")?).await?;
    reader.catch_up().await?;
    let lines = reader
        .records()
        .filter_map(|(offset, f)| f.report_line(offset));
    let records: Vec<RecordLine> = lines.filter(|l| matches_key(key, &l.name)).collect();
    let summary = format!("{} records in the retained part of the log", records.len());
    let mut report = Report::new(Exit::Done, summary);
    report.records = records;
    Ok(report)
}

/// Returns whether the argument `key`, KEY or KIND/KEY, matches `name`, which is KIND/KEY.
fn matches_key(key: &str, name: &str) -> bool {
    key == name || name.split_once('/').is_some_and(|(_, k)| k == key)
}
