//! [`Feed`]: the records of the log and the state that they give.

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

/// Longest call of the log.
const CALL: Duration = Duration::from_secs(5);
/// Longest time to catch up with the log.
const CATCH_UP: Duration = Duration::from_secs(10);
/// Time between looks whether a read is due.
const PAUSE: Duration = Duration::from_millis(10);

/// Reads the log and folds it.
pub(crate) struct Feed {
    log: LogClient,
    follower: Follower,
    records: BTreeMap<Offset, Folded>,
    end: Offset,
    lost: bool,
}

/// A record of the log and what became of it.
pub(crate) struct Folded {
    /// The record.
    pub(crate) text: Arc<str>,
    /// What became of it; none for one that a snapshot covers.
    pub(crate) outcome: Option<Outcome>,
}

impl Feed {
    /// Starts at the beginning of the log.
    pub(crate) async fn new(addr: SocketAddr) -> Result<Self> {
        let settings = FollowerSettings {
            poll_ms: Millis::new(20),
            retry_min_ms: Millis::new(100),
            retry_max_ms: Millis::new(500),
            snapshot_every: u64::MAX,
            ..FollowerSettings::default()
        };
        let log = LogClient::new(HttpClient::new().await?, addr, CALL);
        Ok(Self {
            log,
            follower: Follower::new(&"caraway-publish".into(), settings, Instant::now()),
            records: BTreeMap::new(),
            end: 0,
            lost: false,
        })
    }

    /// Returns the client.
    pub(crate) fn log(&self) -> &LogClient {
        &self.log
    }

    /// Returns the state.
    pub(crate) fn state(&self) -> &Arc<State> {
        self.follower.state()
    }

    /// Returns the records that the log keeps, with their offsets.
    pub(crate) fn records(&self) -> impl Iterator<Item = (Offset, &Folded)> {
        self.records
            .iter()
            .map(|(offset, folded)| (*offset, folded))
    }

    /// Folds the log up to its end as it is now.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be reached or has lost records without a snapshot.
    pub(crate) async fn catch_up(&mut self) -> Result<()> {
        let limit = Instant::now() + CATCH_UP;
        let mut why = anyhow!("no answer");
        while Instant::now() < limit {
            let mut out = Vec::new();
            let tick = FollowerInput::Tick;
            self.follower.handle(Instant::now(), tick, &mut out);
            let read = out.into_iter().find_map(|o| match o {
                FollowerOutput::ReadLog { from, max } => Some((from, max)),
                _ => None,
            });
            let Some((from, max)) = read else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            match self.read(from, max).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => why = error,
            }
            if self.lost {
                bail!("the log has dropped records that no snapshot covers");
            }
        }
        Err(why.context(Exit::Unreachable))
    }

    /// Reads and folds one page; tells whether the end is reached.
    async fn read(&mut self, from: Offset, max: u32) -> Result<bool> {
        let page = match self.log.read(CONFIG_STREAM, from, max).await {
            Ok(page) => page,
            Err(error) => {
                self.handle(FollowerInput::LogFailed);
                return Err(error.into());
            }
        };
        self.end = page.end;
        let page = convert(page);
        for record in &page.records {
            let folded = Folded {
                text: record.data.clone(),
                outcome: None,
            };
            self.records.entry(record.offset).or_insert(folded);
        }
        self.handle(FollowerInput::Page(page));
        Ok(self.state().next() >= self.end)
    }

    fn handle(&mut self, input: FollowerInput) {
        let mut out = Vec::new();
        self.follower.handle(Instant::now(), input, &mut out);
        for output in out {
            match output {
                FollowerOutput::Folded { offset, outcome } => {
                    if let Some(folded) = self.records.get_mut(&offset) {
                        folded.outcome = Some(outcome);
                    }
                }
                FollowerOutput::Notice(Notice::HistoryLost { .. }) => self.lost = true,
                _ => {}
            }
        }
    }
}

impl Folded {
    /// Describes the record at an offset; none if it is no operator's record.
    pub(crate) fn line(&self, offset: Offset) -> Option<RecordLine> {
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

fn convert(page: Page) -> LogPage {
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
