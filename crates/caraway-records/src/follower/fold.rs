//! Methods by which a [`Follower`] applies records and snapshots to its state.

use std::{sync::Arc, time::Instant};

use super::{Follower, FollowerOutput, LogRecord, Source};
use crate::{Outcome, State};

impl Follower {
    /// Folds a record if it is the next one, and ignores it otherwise.
    pub(crate) fn apply_record(
        &mut self,
        now: Instant,
        record: &LogRecord,
        source: Source,
        out: &mut Vec<FollowerOutput>,
    ) {
        if record.offset != self.state.next() {
            return;
        }
        let state = Arc::make_mut(&mut self.state);
        let outcome = state.apply(record.offset, &record.data);
        self.digests.push(state.next(), state.digest());
        self.tail.push(record, outcome == Outcome::Chunk);
        if source == Source::Log {
            self.peers.on_log_progress();
        }
        if outcome == Outcome::Chunk {
            let age_known = self.log_reader.at_end();
            self.snapshot_writer
                .on_chunk(now, record, age_known, &self.digests);
            return;
        }
        self.record_change(&outcome);
        out.push(FollowerOutput::Folded {
            offset: record.offset,
            outcome,
        });
    }

    /// Replaces the state by a restored one if that covers more records.
    pub(crate) fn install(&mut self, state: State, source: Source, out: &mut Vec<FollowerOutput>) {
        if state.next() <= self.state.next() {
            return;
        }
        self.state = state.into();
        self.tail.reset(self.state.next());
        self.digests.reset(self.state.next(), self.state.digest());
        self.changed = true;
        out.push(FollowerOutput::Installed {
            covered: self.state.next(),
            source,
        });
    }
}
