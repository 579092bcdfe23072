//! Simulated disk of one replica.

use consensus::{Batch, PersistedState};
use schema::{HardState, LogEntry, Snapshot};

/// Durable state of one replica, which survives a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
}

impl Disk {
    /// Writes a batch with its first `max_entries` entries; fewer than all of them
    /// simulate a crash during the write.
    pub fn write(&mut self, batch: &Batch, max_entries: usize) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot.clone());
        }
        for entry in batch.entries.iter().take(max_entries) {
            self.entries.retain(|e| e.index < entry.index);
            self.entries.push(entry.clone());
        }
    }

    /// Replaces the log up to `snapshot`, which the replica took of its own state.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }

    pub fn restore(&self) -> PersistedState {
        PersistedState {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}
