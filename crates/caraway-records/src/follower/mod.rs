//! [`Follower`]: keeps a [`State`] up to date with the log and with peers.

mod digest_history;
mod fold;
mod log_reader;
mod message;
mod peers;
mod scan;
mod settings;
mod snapshot_writer;
mod tail;

pub use message::{
    FollowerInput, FollowerOutput, LogPage, LogRecord, Notice, Offer, PeerAnswer, Source,
};
pub use settings::FollowerSettings;

use std::{sync::Arc, time::Instant};

use caraway_types::{InstanceId, Offset};

use self::{
    digest_history::DigestHistory, log_reader::LogReader, peers::Peers, scan::Scan,
    snapshot_writer::SnapshotWriter, tail::Tail,
};
use crate::{Outcome, Snapshot, State};

/// Decides what to read from the log, what to request from peers and when to append a snapshot.
///
/// Does no I/O: its caller executes each [`FollowerOutput`] and returns the result as a
/// [`FollowerInput`]. Any answer may be late, duplicated or lost. The applied offset never
/// decreases.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    state: Arc<State>,
    log_reader: LogReader,
    /// Search for the latest snapshot in the log, while one is in progress.
    scan: Option<Scan>,
    peers: Peers,
    snapshot_writer: SnapshotWriter,
    digests: DigestHistory,
    /// The latest records, kept to answer peers.
    tail: Tail,
    cached_snapshot: Option<Snapshot>,
    log_end: Offset,
    log_oldest: Offset,
    changed: bool,
    ready: bool,
}

impl Follower {
    /// Creates a follower with an empty state; `id` spreads its retries and snapshots over time.
    #[must_use]
    pub fn new(id: &InstanceId, settings: FollowerSettings, now: Instant) -> Self {
        Self {
            state: State::with_schema_limit(settings.schema_limit).into(),
            log_reader: LogReader::new(id, now),
            scan: None,
            peers: Peers::default(),
            snapshot_writer: SnapshotWriter::new(id, now),
            digests: DigestHistory::default(),
            tail: Tail::default(),
            cached_snapshot: None,
            log_end: 0,
            log_oldest: 0,
            changed: false,
            ready: false,
            settings,
        }
    }

    /// Returns the current state; a clone of the `Arc` is not changed by later records.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the position of this follower, which it offers to the peers: the offset of the next
    /// record to apply and the digest of the state.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            next: self.state.next(),
            digest: self.state.digest(),
        }
    }

    /// Returns whether the state has ever caught up with the log or with all known peers.
    ///
    /// Before that, outdated configuration may be in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, input: FollowerInput, out: &mut Vec<FollowerOutput>) {
        match input {
            FollowerInput::Tick => {}
            FollowerInput::Page(page) => self.on_page(now, &page, out),
            FollowerInput::LogFailed => self.log_reader.on_failure(now, &self.settings),
            FollowerInput::Appended(done) => self.snapshot_writer.on_appended(now, done),
            FollowerInput::Offer(peer, offer) => self.on_offer(now, peer, offer, out),
            FollowerInput::Answer(peer, answer) => {
                self.on_answer(now, &peer, answer.as_ref(), out);
            }
            FollowerInput::PeerGone(peer) => self.peers.remove(&peer),
        }
        if std::mem::take(&mut self.changed) {
            out.push(FollowerOutput::Changed);
        }
        self.ready |= self.is_caught_up();
        self.read_log(now, out);
        self.request_from_peer(now, out);
        self.write_snapshot(now, out);
    }

    /// Answers a peer's request for the records from `from` on.
    pub fn answer(&mut self, from: Offset) -> PeerAnswer {
        let mut answer = PeerAnswer {
            offer: self.offer(),
            ..PeerAnswer::default()
        };
        if from >= self.state.next() {
            return answer;
        }
        if let Some(records) = self.tail.records_from(from) {
            answer.records = records;
        } else {
            answer.snapshot.clone_from(&self.snapshot_for_peer().chunks);
        }
        answer
    }

    /// Handles a page of the log.
    fn on_page(&mut self, now: Instant, page: &LogPage, out: &mut Vec<FollowerOutput>) {
        let last = page.records.last().map(|r| r.offset + 1);
        let more = last.is_some_and(|last| last < page.end);
        self.log_reader.on_page(now, more, &self.settings);
        if page.end < self.state.next() && page.end != self.log_end {
            out.push(FollowerOutput::Notice(Notice::LogBehind(page.end)));
        }
        self.log_end = page.end;
        self.log_oldest = page.oldest;
        if self.scan.is_none() && page.oldest > self.state.next() {
            self.scan = Some(Scan::new(page.oldest, self.settings.schema_limit));
        }
        for record in &page.records {
            if let Some(scan) = &mut self.scan {
                scan.on_record(record);
                self.snapshot_writer
                    .on_chunk(now, record, false, &self.digests);
            } else {
                self.apply_record(now, record, Source::Log, out);
            }
        }
        if !more {
            self.finish_scan(out);
        }
    }

    /// Restores the snapshot that covers most, once the scan has reached the end of the log.
    fn finish_scan(&mut self, out: &mut Vec<FollowerOutput>) {
        let Some(scan) = &mut self.scan else {
            return;
        };
        match scan.restore(self.log_oldest) {
            Ok(state) => {
                self.scan = None;
                self.install(state, Source::Log, out);
                self.log_reader.read_immediately();
            }
            Err(Some(notice)) => out.push(FollowerOutput::Notice(notice)),
            Err(None) => {}
        }
    }

    /// Handles a peer's offer and reports a digest that differs from the own one.
    fn on_offer(
        &mut self,
        now: Instant,
        peer: InstanceId,
        offer: Offer,
        out: &mut Vec<FollowerOutput>,
    ) {
        let own_digest = self.digests.digest(offer.next);
        if own_digest.is_some_and(|own_digest| own_digest != offer.digest)
            && self.peers.record_divergence(&peer, offer.next)
        {
            out.push(FollowerOutput::Notice(Notice::Diverged {
                peer: peer.clone(),
                offset: offer.next,
            }));
        }
        self.peers.on_offer(now, peer, offer);
    }

    /// Handles a peer's answer; `None` means that the request failed.
    fn on_answer(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        answer: Option<&PeerAnswer>,
        out: &mut Vec<FollowerOutput>,
    ) {
        let before = self.state.next();
        if let Some(answer) = answer {
            self.restore_peer_snapshot(&answer.snapshot, out);
            for record in &answer.records {
                self.apply_record(now, record, Source::Peer, out);
            }
        }
        let advanced = self.state.next() > before;
        self.peers.on_answer(now, peer, advanced, &self.settings);
        if let Some(answer) = answer {
            self.on_offer(now, peer.clone(), answer.offer, out);
        }
        if self.scan.is_some() && self.state.next() >= self.log_oldest {
            self.scan = None;
        }
    }

    /// Restores a peer's snapshot and installs it if it covers more than the state.
    fn restore_peer_snapshot(&mut self, chunks: &[Arc<str>], out: &mut Vec<FollowerOutput>) {
        if chunks.is_empty() {
            return;
        }
        match crate::SnapshotAssembly::restore_all(chunks, self.settings.schema_limit) {
            Ok(state) => self.install(state, Source::Peer, out),
            Err(e) => out.push(FollowerOutput::Notice(Notice::SnapshotRejected(e))),
        }
    }

    /// Sends the next read of the log if it is due.
    fn read_log(&mut self, now: Instant, out: &mut Vec<FollowerOutput>) {
        if self.log_reader.start_read(now, &self.settings) {
            let next = self.state.next();
            out.push(FollowerOutput::ReadLog {
                from: self.scan.as_ref().map_or(next, Scan::next_offset),
                max: self.settings.page,
            });
        }
    }

    /// Requests records from a peer if it has some that the log did not deliver in time.
    fn request_from_peer(&mut self, now: Instant, out: &mut Vec<FollowerOutput>) {
        let next = self.state.next();
        let log_usable = self.log_reader.is_healthy(now, &self.settings) && self.scan.is_none();
        let wait_for_log = log_usable && next > 0;
        if let Some(peer) = self
            .peers
            .start_request(now, next, wait_for_log, &self.settings)
        {
            out.push(FollowerOutput::FetchFromPeer { peer, from: next });
        }
    }

    /// Appends a snapshot if one is due and no other instance has appended it.
    fn write_snapshot(&mut self, now: Instant, out: &mut Vec<FollowerOutput>) {
        let healthy = self.log_reader.is_healthy(now, &self.settings);
        if !healthy || !self.log_reader.at_end() || self.scan.is_some() || self.state.is_empty() {
            self.snapshot_writer.postpone();
            return;
        }
        let retained = self.log_oldest..self.log_end;
        let records = self
            .snapshot_writer
            .write(now, &self.state, retained, &self.settings);
        if let Some(records) = records {
            out.push(FollowerOutput::Append(records));
        }
    }

    /// Returns a snapshot that a peer can continue with the recent records that are kept here.
    fn snapshot_for_peer(&mut self) -> &Snapshot {
        let usable = |s: &Snapshot| self.tail.covers(s.id.covered);
        let cached = self.cached_snapshot.take().filter(usable);
        self.cached_snapshot
            .insert(cached.unwrap_or_else(|| Snapshot::of(&self.state)))
    }

    /// Returns whether the state has caught up with the log or with all known peers.
    fn is_caught_up(&self) -> bool {
        let log_caught_up = self.log_reader.at_end() && self.scan.is_none();
        log_caught_up || self.peers.is_caught_up(self.state.next())
    }

    /// Records whether an outcome changed the configuration in force.
    fn record_change(&mut self, outcome: &Outcome) {
        self.changed |= *outcome == Outcome::Applied;
    }
}
