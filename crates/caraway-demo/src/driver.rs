//! [`drive`] sends the planned requests at their scheduled times and collects the outcomes.

use std::{cell::RefCell, io::Write, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    balancer::Balancer,
    caller::Caller,
    deployment::Deployment,
    outcome::{Column, Outcome},
    schedule::Planned,
};

/// Interval between progress lines.
const PROGRESS: Duration = Duration::from_secs(1);
/// Interval at which the driver checks whether the last requests have ended.
const POLL: Duration = Duration::from_millis(20);

/// Sends every planned request and waits until each has an outcome.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be created.
pub(crate) async fn drive(
    deployment: &Deployment,
    balancer: &Balancer,
    planned: Vec<Planned>,
) -> anyhow::Result<Vec<Outcome>> {
    let caller = Caller::new(deployment).await?;
    let total = planned.len();
    let outcomes = Rc::new(RefCell::new(Vec::new()));
    let start = Instant::now();
    let mut next = start + PROGRESS;
    for (sent, request) in planned.into_iter().enumerate() {
        let at = start + request.at;
        while next < at {
            sleep_until(next).await;
            progress(start, sent, &outcomes.borrow());
            next += PROGRESS;
        }
        sleep_until(at).await;
        let (caller, outcomes) = (caller.clone(), Rc::clone(&outcomes));
        let (entry, addr) = balancer.choose(request.entry);
        ntex::rt::spawn(async move {
            let mut outcome = caller.send(addr, request).await;
            outcome.entry = entry;
            outcomes.borrow_mut().push(outcome);
        });
    }
    while outcomes.borrow().len() < total {
        sleep(POLL).await;
        if Instant::now() >= next {
            progress(start, total, &outcomes.borrow());
            next += PROGRESS;
        }
    }
    Ok(outcomes.take())
}

/// Writes a progress line to standard error.
fn progress(start: Instant, sent: usize, outcomes: &[Outcome]) {
    let count = |column| {
        let in_column = |o: &&Outcome| o.ending.column() == column;
        outcomes.iter().filter(in_column).count()
    };
    let line = format!(
        "{:>3} s: {sent} sent, {} answered, {} not run, {} in doubt, {} failed, {} in flight",
        start.elapsed().as_secs(),
        count(Column::Answered),
        count(Column::NotRun),
        count(Column::InDoubt),
        count(Column::Failed),
        sent - outcomes.len(),
    );
    // A failed write is ignored: the report does not depend on the progress lines.
    let _ = writeln!(std::io::stderr(), "{line}");
}
