//! The log thread: follows the operators' records.

use std::sync::Arc;

use caraway_records::State;
use caraway_wire::{CallError, Http, LogClient, log::CONFIG_STREAM};
use tokio::sync::watch;

use crate::{
    events::emit,
    shared::{Control, Shared},
};

/// Most records read at once.
const PAGE_RECORDS: u32 = 1000;

/// Follows the log for ever.
pub(crate) async fn run(
    shared: Arc<Shared>,
    publish: watch::Sender<Arc<State>>,
) -> Result<(), CallError> {
    let times = &shared.settings.times;
    let log = LogClient::new(
        Http::new().await?,
        shared.settings.log,
        times.control_ms.get(),
    );
    let mut state = State::default();
    let mut reachable = true;
    while !shared.control.is_closed() {
        match log.read(CONFIG_STREAM, state.next(), PAGE_RECORDS).await {
            Ok(page) => {
                if !reachable {
                    emit!(shared.log, info, LogReachable);
                }
                reachable = true;
                if !page.records.is_empty() {
                    for entry in &page.records {
                        let _ = state.apply(entry.offset, &entry.data);
                    }
                    let next = Arc::new(state.clone());
                    publish.send_replace(Arc::clone(&next));
                    let _ = shared.control.push(Control::Config(next));
                    continue;
                }
            }
            Err(error) => {
                if reachable {
                    emit!(shared.log, warn, LogUnreachable; "error" => %error);
                }
                reachable = false;
            }
        }
        tokio::time::sleep(times.follow_ms.get()).await;
    }
    Ok(())
}
