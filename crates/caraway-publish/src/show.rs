//! The command `show`.

use anyhow::Result;
use caraway_records::Current;

use crate::{
    exit::Exit,
    flags::CarawayPublish,
    log_reader::LogReader,
    report::{RecordLine, Report},
    require_addr,
};

/// Shows the latest record of each key, or of the keys that match `key`.
pub(crate) async fn show(flags: &CarawayPublish, key: Option<&str>) -> Result<Report> {
    let mut reader = LogReader::new(require_addr(flags.log, "--log")?).await?;
    reader.catch_up().await?;
    let state = reader.state();
    let current = state
        .all()
        .filter(|c| key.is_none_or(|key| matches_key(key, c)));
    let records: Vec<RecordLine> = current.map(|c| report_line(&c)).collect();
    let summary = format!(
        "{} keys; offset {}, digest {:016x}",
        records.len(),
        state.next(),
        state.digest()
    );
    let mut report = Report::new(Exit::Done, summary);
    report.records = records;
    Ok(report)
}

/// Returns the report line of the latest record of a key.
pub(crate) fn report_line(current: &Current) -> RecordLine {
    let record = &current.record;
    let outcome = match (record.body.is_null(), current.in_force) {
        (true, true) => "deleted",
        (_, true) => "in force",
        (_, false) => "not in force",
    };
    RecordLine {
        offset: Some(current.revision),
        name: format!("{}/{}", record.kind, record.key),
        author: record.author.clone(),
        outcome: outcome.into(),
        body: record.body.clone(),
    }
}

/// Returns whether the argument `key`, KEY or KIND/KEY, matches the record's key.
fn matches_key(key: &str, current: &Current) -> bool {
    let record = &current.record;
    *key == *record.key || key == format!("{}/{}", record.kind, record.key)
}
