//! Logs what happens to configuration records and snapshots.

use caraway_records::{FollowerOutput, Notice, Outcome};
use caraway_types::Offset;
use slog::Logger;

use crate::events::emit;

/// Logs an output of the follower. Accepted records are logged only once the follower has caught up
/// with the log after the start (`ready`).
pub(crate) fn log_output(log: &Logger, ready: bool, output: &FollowerOutput) {
    match output {
        FollowerOutput::Folded { offset, outcome } => log_outcome(log, ready, *offset, outcome),
        FollowerOutput::Installed { covered, source } => {
            emit!(log, info, SnapshotInstalled; "offset" => covered, "source" => ?source);
        }
        FollowerOutput::Notice(notice) => log_notice(log, notice),
        _ => {}
    }
}

fn log_outcome(log: &Logger, ready: bool, offset: Offset, outcome: &Outcome) {
    match outcome {
        Outcome::Applied if ready => emit!(log, info, RecordAccepted; "offset" => offset),
        Outcome::Held => emit!(log, warn, RecordHeld; "offset" => offset),
        Outcome::Void(finding) => {
            emit!(log, warn, RecordRefused; "offset" => offset, "finding" => %finding);
        }
        Outcome::Refused(refusal) => {
            emit!(log, warn, RecordRefused; "offset" => offset, "finding" => %refusal);
        }
        _ => {}
    }
}

fn log_notice(log: &Logger, notice: &Notice) {
    match notice {
        Notice::LogBehind(end) => emit!(log, error, LogBehind; "end" => end),
        Notice::HistoryLost { oldest } => emit!(log, error, HistoryLost; "oldest" => oldest),
        Notice::SnapshotRejected(error) => {
            emit!(log, error, SnapshotRejected; "error" => %error);
        }
        Notice::Diverged { peer, offset } => {
            emit!(log, error, Diverged; "peer" => &**peer, "offset" => offset);
        }
    }
}
