//! Writes that fail, at each operation on the disk, and are repeated.

mod support;

use std::fs::{DirEntry, File};
use std::io::{Error, ErrorKind, Result};
use std::path::Path;
use std::sync::{Arc, Mutex};

use journal::{Disk, Journal, SystemDisk};
use schema::Snapshot;

use support::{CHANGES, Change, apply, held_after, held_by};

/// Failures of a [`FailingDisk`].
#[derive(Debug, Default)]
struct Faults {
    operations: u32,
    /// Operations that fail, by their number from 0.
    failing: std::ops::Range<u32>,
    /// All operations fail that write or change names; syncs do not.
    refuses_writes: bool,
}

/// Disk that is full, or returns errors, during a range of operations. A failed
/// write leaves half of its bytes, and a failed sync all of them.
#[derive(Clone, Debug, Default)]
struct FailingDisk(Arc<Mutex<Faults>>);

impl FailingDisk {
    fn failing_at(operations: std::ops::Range<u32>) -> Self {
        let faults = Faults { failing: operations, ..Faults::default() };
        FailingDisk(Arc::new(Mutex::new(faults)))
    }

    fn full() -> Self {
        FailingDisk(Arc::new(Mutex::new(Faults { refuses_writes: true, ..Faults::default() })))
    }

    fn operations(&self) -> u32 {
        self.0.lock().expect("no thread panicked").operations
    }

    fn admit(&self, is_sync: bool) -> Result<()> {
        let mut faults = self.0.lock().expect("no thread panicked");
        let number = faults.operations;
        faults.operations += 1;
        let fails = faults.failing.contains(&number) || (faults.refuses_writes && !is_sync);
        if fails { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }
}

impl Disk for FailingDisk {
    fn create(&self, path: &Path) -> Result<File> {
        self.admit(false)?;
        SystemDisk.create(path)
    }

    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> Result<()> {
        if let Err(error) = self.admit(false) {
            SystemDisk.write_at(file, &bytes[..bytes.len() / 2], offset)?;
            return Err(error);
        }
        SystemDisk.write_at(file, bytes, offset)
    }

    fn set_len(&self, file: &File, bytes: u64) -> Result<()> {
        self.admit(false)?;
        SystemDisk.set_len(file, bytes)
    }

    fn sync(&self, file: &File) -> Result<()> {
        self.admit(true)?;
        SystemDisk.sync(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        self.admit(false)?;
        SystemDisk.rename(from, to)
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.admit(false)?;
        SystemDisk.remove(path)
    }

    fn sync_folder(&self, path: &Path) -> Result<()> {
        self.admit(true)?;
        SystemDisk.sync_folder(path)
    }
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

    // Opening syncs the log and the folder, which a full disk allows.
    let (mut journal, recovered) =
        Journal::open_on(folder.path(), Box::new(FailingDisk::full())).expect("the folder opens");

    assert_eq!(held_by(&recovered), held_after(CHANGES.len()));
    let error = apply(&mut journal, Change::Entries(10, 10)).expect_err("the disk is full");
    assert!(error.is_transient(), "{error}");
}

/// Returns the names of the files in a data folder.
fn file_names(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).expect("the folder can be read");
    let name = |file: Result<DirEntry>| file.expect("a file").file_name().into_string();
    files.map(|file| name(file).expect("names are UTF-8")).collect()
}

// Guards against space that is never freed: each process that ended while it wrote a
// snapshot left its temporary files.
#[test]
fn files_that_an_ended_process_did_not_rename_are_removed_with_the_next_snapshot() {
    for first in 0..operation_count() {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let disk = FailingDisk::failing_at(first..u32::MAX);
        if let Ok((mut journal, _)) = Journal::open_on(folder.path(), Box::new(disk)) {
            let ended = CHANGES.iter().find(|change| apply(&mut journal, **change).is_err());
            assert!(ended.is_some(), "operation {first}");
        }

        let mut journal = open(folder.path(), &FailingDisk::default());
        let snapshot = Snapshot { index: 20, term: 1, ..Snapshot::default() };
        journal.install_snapshot(&snapshot, &[]).expect("the disk does not fail");

        let mut names = file_names(folder.path());
        names.sort();
        let expected = ["identity.json", "lock", "log-20.segment", "snapshot-20.image"];
        assert_eq!(names, expected, "operation {first}");
    }
}
