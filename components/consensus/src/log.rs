//! In-memory part of the log that is not compacted yet.

use std::collections::VecDeque;

use schema::{LogEntry, log_entry};

use crate::output::LogPosition;

/// Log entries that have not been compacted.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Position of the last compacted entry; `entries` starts right after it.
    compacted: LogPosition,
    entries: VecDeque<LogEntry>,
}

impl Log {
    pub(crate) fn new(compacted: LogPosition, entries: Vec<LogEntry>) -> Self {
        Log { compacted, entries: entries.into() }
    }

    pub(crate) fn compacted(&self) -> LogPosition {
        self.compacted
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.compacted, position)
    }

    /// Returns the term of the entry at `index`, if the log holds that entry or it
    /// is the last compacted one.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.compacted.index {
            return Some(self.compacted.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.compacted.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.compacted.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes all entries up to and including `last`, which a snapshot covers.
    pub(crate) fn compact(&mut self, last: LogPosition) {
        let covered = last.index.saturating_sub(self.compacted.index);
        let covered = usize::try_from(covered).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.drain(..covered);
        self.compacted = last;
    }

    /// Replaces the complete log by a snapshot whose last entry is at `snapshot`.
    pub(crate) fn reset(&mut self, snapshot: LogPosition) {
        self.entries.clear();
        self.compacted = snapshot;
    }

    /// Returns at most `max_entries` entries from `index` on, up to `max_bytes`
    /// of commands. The first entry is returned even if it is larger.
    pub(crate) fn slice(&self, index: u64, max_entries: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        for index in index..index.saturating_add(max_entries) {
            let Some(entry) = self.get(index) else { break };
            bytes += payload_bytes(entry);
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Returns the bytes of commands from the index `first` up to `last`.
    pub(crate) fn command_bytes(&self, first: u64, last: u64) -> usize {
        (first..=last).filter_map(|index| self.get(index)).map(payload_bytes).sum()
    }

    /// Returns the lowest index, at least `first`, after which the entries up to `last` hold
    /// at most `max_bytes` of commands.
    pub(crate) fn start_of_tail(&self, first: u64, last: u64, max_bytes: usize) -> u64 {
        let mut start = last;
        let mut bytes = 0;
        while start > first {
            bytes += self.get(start).map_or(0, payload_bytes);
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Returns the index before the first entry of the term that `index` is in, as
    /// far as the log is not compacted.
    pub(crate) fn last_index_before_term_of(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else { return self.last().index };
        let mut index = index;
        while index > self.compacted.index && self.term(index - 1) == Some(term) {
            index -= 1;
        }
        index.saturating_sub(1)
    }
}

pub(crate) fn position(entry: &LogEntry) -> LogPosition {
    LogPosition { term: entry.term, index: entry.index }
}

fn payload_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        Some(log_entry::Payload::Command(command)) => command.len(),
        Some(log_entry::Payload::Configuration(_) | log_entry::Payload::Noop(_)) | None => 0,
    }
}
