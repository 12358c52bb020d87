//! The commands `check` and `apply`.

use std::{path::Path, sync::Arc, time::Duration};

use anyhow::{Result, anyhow};
use caraway_records::{Outcome, RefusedRecord, State};
use caraway_types::Offset;
use caraway_wire::log::CONFIG_STREAM;

use crate::{
    exit::Exit,
    feed::{Feed, Folded},
    file,
    flags::{Apply, CarawayPublish},
    instances::Instances,
    needed,
    plan::{Plan, Planned},
    report::{Conflict, RecordLine, Report},
};

/// Maximum number of records in one append.
const BATCH: usize = 100;
/// Maximum number of attempts of one append.
const SENDINGS: u32 = 5;
/// Pause after a failed attempt, before the log is read back.
const PAUSE: Duration = Duration::from_millis(500);
/// Default of `--limit-s`: maximum time to wait until a change is in force, in seconds.
const WAIT_S: u64 = 10;

/// Checks a file by itself and, with `--log`, against the published records.
pub(crate) async fn check(flags: &CarawayPublish, path: &Path) -> Result<Report> {
    let drafts = match file::read(path) {
        Ok(drafts) => drafts,
        Err(found) => return Ok(findings(found)),
    };
    let author = flags.author.as_deref();
    let Some(addr) = flags.log else {
        let plan = Plan::offline(drafts, author);
        return Ok(checked(plan, None));
    };
    let mut feed = Feed::new(addr).await?;
    feed.catch_up().await?;
    let plan = Plan::new(feed.state(), drafts, author);
    Ok(checked(plan, Some(&feed)))
}

/// Publishes the records of a file; with `--wait`, waits until they are in force.
pub(crate) async fn apply(flags: &CarawayPublish, apply: &Apply) -> Result<Report> {
    let drafts = match file::read(&apply.file) {
        Ok(drafts) => drafts,
        Err(found) => return Ok(findings(found)),
    };
    let mut feed = Feed::new(needed(flags.log, "--log")?).await?;
    let instances = if apply.wait {
        Some(Instances::new(needed(flags.list, "--list")?).await?)
    } else {
        None
    };
    feed.catch_up().await?;
    let plan = Plan::new(feed.state(), drafts, flags.author.as_deref());
    if !plan.findings.is_empty() || !plan.conflicts.is_empty() {
        return Ok(checked(plan, Some(&feed)));
    }
    for batch in plan.records.chunks(BATCH) {
        append(&mut feed, batch).await?;
    }
    let report = published(&feed, &plan);
    if report.exit != Exit::Done {
        return Ok(report);
    }
    let Some(instances) = instances else {
        return Ok(report);
    };
    let limit = Duration::from_secs(apply.limit_s.unwrap_or(WAIT_S));
    let next = last(&feed, &plan).map_or(feed.state().next(), |last| last + 1);
    instances.wait(next, limit, report).await
}

/// Appends a batch and retries on failure.
///
/// A failed append may have taken effect, so the log is read back before each retry. A retry keeps
/// the ids of the records, so if an earlier attempt takes effect late, the copies change nothing.
async fn append(feed: &mut Feed, batch: &[Planned]) -> Result<()> {
    let texts: Vec<Arc<str>> = batch.iter().map(|p| p.text.clone()).collect();
    let mut why = anyhow!("the append was not sent");
    for _ in 0..SENDINGS {
        match feed.log().append(CONFIG_STREAM, texts.clone()).await {
            Ok(_) => return feed.catch_up().await,
            Err(error) => why = error.into(),
        }
        tokio::time::sleep(PAUSE).await;
        if let Err(error) = feed.catch_up().await {
            let doubt = "the response to an append was lost and the log cannot be read back; \
                the records may be published: apply the same file again";
            return Err(error.context(doubt).context(Exit::Unreachable));
        }
        if batch.iter().all(|p| find(feed, p).is_some()) {
            return Ok(());
        }
    }
    let doubt = "the log accepts no appends; the last batch is not in the log so far";
    Err(why.context(doubt).context(Exit::Unreachable))
}

/// Returns the first record of the log that has the text of a planned record, with its offset.
fn find<'a>(feed: &'a Feed, planned: &Planned) -> Option<(Offset, &'a Folded)> {
    feed.records().find(|(_, f)| f.text == planned.text)
}

/// Returns the largest offset of the plan's records in the log.
fn last(feed: &Feed, plan: &Plan) -> Option<Offset> {
    let places = plan.records.iter().filter_map(|p| find(feed, p));
    places.map(|(offset, _)| offset).max()
}

/// Reports the outcomes of the published records.
fn published(feed: &Feed, plan: &Plan) -> Report {
    let mut report = Report::new(Exit::Done, "");
    for planned in &plan.records {
        let Some((offset, folded)) = find(feed, planned) else {
            continue;
        };
        report.records.extend(folded.line(offset));
        match &folded.outcome {
            Some(Outcome::Refused(RefusedRecord::Conflict { current, .. })) => {
                report.exit = Exit::Conflict;
                report.conflicts.push(conflict(feed, planned, *current));
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
fn checked(plan: Plan, feed: Option<&Feed>) -> Report {
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
        let planned = Planned { record, text };
        if let Some(feed) = feed {
            report.conflicts.push(conflict(feed, &planned, current));
        }
    }
    report.findings = plan.findings;
    report
}

/// Describes a conflict, with the records of the key that were accepted after the record's base.
fn conflict(feed: &Feed, planned: &Planned, current: Option<Offset>) -> Conflict {
    let record = &planned.record;
    let name = format!("{}/{}", record.kind, record.key);
    let is_since = |(offset, folded): &(Offset, &Folded)| {
        let later = record.base.is_none_or(|base| *offset > base);
        let known = current.is_none_or(|current| *offset <= current);
        let accepted = folded.outcome.as_ref().is_some_and(Outcome::is_accepted);
        later && known && accepted
    };
    let since = feed.records().filter(is_since);
    let lines = since.filter_map(|(offset, folded)| folded.line(offset));
    let mut since: Vec<RecordLine> = lines.filter(|l| l.name == name).collect();
    if since.is_empty() {
        since.extend(latest(feed.state(), &record.kind, &record.key));
    }
    Conflict {
        name,
        base: record.base,
        current,
        since,
    }
}

/// Returns the report line of the latest record of a key.
fn latest(state: &State, kind: &str, key: &str) -> Option<RecordLine> {
    state.current(kind, key).map(|c| crate::show::line(&c))
}

/// Reports findings that prevent a file from being read as records.
fn findings(found: caraway_types::Findings) -> Report {
    let mut report = Report::new(
        Exit::Findings,
        "findings in the input; nothing is published",
    );
    report.findings = found;
    report
}
