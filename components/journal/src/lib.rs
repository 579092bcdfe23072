//! Durable log, snapshot and identity of one replica.
//!
//! A data folder holds:
//!
//! * `identity.json`: the random id under which the replica votes,
//! * `log-N.segment`: records after the snapshot at index N,
//! * `snapshot-N.image`: state at index N, absent for N = 0,
//! * `lock`: held while a process uses the folder.
//!
//! Nothing that was synced is ever guessed at: a record that was durable and
//! cannot be read any more makes [`Journal::open`] fail.

mod codec;
mod error;
mod folder;
mod header;
mod segment;

use std::path::{Path, PathBuf};

use schema::{HardState, LogEntry, Snapshot};

pub use error::JournalError;
use folder::Folder;
use segment::Segment;

/// What a data folder holds when it is opened.
#[derive(Clone, Debug, Default)]
pub struct Image {
    /// Last durable term and vote.
    pub hard_state: HardState,
    /// Last durable snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Bytes of an unfinished write that were dropped.
    pub dropped_bytes: u64,
}

/// One write that becomes durable as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Write<'a> {
    /// Hard state to store.
    pub hard_state: Option<HardState>,
    /// Entries to append; the first replaces all entries from its index on.
    pub entries: &'a [LogEntry],
}

/// Open data folder of one replica.
#[derive(Debug)]
pub struct Journal {
    folder: Folder,
    segment: Segment,
    hard_state: HardState,
}

impl Journal {
    /// Opens the data folder at `path`, or creates it if it is missing or empty.
    pub fn open(path: &Path) -> Result<(Journal, Image), JournalError> {
        let folder = Folder::open(path)?;
        let base = folder.snapshot_index()?;
        let snapshot = folder.read_snapshot(base)?;
        let (segment, contents) = Segment::open(&folder.segment_path(base))?;
        folder.remove_stale(base)?;
        let mut image = Image {
            hard_state: contents.hard_state,
            snapshot,
            entries: contents.entries,
            dropped_bytes: contents.dropped_bytes,
        };
        image.entries.retain(|entry| entry.index > base);
        check_sequence(segment.path(), base, &image.entries)?;
        let journal = Journal { folder, segment, hard_state: image.hard_state };
        Ok((journal, image))
    }

    /// Returns the id under which this data folder votes.
    pub fn replica_id(&self) -> u64 {
        self.folder.replica_id()
    }

    /// Returns the size of the log in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.segment.len_bytes()
    }

    /// Appends `write` and returns once it is durable.
    pub fn append(&mut self, write: Write<'_>) -> Result<(), JournalError> {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        self.segment.append(write)
    }

    /// Marks everything as synced, so that later damage to the last write is
    /// told apart from a write that never finished.
    pub fn seal(&mut self) -> Result<(), JournalError> {
        self.segment.seal()
    }

    /// Replaces the log by `snapshot` and the entries that follow it.
    pub fn install(&mut self, snapshot: &Snapshot, tail: &[LogEntry]) -> Result<(), JournalError> {
        self.folder.write_snapshot(snapshot)?;
        let path = self.folder.segment_path(snapshot.index);
        let write = Write { hard_state: Some(self.hard_state), entries: tail };
        let segment = Segment::create(&path, write)?;
        // The segment's name selects the snapshot, so this rename is the switch.
        self.folder.sync()?;
        self.segment = segment;
        self.folder.remove_stale(snapshot.index)
    }
}

fn check_sequence(path: &Path, base: u64, entries: &[LogEntry]) -> Result<(), JournalError> {
    for (expected, entry) in (base + 1..).zip(entries) {
        if entry.index != expected {
            let what = format!("entry {} stands where {expected} is expected", entry.index);
            return Err(JournalError::corrupt(path, 0, what));
        }
    }
    Ok(())
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}
