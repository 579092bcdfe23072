//! Durable storage of one replica: log, snapshot and replica id.
//!
//! A data folder holds:
//!
//! * `identity.json`: the id under which the replica votes, drawn at random when
//!   the folder is created,
//! * `log-N.segment`: hard state and entries after the snapshot at index N,
//! * `snapshot-N.image`: snapshot of the state at index N, absent for N = 0,
//! * `lock`: locked while a process uses the folder.
//!
//! [`Journal::open`] fails if a record that was synced can no longer be read. Only
//! an unfinished last write is dropped.
//!
//! A write that fails, for example on a full disk, changes nothing that counts as
//! durable, and may be repeated.

mod codec;
mod disk;
mod error;
mod folder;
mod header;
mod segment;

use std::path::{Path, PathBuf};

use schema::{HardState, LogEntry, Snapshot};

pub use disk::{Disk, SystemDisk};
pub use error::JournalError;
use folder::Folder;
use segment::Segment;

/// Suffix of files that are written and then renamed.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Durable state found in a data folder when it is opened.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Last durable term and vote.
    pub hard_state: HardState,
    /// Last durable snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Bytes dropped from the end of the log, left by an unfinished last write.
    pub dropped_bytes: u64,
}

/// Records to append with one sync.
#[derive(Clone, Copy, Debug, Default)]
pub struct AppendBatch<'a> {
    /// Hard state to persist.
    pub hard_state: Option<HardState>,
    /// Entries to append; the first one replaces all entries from its index on.
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
    pub fn open(path: &Path) -> Result<(Journal, RecoveredState), JournalError> {
        Journal::open_on(path, Box::new(SystemDisk))
    }

    /// The same on another disk than the system's.
    pub fn open_on(
        path: &Path,
        disk: Box<dyn Disk>,
    ) -> Result<(Journal, RecoveredState), JournalError> {
        let folder = Folder::open(path, disk)?;
        let snapshot_index = folder.snapshot_index()?;
        let snapshot = folder.read_snapshot(snapshot_index)?;
        let segment_path = folder.segment_path(snapshot_index);
        let (segment, contents) = Segment::open(folder.disk(), &segment_path)?;
        folder.remove_stale(snapshot_index)?;
        let mut recovered = RecoveredState {
            hard_state: contents.hard_state,
            snapshot,
            entries: contents.entries,
            dropped_bytes: contents.dropped_bytes,
        };
        recovered.entries.retain(|entry| entry.index > snapshot_index);
        check_contiguous(segment.path(), snapshot_index, &recovered.entries)?;
        let journal = Journal { folder, segment, hard_state: recovered.hard_state };
        Ok((journal, recovered))
    }

    /// Returns the replica id, under which this data folder votes.
    pub fn replica_id(&self) -> u64 {
        self.folder.replica_id()
    }

    /// Returns the size of the log segment in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.segment.len_bytes()
    }

    /// Appends `batch` and returns once it is durable. After an I/O error nothing of
    /// it is, and the call may be repeated.
    pub fn append(&mut self, batch: AppendBatch<'_>) -> Result<(), JournalError> {
        self.segment.append(self.folder.disk(), batch)?;
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
        Ok(())
    }

    /// Records in the header that the last write is synced; the next append does
    /// so as well. Until then, corruption of that write cannot be distinguished from
    /// an unfinished write, and opening the folder drops it.
    pub fn mark_synced(&mut self) -> Result<(), JournalError> {
        self.segment.mark_synced(self.folder.disk())
    }

    /// Replaces the log by `snapshot` and the entries that follow it. After an I/O
    /// error the replacement may be done in part: no other write may come before the
    /// call is repeated with the same arguments and succeeds.
    pub fn install_snapshot(
        &mut self,
        snapshot: &Snapshot,
        tail: &[LogEntry],
    ) -> Result<(), JournalError> {
        self.folder.write_snapshot(snapshot)?;
        let path = self.folder.segment_path(snapshot.index);
        let batch = AppendBatch { hard_state: Some(self.hard_state), entries: tail };
        let segment = Segment::create(self.folder.disk(), &path, batch)?;
        // The newest segment selects the snapshot by its name, so the rename in
        // `Segment::create` switches over and this sync makes the switch durable.
        self.folder.sync()?;
        self.segment = segment;
        self.folder.remove_stale(snapshot.index)
    }
}

fn check_contiguous(
    path: &Path,
    snapshot_index: u64,
    entries: &[LogEntry],
) -> Result<(), JournalError> {
    for (expected, entry) in (snapshot_index + 1..).zip(entries) {
        if entry.index != expected {
            let reason = format!("found entry {} where entry {expected} was expected", entry.index);
            return Err(JournalError::corrupt(path, 0, reason));
        }
    }
    Ok(())
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}
