//! [`send_all`] sends the planned requests at their scheduled times and collects the outcomes.

use std::{cell::RefCell, io::Write, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    balancer::Balancer,
    caller::Caller,
    deployment::Deployment,
    outcome::{Column, Outcome},
    schedule::PlannedRequest,
};

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the driver checks whether the last requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends every planned request and waits until each has an outcome.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be created.
pub(crate) async fn send_all(
    deployment: &Deployment,
    balancer: &Balancer,
    requests: Vec<PlannedRequest>,
) -> anyhow::Result<Vec<Outcome>> {
    let caller = Caller::new(deployment).await?;
    let total = requests.len();
    let outcomes = Rc::new(RefCell::new(Vec::new()));
    let start = Instant::now();
    let mut next_progress = start + PROGRESS_INTERVAL;
    for (sent, planned) in requests.into_iter().enumerate() {
        let send_at = start + planned.send_at;
        while next_progress < send_at {
            sleep_until(next_progress).await;
            print_progress(start, sent, &outcomes.borrow());
            next_progress += PROGRESS_INTERVAL;
        }
        sleep_until(send_at).await;
        let (caller, outcomes) = (caller.clone(), Rc::clone(&outcomes));
        let (entry_index, addr) = balancer.choose(planned.entry_index);
        ntex::rt::spawn(async move {
            let mut outcome = caller.send(addr, planned).await;
            outcome.entry_index = entry_index;
            outcomes.borrow_mut().push(outcome);
        });
    }
    while outcomes.borrow().len() < total {
        sleep(POLL_INTERVAL).await;
        if Instant::now() >= next_progress {
            print_progress(start, total, &outcomes.borrow());
            next_progress += PROGRESS_INTERVAL;
        }
    }
    Ok(outcomes.take())
}

/// Writes a progress line to standard error.
fn print_progress(start: Instant, sent: usize, outcomes: &[Outcome]) {
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
