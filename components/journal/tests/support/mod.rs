//! Changes to a journal that cover each way of writing, and what it holds after them.

#![allow(dead_code, missing_docs)]

use bytes::Bytes;
use journal::{AppendBatch, Journal, JournalError, RecoveredState};
use schema::log_entry::Payload;
use schema::{HardState, LogEntry, Snapshot};

fn entries(indices: std::ops::RangeInclusive<u64>) -> Vec<LogEntry> {
    let entry = |index| {
        let payload = Some(Payload::Command(Bytes::from(vec![index as u8; 100])));
        LogEntry { index, term: 1, payload }
    };
    indices.map(entry).collect()
}

/// Changes to a journal that cover each way of writing.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    Vote(HardState),
    Entries(u64, u64),
    MarkSynced,
    Snapshot { index: u64, last: u64 },
}

pub const CHANGES: [Change; 6] = [
    Change::Vote(HardState { term: 1, voted_for: 7 }),
    Change::Entries(1, 6),
    Change::MarkSynced,
    Change::Snapshot { index: 4, last: 6 },
    Change::Entries(7, 9),
    Change::Vote(HardState { term: 2, voted_for: 8 }),
];

pub fn apply(journal: &mut Journal, change: Change) -> Result<(), JournalError> {
    match change {
        Change::Vote(hard_state) => {
            journal.append(AppendBatch { hard_state: Some(hard_state), entries: &[] })
        }
        Change::Entries(first, last) => {
            journal.append(AppendBatch { hard_state: None, entries: &entries(first..=last) })
        }
        Change::MarkSynced => journal.mark_synced(),
        Change::Snapshot { index, last } => {
            let snapshot = Snapshot { index, term: 1, ..Snapshot::default() };
            journal.install_snapshot(&snapshot, &entries(index + 1..=last))
        }
    }
}

/// What a journal must hold after the first `count` changes: hard state, index of
/// the snapshot, and index of the last entry.
pub fn held_after(count: usize) -> (HardState, u64, u64) {
    let mut held = (HardState::default(), 0, 0);
    for change in &CHANGES[..count] {
        match *change {
            Change::Vote(hard_state) => held.0 = hard_state,
            Change::Entries(_, last) => held.2 = last,
            Change::MarkSynced => {}
            Change::Snapshot { index, .. } => held.1 = index,
        }
    }
    held
}

pub fn held_by(recovered: &RecoveredState) -> (HardState, u64, u64) {
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let last = recovered.entries.last().map_or(snapshot_index, |entry| entry.index);
    (recovered.hard_state, snapshot_index, last)
}
