//! Writes that fail, at each operation on the disk, and are repeated.

use std::fs::File;
use std::io::{Error, ErrorKind, Result};
use std::path::Path;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use journal::{AppendBatch, Disk, Journal, JournalError, RecoveredState, SystemDisk};
use schema::log_entry::Payload;
use schema::{HardState, LogEntry, Snapshot};

/// Failures of a [`FailingDisk`].
#[derive(Debug, Default)]
struct Faults {
    operations: u32,
    /// Operations that fail, by their number from 0.
    failing: std::ops::Range<u32>,
}

/// Disk that is full, or returns errors, during a range of operations. A failed
/// write leaves half of its bytes, and a failed sync all of them.
#[derive(Clone, Debug, Default)]
struct FailingDisk(Arc<Mutex<Faults>>);

impl FailingDisk {
    fn failing_at(operations: std::ops::Range<u32>) -> Self {
        FailingDisk(Arc::new(Mutex::new(Faults { operations: 0, failing: operations })))
    }

    fn operations(&self) -> u32 {
        self.0.lock().expect("no thread panicked").operations
    }

    fn admit(&self) -> Result<()> {
        let mut faults = self.0.lock().expect("no thread panicked");
        let number = faults.operations;
        faults.operations += 1;
        let fails = faults.failing.contains(&number);
        if fails { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }
}

impl Disk for FailingDisk {
    fn create(&self, path: &Path) -> Result<File> {
        self.admit()?;
        SystemDisk.create(path)
    }

    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> Result<()> {
        if let Err(error) = self.admit() {
            SystemDisk.write_at(file, &bytes[..bytes.len() / 2], offset)?;
            return Err(error);
        }
        SystemDisk.write_at(file, bytes, offset)
    }

    fn set_len(&self, file: &File, bytes: u64) -> Result<()> {
        self.admit()?;
        SystemDisk.set_len(file, bytes)
    }

    fn sync(&self, file: &File) -> Result<()> {
        self.admit()?;
        SystemDisk.sync(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        self.admit()?;
        SystemDisk.rename(from, to)
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.admit()?;
        SystemDisk.remove(path)
    }

    fn sync_folder(&self, path: &Path) -> Result<()> {
        self.admit()?;
        SystemDisk.sync_folder(path)
    }
}

fn entries(indices: std::ops::RangeInclusive<u64>) -> Vec<LogEntry> {
    let entry = |index| {
        let payload = Some(Payload::Command(Bytes::from(vec![index as u8; 100])));
        LogEntry { index, term: 1, payload }
    };
    indices.map(entry).collect()
}

/// Changes to a journal that cover each way of writing.
#[derive(Clone, Copy, Debug)]
enum Change {
    Vote(HardState),
    Entries(u64, u64),
    MarkSynced,
    Snapshot { index: u64, last: u64 },
}

const CHANGES: [Change; 6] = [
    Change::Vote(HardState { term: 1, voted_for: 7 }),
    Change::Entries(1, 6),
    Change::MarkSynced,
    Change::Snapshot { index: 4, last: 6 },
    Change::Entries(7, 9),
    Change::Vote(HardState { term: 2, voted_for: 8 }),
];

fn apply(journal: &mut Journal, change: Change) -> std::result::Result<(), JournalError> {
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
fn held_after(count: usize) -> (HardState, u64, u64) {
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

fn held_by(recovered: &RecoveredState) -> (HardState, u64, u64) {
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let last = recovered.entries.last().map_or(snapshot_index, |entry| entry.index);
    (recovered.hard_state, snapshot_index, last)
}

/// Opens the folder on `disk`, repeating what fails.
fn open(path: &Path, disk: &FailingDisk) -> Journal {
    loop {
        match Journal::open_on(path, Box::new(disk.clone())) {
            Ok((journal, _)) => return journal,
            Err(error) => assert!(error.is_transient(), "{error}"),
        }
    }
}

/// Number of disk operations of opening an empty folder and of all changes.
fn operation_count() -> u32 {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let disk = FailingDisk::default();
    let mut journal = open(folder.path(), &disk);
    for change in CHANGES {
        apply(&mut journal, change).expect("the disk does not fail");
    }
    disk.operations()
}

#[test]
fn failed_operations_are_repeated_without_loss() {
    for first in 0..operation_count() {
        for failures in [1, 3] {
            let folder = tempfile::tempdir().expect("a temporary folder is created");
            let disk = FailingDisk::failing_at(first..first + failures);
            let mut journal = open(folder.path(), &disk);

            for change in CHANGES {
                while let Err(error) = apply(&mut journal, change) {
                    assert!(error.is_transient(), "operation {first}, {change:?}: {error}");
                }
            }

            drop(journal);
            let (_, recovered) = Journal::open(folder.path()).expect("the folder opens");
            assert_eq!(held_by(&recovered), held_after(CHANGES.len()), "operation {first}");
        }
    }
}

#[test]
fn process_that_ends_after_a_failed_operation_loses_nothing() {
    for first in 0..operation_count() {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let disk = FailingDisk::failing_at(first..first + 1);
        let mut journal = open(folder.path(), &disk);

        let done = CHANGES.iter().take_while(|change| apply(&mut journal, **change).is_ok());
        let done = done.count();

        drop(journal);
        let (_, recovered) = Journal::open(folder.path()).expect("the folder opens");
        let held = held_by(&recovered);
        // Of the change that failed, any leading part may be there.
        let (before, after) = (held_after(done), held_after((done + 1).min(CHANGES.len())));
        let case = format!("operation {first}: {held:?} after {done} changes");
        assert!(held.0 == before.0 || held.0 == after.0, "{case}");
        assert!(held.1 == before.1 || held.1 == after.1, "{case}");
        assert!((before.2..=after.2).contains(&held.2), "{case}");
    }
}

#[test]
fn folder_opens_on_a_disk_that_refuses_all_writes() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut journal = open(folder.path(), &FailingDisk::default());
    for change in CHANGES {
        apply(&mut journal, change).expect("the disk does not fail");
    }
    drop(journal);
    // Opening syncs the log, which a full disk allows, and writes nothing.
    let full = FailingDisk::failing_at(1..u32::MAX);

    let (mut journal, recovered) =
        Journal::open_on(folder.path(), Box::new(full)).expect("the folder opens");

    assert_eq!(held_by(&recovered), held_after(CHANGES.len()));
    let error = apply(&mut journal, Change::Entries(10, 10)).expect_err("the disk is full");
    assert!(error.is_transient(), "{error}");
}
