//! In-memory tail of the log.

use std::collections::VecDeque;

use schema::{LogEntry, log_entry};

use crate::output::Position;

/// Entries after the last snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<LogEntry>,
}

impl Log {
    pub(crate) fn new(base: Position, entries: Vec<LogEntry>) -> Self {
        Log { base, entries: entries.into() }
    }

    /// Returns the position of the snapshot that the log continues.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, position)
    }

    /// Returns the term at `index`, if the log still knows it.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Drops all entries up to `base`, which a snapshot now covers.
    pub(crate) fn compact(&mut self, base: Position) {
        let covered = base.index.saturating_sub(self.base.index);
        let covered = usize::try_from(covered).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.drain(..covered);
        self.base = base;
    }

    /// Replaces the whole log by a snapshot at `base`.
    pub(crate) fn reset(&mut self, base: Position) {
        self.entries.clear();
        self.base = base;
    }

    /// Returns entries from `index` on, up to `max_bytes` but at least one.
    pub(crate) fn slice(&self, index: u64, limit: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        for index in index..index.saturating_add(limit) {
            let Some(entry) = self.get(index) else { break };
            bytes += payload_bytes(entry);
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Returns the index before the first entry that shares the term at `index`.
    pub(crate) fn before_term_of(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else { return self.last().index };
        let mut index = index;
        while index > self.base.index && self.term(index - 1) == Some(term) {
            index -= 1;
        }
        index.saturating_sub(1)
    }
}

pub(crate) fn position(entry: &LogEntry) -> Position {
    Position { term: entry.term, index: entry.index }
}

fn payload_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        Some(log_entry::Payload::Command(command)) => command.len(),
        Some(log_entry::Payload::Configuration(_) | log_entry::Payload::Noop(_)) | None => 0,
    }
}
