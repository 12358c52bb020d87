//! [`Follower`]: keeps a [`State`] up to date from the log and from peers.

mod checkpoints;
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
    checkpoints::Checkpoints, log_reader::LogReader, peers::Peers, scan::Scan,
    snapshot_writer::SnapshotWriter, tail::Tail,
};
use crate::{Outcome, Snapshot, State};

/// Decides what to read from the log, what to ask of peers and when to append a snapshot.
///
/// Does no I/O: its shell carries out each [`FollowerOutput`] and reports back with a
/// [`FollowerInput`]. Every answer may be late, repeated or missing. The applied offset never
/// falls.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    state: Arc<State>,
    reader: LogReader,
    scan: Option<Scan>,
    peers: Peers,
    writer: SnapshotWriter,
    checkpoints: Checkpoints,
    tail: Tail,
    answer: Option<Snapshot>,
    log_end: Offset,
    log_oldest: Offset,
    changed: bool,
    ready: bool,
}

impl Follower {
    /// Makes a follower with an empty memory.
    #[must_use]
    pub fn new(id: &InstanceId, settings: FollowerSettings, now: Instant) -> Self {
        Self {
            state: State::limited(settings.schema_limit).into(),
            reader: LogReader::new(id, now),
            scan: None,
            peers: Peers::default(),
            writer: SnapshotWriter::new(id, now),
            checkpoints: Checkpoints::default(),
            tail: Tail::default(),
            answer: None,
            log_end: 0,
            log_oldest: 0,
            changed: false,
            ready: false,
            settings,
        }
    }

    /// Returns the state, which stays as it is while later records are folded.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns what to tell the peers.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            next: self.state.next(),
            digest: self.state.digest(),
        }
    }

    /// Tells whether the state has once caught up with the log or with all known peers.
    ///
    /// Before that, an older record than the latest accepted one may be in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Handles what happened and appends what to do.
    pub fn handle(&mut self, now: Instant, input: FollowerInput, out: &mut Vec<FollowerOutput>) {
        match input {
            FollowerInput::Tick => {}
            FollowerInput::Page(page) => self.on_page(now, &page, out),
            FollowerInput::LogFailed => self.reader.on_failure(now, &self.settings),
            FollowerInput::Appended(done) => self.writer.on_appended(now, done),
            FollowerInput::Offer(peer, offer) => self.on_offer(now, peer, offer, out),
            FollowerInput::Answer(peer, answer) => {
                self.on_answer(now, &peer, answer.as_ref(), out);
            }
            FollowerInput::PeerGone(peer) => self.peers.remove(&peer),
        }
        if std::mem::take(&mut self.changed) {
            out.push(FollowerOutput::Changed);
        }
        self.ready |= self.is_level();
        self.read(now, out);
        self.ask(now, out);
        self.write_snapshot(now, out);
    }

    /// Answers a peer that asks for the records from `from` on.
    pub fn answer(&mut self, from: Offset) -> PeerAnswer {
        let mut answer = PeerAnswer {
            offer: self.offer(),
            ..PeerAnswer::default()
        };
        if from >= self.state.next() {
            return answer;
        }
        if let Some(records) = self.tail.from(from) {
            answer.records = records;
        } else {
            answer.snapshot.clone_from(&self.peer_snapshot().chunks);
        }
        answer
    }

    /// Takes in a page of the log.
    fn on_page(&mut self, now: Instant, page: &LogPage, out: &mut Vec<FollowerOutput>) {
        let last = page.records.last().map(|r| r.offset + 1);
        let more = last.is_some_and(|last| last < page.end);
        self.reader.on_page(now, more, &self.settings);
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
                scan.add(record);
                self.writer.on_chunk(now, record, false, &self.checkpoints);
            } else {
                self.fold(now, record, Source::Log, out);
            }
        }
        if !more {
            self.finish_scan(out);
        }
    }

    /// Restores the best snapshot of a scan that has reached the end of the log.
    fn finish_scan(&mut self, out: &mut Vec<FollowerOutput>) {
        let Some(scan) = &mut self.scan else {
            return;
        };
        match scan.restore(self.log_oldest) {
            Ok(state) => {
                self.scan = None;
                self.install(state, Source::Log, out);
                self.reader.read_at_once();
            }
            Err(Some(notice)) => out.push(FollowerOutput::Notice(notice)),
            Err(None) => {}
        }
    }

    /// Takes in what a peer says of its state.
    fn on_offer(
        &mut self,
        now: Instant,
        peer: InstanceId,
        offer: Offer,
        out: &mut Vec<FollowerOutput>,
    ) {
        let own = self.checkpoints.digest(offer.next);
        if own.is_some_and(|own| own != offer.digest) && self.peers.diverge(&peer, offer.next) {
            out.push(FollowerOutput::Notice(Notice::Diverged {
                peer: peer.clone(),
                offset: offer.next,
            }));
        }
        self.peers.on_offer(now, peer, offer);
    }

    /// Takes in a peer's answer; none says that the peer did not answer.
    fn on_answer(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        answer: Option<&PeerAnswer>,
        out: &mut Vec<FollowerOutput>,
    ) {
        let before = self.state.next();
        if let Some(answer) = answer {
            self.take_snapshot(&answer.snapshot, out);
            for record in &answer.records {
                self.fold(now, record, Source::Peer, out);
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

    /// Restores a peer's snapshot if it covers more than the state.
    fn take_snapshot(&mut self, chunks: &[Arc<str>], out: &mut Vec<FollowerOutput>) {
        if chunks.is_empty() {
            return;
        }
        match crate::Assembly::restore_all(chunks, self.settings.schema_limit) {
            Ok(state) => self.install(state, Source::Peer, out),
            Err(e) => out.push(FollowerOutput::Notice(Notice::SnapshotRejected(e))),
        }
    }

    /// Reads on in the log when it is time.
    fn read(&mut self, now: Instant, out: &mut Vec<FollowerOutput>) {
        if self.reader.start(now, &self.settings) {
            let next = self.state.next();
            out.push(FollowerOutput::ReadLog {
                from: self.scan.as_ref().map_or(next, Scan::at),
                max: self.settings.page,
            });
        }
    }

    /// Asks a peer when the log does not say what the peer already knows.
    fn ask(&mut self, now: Instant, out: &mut Vec<FollowerOutput>) {
        let next = self.state.next();
        let log_serves = self.reader.is_healthy(now, &self.settings) && self.scan.is_none();
        let patient = log_serves && next > 0;
        if let Some(peer) = self.peers.start(now, next, patient, &self.settings) {
            out.push(FollowerOutput::AskPeer { peer, from: next });
        }
    }

    /// Appends a snapshot when one is due and nobody else has appended it.
    fn write_snapshot(&mut self, now: Instant, out: &mut Vec<FollowerOutput>) {
        let healthy = self.reader.is_healthy(now, &self.settings);
        if !healthy || !self.reader.at_end() || self.scan.is_some() || self.state.is_empty() {
            self.writer.wait();
            return;
        }
        let kept = self.log_oldest..self.log_end;
        let records = self.writer.write(now, &self.state, kept, &self.settings);
        if let Some(records) = records {
            out.push(FollowerOutput::Append(records));
        }
    }

    /// Returns a snapshot from which a peer can go on with the tail.
    fn peer_snapshot(&mut self) -> &Snapshot {
        let usable = |s: &Snapshot| self.tail.covers(s.id.covered);
        let cached = self.answer.take().filter(usable);
        self.answer
            .insert(cached.unwrap_or_else(|| Snapshot::of(&self.state)))
    }

    /// Tells whether nothing later than the state is known.
    fn is_level(&self) -> bool {
        let log_is_read = self.reader.at_end() && self.scan.is_none();
        log_is_read || self.peers.are_level(self.state.next())
    }

    /// Notes whether an outcome changes what is in force.
    fn note_change(&mut self, outcome: &Outcome) {
        self.changed |= *outcome == Outcome::Applied;
    }
}
