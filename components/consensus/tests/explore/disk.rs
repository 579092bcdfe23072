//! Disk of one replica: what survives a crash.

use consensus::{Batch, Restored};
use schema::{HardState, LogEntry, Snapshot};

/// What survives a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
}

impl Disk {
    /// Writes a batch, or after a crash only its first `entries` entries.
    pub fn write(&mut self, batch: &Batch, entries: usize) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot.clone());
        }
        for entry in batch.entries.iter().take(entries) {
            self.entries.retain(|e| e.index < entry.index);
            self.entries.push(entry.clone());
        }
    }

    /// Replaces the log up to a snapshot of the replica's own state.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }

    pub fn restore(&self) -> Restored {
        Restored {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}
