//! `check` and `apply`.

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

/// Records in one append.
const BATCH: usize = 100;
/// Sendings of one append.
const SENDINGS: u32 = 5;
/// Time between two sendings.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest wait until a change is in force, unless the command line says otherwise.
const WAIT_S: u64 = 10;

/// Checks a file, with `--log` also against what is published.
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

/// Publishes a file.
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

/// Appends a batch; reads the log back before it repeats an append whose answer is lost.
///
/// The records keep their ids, so a first sending that takes effect late is no second change.
async fn append(feed: &mut Feed, batch: &[Planned]) -> Result<()> {
    let texts: Vec<Arc<str>> = batch.iter().map(|p| p.text.clone()).collect();
    let mut why = anyhow!("not sent");
    for _ in 0..SENDINGS {
        match feed.log().append(CONFIG_STREAM, texts.clone()).await {
            Ok(_) => return feed.catch_up().await,
            Err(error) => why = error.into(),
        }
        tokio::time::sleep(PAUSE).await;
        if let Err(error) = feed.catch_up().await {
            let doubt = "the answer to an append is lost and the log cannot be read back; \
                it may be published: apply the same file again";
            return Err(error.context(doubt).context(Exit::Unreachable));
        }
        if batch.iter().all(|p| find(feed, p).is_some()) {
            return Ok(());
        }
    }
    let doubt = "the log takes no appends; nothing of the last batch is in it so far";
    Err(why.context(doubt).context(Exit::Unreachable))
}

/// Returns the first place of a planned record in the log.
fn find<'a>(feed: &'a Feed, planned: &Planned) -> Option<(Offset, &'a Folded)> {
    feed.records().find(|(_, f)| f.text == planned.text)
}

/// Returns the last place of the plan's records.
fn last(feed: &Feed, plan: &Plan) -> Option<Offset> {
    let places = plan.records.iter().filter_map(|p| find(feed, p));
    places.map(|(offset, _)| offset).max()
}

/// Reports what became of the published records.
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
        Exit::Done => format!("published {count} records; {unchanged} keys were already so"),
        _ => "not all records are in force".into(),
    };
    report
}

/// Reports a plan without publishing it.
fn checked(plan: Plan, feed: Option<&Feed>) -> Report {
    let exit = match (plan.findings.is_empty(), plan.conflicts.is_empty()) {
        (false, _) => Exit::Findings,
        (true, false) => Exit::Conflict,
        (true, true) => Exit::Done,
    };
    let (count, unchanged) = (plan.records.len(), plan.unchanged.len());
    let summary = match exit {
        Exit::Done => format!("{count} records to publish; {unchanged} keys are already so"),
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

/// Says what was accepted since the revision that a record was made against.
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

/// Describes the latest record of a key.
fn latest(state: &State, kind: &str, key: &str) -> Option<RecordLine> {
    state.current(kind, key).map(|c| crate::show::line(&c))
}

fn findings(found: caraway_types::Findings) -> Report {
    let mut report = Report::new(
        Exit::Findings,
        "findings in the input; nothing is published",
    );
    report.findings = found;
    report
}
