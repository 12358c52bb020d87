//! [`LogReader`]: reads the configuration log and folds its records into a state.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Result, anyhow, bail};
use caraway_records::{
    Follower, FollowerInput, FollowerOutput, FollowerSettings, LogPage, LogRecord, Notice, Outcome,
    Record, State,
};
use caraway_types::{Millis, Offset};
use caraway_wire::{HttpClient, LogClient, log::CONFIG_STREAM, log::Page};

use crate::{exit::Exit, report::RecordLine};

/// Timeout of a request to the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to read the log up to its end.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the follower is asked whether a read is due.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The records of the configuration log, and the state into which they fold.
pub(crate) struct LogReader {
    client: LogClient,
    follower: Follower,
    records: BTreeMap<Offset, FoldedRecord>,
    /// Offset that the next append will get, as of the last page that was read.
    end: Offset,
    /// Whether the log has dropped records that no snapshot covers.
    history_lost: bool,
}

/// A record of the log, with its outcome.
pub(crate) struct FoldedRecord {
    /// Text of the record as it is in the log.
    pub(crate) text: Arc<str>,
    /// Result of the fold; `None` if the record was not folded because a snapshot covers it.
    pub(crate) outcome: Option<Outcome>,
}

impl LogReader {
    /// Returns a reader that has not read any records yet.
    pub(crate) async fn new(addr: SocketAddr) -> Result<Self> {
        let settings = FollowerSettings {
            poll_ms: Millis::new(20),
            retry_min_ms: Millis::new(100),
            retry_max_ms: Millis::new(500),
            snapshot_every: u64::MAX,
            ..FollowerSettings::default()
        };
        let client = LogClient::new(HttpClient::new().await?, addr, REQUEST_TIMEOUT);
        Ok(Self {
            client,
            follower: Follower::new(&"caraway-publish".into(), settings, Instant::now()),
            records: BTreeMap::new(),
            end: 0,
            history_lost: false,
        })
    }

    /// Returns the client of the log.
    pub(crate) fn client(&self) -> &LogClient {
        &self.client
    }

    /// Returns the state after the records that have been folded.
    pub(crate) fn state(&self) -> &Arc<State> {
        self.follower.state()
    }

    /// Returns the records that were read, by offset; the log retains only its newest records.
    pub(crate) fn records(&self) -> impl Iterator<Item = (Offset, &FoldedRecord)> {
        self.records
            .iter()
            .map(|(offset, folded)| (*offset, folded))
    }

    /// Reads and folds the log up to its current end.
    ///
    /// # Errors
    ///
    /// Returns an error if the end is not reached in time, for instance because the log is
    /// unreachable, or if the log has dropped records that no snapshot covers.
    pub(crate) async fn catch_up(&mut self) -> Result<()> {
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        let mut last_error = anyhow!("the end of the log was not reached in time");
        while Instant::now() < deadline {
            let mut outputs = Vec::new();
            let tick = FollowerInput::Tick;
            self.follower.handle(Instant::now(), tick, &mut outputs);
            let request = outputs.into_iter().find_map(|o| match o {
                FollowerOutput::ReadLog { from, max } => Some((from, max)),
                _ => None,
            });
            let Some((from, max)) = request else {
                tokio::time::sleep(TICK_INTERVAL).await;
                continue;
            };
            match self.read_page(from, max).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => last_error = error,
            }
            if self.history_lost {
                bail!("the log has dropped records that no snapshot covers");
            }
        }
        Err(last_error.context(Exit::Unreachable))
    }

    /// Reads and folds one page; returns whether the end of the log is reached.
    async fn read_page(&mut self, from: Offset, max: u32) -> Result<bool> {
        let page = match self.client.read(CONFIG_STREAM, from, max).await {
            Ok(page) => page,
            Err(error) => {
                self.handle(FollowerInput::LogFailed);
                return Err(error.into());
            }
        };
        self.end = page.end;
        let page = to_follower_page(page);
        for record in &page.records {
            let folded = FoldedRecord {
                text: record.data.clone(),
                outcome: None,
            };
            self.records.entry(record.offset).or_insert(folded);
        }
        self.handle(FollowerInput::Page(page));
        Ok(self.state().next() >= self.end)
    }

    /// Passes an input to the follower and keeps the outcomes that it returns.
    fn handle(&mut self, input: FollowerInput) {
        let mut outputs = Vec::new();
        self.follower.handle(Instant::now(), input, &mut outputs);
        for output in outputs {
            match output {
                FollowerOutput::Folded { offset, outcome } => {
                    if let Some(folded) = self.records.get_mut(&offset) {
                        folded.outcome = Some(outcome);
                    }
                }
                FollowerOutput::Notice(Notice::HistoryLost { .. }) => self.history_lost = true,
                _ => {}
            }
        }
    }
}

impl FoldedRecord {
    /// Returns the report line of the record; `None` if it does not parse as an operator's record
    /// or was not folded at this offset.
    pub(crate) fn report_line(&self, offset: Offset) -> Option<RecordLine> {
        let record = Record::parse(&self.text).ok()?;
        let outcome = match &self.outcome {
            None => "covered by a snapshot".into(),
            Some(Outcome::Applied) => "applied".into(),
            Some(Outcome::Held) => "held: newer than this program".into(),
            Some(Outcome::Void(found)) => format!("void: {found}"),
            Some(Outcome::Duplicate(first)) => format!("duplicate of {first}"),
            Some(Outcome::Refused(refused)) => format!("refused: {refused}"),
            Some(Outcome::Chunk | Outcome::Old | Outcome::Gap(_)) => return None,
        };
        Some(RecordLine {
            offset: Some(offset),
            name: format!("{}/{}", record.kind, record.key),
            author: record.author,
            outcome,
            body: record.body,
        })
    }
}

/// Converts a page of the log client into a page for the follower.
fn to_follower_page(page: Page) -> LogPage {
    let records = page.records.into_iter();
    LogPage {
        oldest: page.oldest,
        end: page.end,
        records: records
            .map(|r| LogRecord {
                offset: r.offset,
                data: r.data,
            })
            .collect(),
    }
}
