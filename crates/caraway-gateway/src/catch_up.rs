//! Brings what this instance knows of the endpoints and their versions up to the present, before a
//! decision that must not rest on old knowledge.
//!
//! An instance that stood still or was cut off does not notice by itself that it has missed records, and
//! a holder that forwards them may be behind as well. Its copies count as current only if a read of the
//! store that began after the question arose found nothing more.

use std::{cell::Cell, rc::Rc, time::Duration};

use caraway_platform::{StoreError, Topic};
use tokio::{
    sync::Mutex,
    time::{Instant, timeout},
};

use crate::{shared::Shared, topics};

/// The topics that tell which software versions served.
const VERSION_TOPICS: [Topic; 2] = [Topic::Endpoints, Topic::Shared];
/// Longest wait for the store, which answers within a few ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// When this instance's copies were last brought up to date.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    /// Held during a read, which all who wait for it share.
    reading: Mutex<()>,
    /// When the last successful read began.
    confirmed_at: Cell<Option<Instant>>,
}

impl CatchUp {
    /// Returns the time since the last successful read began; `None` before the first.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }
}

/// Reads all records on endpoints and versions that were in the store when the call began.
///
/// # Errors
///
/// Returns an error if the store does not answer this instance, at once if that is known already.
pub(crate) async fn catch_up(shared: &Rc<Shared>) -> Result<(), StoreError> {
    let since = Instant::now();
    if topics::is_any_failing(shared, &VERSION_TOPICS) {
        return Err(StoreError::Unavailable("it did not answer before".into()));
    }
    let timed_out = |_| Err(StoreError::Unanswered("timed out".into()));
    timeout(STORE_TIMEOUT, read(shared, since))
        .await
        .unwrap_or_else(timed_out)
}

async fn read(shared: &Rc<Shared>, since: Instant) -> Result<(), StoreError> {
    let catch_up = &shared.catch_up;
    let _reading = catch_up.reading.lock().await;
    if catch_up.confirmed_at.get().is_some_and(|at| at >= since) {
        return Ok(());
    }
    let begun_at = Instant::now();
    let [first, second] = VERSION_TOPICS.map(|topic| topics::read_to_end(shared, topic));
    tokio::try_join!(first, second)?;
    catch_up.confirmed_at.set(Some(begun_at));
    Ok(())
}
