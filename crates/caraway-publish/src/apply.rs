//! The commands `check` and `apply`.

use std::{path::Path, sync::Arc, time::Duration};

use anyhow::{Result, anyhow};
use caraway_records::{Outcome, RefusedRecord, State};
use caraway_types::Offset;
use caraway_wire::log::CONFIG_STREAM;

use crate::{
    exit::Exit,
    file,
    flags::{Apply, CarawayPublish},
    instance_client::InstanceClient,
    log_reader::{FoldedRecord, LogReader},
    plan::{Plan, PlannedRecord},
    report::{Conflict, RecordLine, Report},
    require_addr,
};

/// Maximum number of records in one append.
const BATCH_RECORDS: usize = 100;
/// Maximum number of attempts of one append.
const MAX_ATTEMPTS: u32 = 5;
/// Pause after a failed attempt, before the log is read back.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Default of `--limit-s`: maximum time to wait until a change is in force, in seconds.
const DEFAULT_WAIT_SECONDS: u64 = 10;

/// Checks a file by itself and, with `--log`, against the published records.
pub(crate) async fn check(flags: &CarawayPublish, path: &Path) -> Result<Report> {
    let drafts = match file::read(path) {
        Ok(drafts) => drafts,
        Err(findings) => return Ok(findings_report(findings)),
    };
    let author = flags.author.as_deref();
    let Some(addr) = flags.log else {
        let plan = Plan::offline(drafts, author);
        return Ok(checked_report(plan, None));
    };
    let mut reader = LogReader::new(addr).await?;
    reader.catch_up().await?;
    let plan = Plan::new(reader.state(), drafts, author);
    Ok(checked_report(plan, Some(&reader)))
}

/// Publishes the records of a file; with `--wait`, waits until they are in force.
pub(crate) async fn apply(flags: &CarawayPublish, apply: &Apply) -> Result<Report> {
    let drafts = match file::read(&apply.file) {
        Ok(drafts) => drafts,
        Err(findings) => return Ok(findings_report(findings)),
    };
    let mut reader = LogReader::new(require_addr(flags.log, "--log")?).await?;
    let client = if apply.wait {
        Some(InstanceClient::new(require_addr(flags.list, "--list")?).await?)
    } else {
        None
    };
    reader.catch_up().await?;
    let plan = Plan::new(reader.state(), drafts, flags.author.as_deref());
    if !plan.findings.is_empty() || !plan.conflicts.is_empty() {
        return Ok(checked_report(plan, Some(&reader)));
    }
    for batch in plan.records.chunks(BATCH_RECORDS) {
        append(&mut reader, batch).await?;
    }
    let report = published_report(&reader, &plan);
    if report.exit != Exit::Done {
        return Ok(report);
    }
    let Some(client) = client else {
        return Ok(report);
    };
    let limit = Duration::from_secs(apply.limit_s.unwrap_or(DEFAULT_WAIT_SECONDS));
    let next = last_offset(&reader, &plan).map_or(reader.state().next(), |last| last + 1);
    client.wait_until_folded(next, limit, report).await
}

/// Appends a batch and retries on failure.
///
/// A failed append may have taken effect, so the log is read back before each retry. A retry keeps
/// the ids of the records, so if an earlier attempt takes effect late, the copies change nothing.
async fn append(reader: &mut LogReader, batch: &[PlannedRecord]) -> Result<()> {
    let texts: Vec<Arc<str>> = batch.iter().map(|p| p.text.clone()).collect();
    let mut last_error = anyhow!("the append was not sent");
    for _ in 0..MAX_ATTEMPTS {
        match reader.client().append(CONFIG_STREAM, texts.clone()).await {
            Ok(_) => return reader.catch_up().await,
            Err(error) => last_error = error.into(),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        if let Err(error) = reader.catch_up().await {
            let message = "the response to an append was lost and the log cannot be read back; \
                the records may be published: apply the same file again";
            return Err(error.context(message).context(Exit::Unreachable));
        }
        if batch.iter().all(|p| find_record(reader, p).is_some()) {
            return Ok(());
        }
    }
    let message = "the log accepts no appends; the last batch is not in the log so far";
    Err(last_error.context(message).context(Exit::Unreachable))
}

/// Returns the first record of the log that has the text of a planned record, with its offset.
fn find_record<'a>(
    reader: &'a LogReader,
    planned: &PlannedRecord,
) -> Option<(Offset, &'a FoldedRecord)> {
    reader.records().find(|(_, f)| f.text == planned.text)
}

/// Returns the largest offset of the plan's records in the log.
fn last_offset(reader: &LogReader, plan: &Plan) -> Option<Offset> {
    let found = plan.records.iter().filter_map(|p| find_record(reader, p));
    found.map(|(offset, _)| offset).max()
}

/// Reports the outcomes of the published records.
fn published_report(reader: &LogReader, plan: &Plan) -> Report {
    let mut report = Report::new(Exit::Done, "");
    for planned in &plan.records {
        let Some((offset, folded)) = find_record(reader, planned) else {
            continue;
        };
        report.records.extend(folded.report_line(offset));
        match &folded.outcome {
            Some(Outcome::Refused(RefusedRecord::Conflict { current, .. })) => {
                report.exit = Exit::Conflict;
                report
                    .conflicts
                    .push(describe_conflict(reader, planned, *current));
            }
            Some(Outcome::Applied) | None => {}
            Some(_) if report.exit == Exit::Done => report.exit = Exit::Findings,
            Some(_) => {}
        }
    }
    let (count, unchanged) = (report.records.len(), plan.unchanged.len());
    report.summary = match report.exit {
        Exit::Done => format!("published {count} records; {unchanged} keys were unchanged"),
        _ => "not all records are in force".into(),
    };
    report
}

/// Reports a plan that is not published.
fn checked_report(plan: Plan, reader: Option<&LogReader>) -> Report {
    let exit = match (plan.findings.is_empty(), plan.conflicts.is_empty()) {
        (false, _) => Exit::Findings,
        (true, false) => Exit::Conflict,
        (true, true) => Exit::Done,
    };
    let (count, unchanged) = (plan.records.len(), plan.unchanged.len());
    let summary = match exit {
        Exit::Done => format!("{count} records to publish; {unchanged} keys are unchanged"),
        _ => format!("{exit}; nothing is published"),
    };
    let mut report = Report::new(exit, summary);
    for (record, current) in plan.conflicts {
        let text = record.to_json();
        let planned = PlannedRecord { record, text };
        if let Some(reader) = reader {
            report
                .conflicts
                .push(describe_conflict(reader, &planned, current));
        }
    }
    report.findings = plan.findings;
    report
}

/// Describes a conflict, with the records of the key that were accepted after the record's base.
fn describe_conflict(
    reader: &LogReader,
    planned: &PlannedRecord,
    current: Option<Offset>,
) -> Conflict {
    let record = &planned.record;
    let name = format!("{}/{}", record.kind, record.key);
    let is_between = |(offset, folded): &(Offset, &FoldedRecord)| {
        let after_base = record.base.is_none_or(|base| *offset > base);
        let up_to_current = current.is_none_or(|current| *offset <= current);
        let is_accepted = folded.outcome.as_ref().is_some_and(Outcome::is_accepted);
        after_base && up_to_current && is_accepted
    };
    let since = reader.records().filter(is_between);
    let lines = since.filter_map(|(offset, folded)| folded.report_line(offset));
    let mut since: Vec<RecordLine> = lines.filter(|l| l.name == name).collect();
    if since.is_empty() {
        since.extend(latest_line(reader.state(), &record.kind, &record.key));
    }
    Conflict {
        name,
        base: record.base,
        current,
        since,
    }
}

/// Returns the report line of the latest record of a key.
fn latest_line(state: &State, kind: &str, key: &str) -> Option<RecordLine> {
    state
        .current(kind, key)
        .map(|c| crate::show::report_line(&c))
}

/// Reports findings that prevent a file from being read as records.
fn findings_report(findings: caraway_types::Findings) -> Report {
    let mut report = Report::new(
        Exit::Findings,
        "findings in the input; nothing is published",
    );
    report.findings = findings;
    report
}
