//! Data folders with missing, truncated or corrupt files.

use std::fs::OpenOptions;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use journal::{AppendBatch, Journal, JournalError, RecoveredState};
use schema::log_entry::Payload;
use schema::{HardState, LogEntry, Snapshot};

const HEADER_BYTES: u64 = 8_192;

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = Some(Payload::Command(Bytes::from(vec![index as u8; 40])));
    LogEntry { index, term, payload }
}

fn entries(indices: std::ops::RangeInclusive<u64>) -> Vec<LogEntry> {
    indices.map(|index| entry(index, 1)).collect()
}

fn append(journal: &mut Journal, entries: &[LogEntry]) {
    journal.append(AppendBatch { hard_state: None, entries }).expect("the write succeeds");
}

fn open(path: &Path) -> (Journal, RecoveredState) {
    Journal::open(path).expect("the data folder opens")
}

fn segment_path(path: &Path) -> PathBuf {
    path.join("log-0.segment")
}

/// Creates a data folder with ten entries, each in a separate write.
fn folder_with_ten_entries() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut journal, _) = open(folder.path());
    for index in 1..=10 {
        append(&mut journal, &entries(index..=index));
    }
    folder
}

fn flip_byte(path: &Path, offset: u64) {
    let file = OpenOptions::new().read(true).write(true).open(path).expect("the file opens");
    let mut byte = [0];
    file.read_exact_at(&mut byte, offset).expect("the offset is inside the file");
    file.write_all_at(&[!byte[0]], offset).expect("the file is writable");
}

#[test]
fn durable_state_is_restored_on_open() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut journal, recovered) = open(folder.path());
    assert!(recovered.entries.is_empty());
    let id = journal.replica_id();
    let hard_state = HardState { term: 3, voted_for: 9 };
    let batch = AppendBatch { hard_state: Some(hard_state), entries: &entries(1..=5) };
    journal.append(batch).expect("the write succeeds");
    append(&mut journal, &[entry(4, 2)]);
    drop(journal);

    let (journal, recovered) = open(folder.path());

    assert_eq!(journal.replica_id(), id);
    assert_eq!(recovered.hard_state, hard_state);
    let expected: Vec<LogEntry> = entries(1..=3).into_iter().chain([entry(4, 2)]).collect();
    assert_eq!(recovered.entries, expected);
}

#[test]
fn unfinished_last_write_is_dropped() {
    let folder = folder_with_ten_entries();
    let path = segment_path(folder.path());
    let length = std::fs::metadata(&path).expect("the segment exists").len();
    // The journal was not marked as synced, so the last write counts as possibly unfinished.
    let file = OpenOptions::new().write(true).open(&path).expect("the file opens");
    file.set_len(length - 7).expect("the file is writable");

    let (_, recovered) = open(folder.path());

    assert_eq!(recovered.entries, entries(1..=9));
    assert!(recovered.dropped_bytes > 0);
}

#[test]
fn open_fails_if_synced_records_are_truncated() {
    let folder = folder_with_ten_entries();
    let path = segment_path(folder.path());
    let file = OpenOptions::new().write(true).open(&path).expect("the file opens");
    file.set_len(HEADER_BYTES + 100).expect("the file is writable");

    let error = Journal::open(folder.path()).expect_err("synced records are missing");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

#[test]
fn open_fails_if_synced_record_is_corrupt() {
    let folder = folder_with_ten_entries();
    flip_byte(&segment_path(folder.path()), HEADER_BYTES + 60);

    let error = Journal::open(folder.path()).expect_err("a synced record is corrupt");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

#[test]
fn open_fails_if_last_write_marked_synced_is_corrupt() {
    let folder = folder_with_ten_entries();
    let (mut journal, _) = open(folder.path());
    journal.mark_synced().expect("the write succeeds");
    drop(journal);
    let path = segment_path(folder.path());
    let length = std::fs::metadata(&path).expect("the segment exists").len();
    flip_byte(&path, length - 3);

    let error = Journal::open(folder.path()).expect_err("a record marked as synced is corrupt");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

#[test]
fn open_succeeds_with_one_corrupt_header_slot() {
    for slot in [0, 4_096] {
        let folder = folder_with_ten_entries();
        flip_byte(&segment_path(folder.path()), slot + 10);

        let (_, recovered) = open(folder.path());

        assert_eq!(recovered.entries, entries(1..=10));
    }
}

#[test]
fn open_fails_if_segment_is_missing() {
    let folder = folder_with_ten_entries();
    std::fs::remove_file(segment_path(folder.path())).expect("the segment exists");

    let error = Journal::open(folder.path()).expect_err("the segment is missing");

    assert!(matches!(error, JournalError::Missing { .. }), "{error}");
}

#[test]
fn open_fails_if_identity_is_missing() {
    let folder = folder_with_ten_entries();
    std::fs::remove_file(folder.path().join("identity.json")).expect("the identity exists");

    let error = Journal::open(folder.path()).expect_err("the identity is missing");

    assert!(matches!(error, JournalError::Missing { .. }), "{error}");
}

#[test]
fn emptied_folder_gets_new_replica_id() {
    let folder = folder_with_ten_entries();
    let (journal, _) = open(folder.path());
    let old_id = journal.replica_id();
    drop(journal);
    let files = std::fs::read_dir(folder.path()).expect("the folder exists");
    files.for_each(|file| {
        std::fs::remove_file(file.expect("the folder is readable").path()).expect("removable")
    });

    let (journal, recovered) = open(folder.path());

    assert_ne!(journal.replica_id(), old_id);
    assert!(recovered.entries.is_empty());
}

#[test]
fn open_fails_while_folder_is_in_use() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (_journal, _) = open(folder.path());

    let error = Journal::open(folder.path()).expect_err("the folder is in use");

    assert!(matches!(error, JournalError::Locked { .. }), "{error}");
}

#[test]
fn snapshot_replaces_preceding_log() {
    let folder = folder_with_ten_entries();
    let (mut journal, _) = open(folder.path());
    let log_bytes_before = journal.log_bytes();
    let data = Bytes::from_static(b"state");
    let snapshot = Snapshot { index: 8, term: 1, data, ..Snapshot::default() };
    journal.install_snapshot(&snapshot, &entries(9..=10)).expect("the write succeeds");
    append(&mut journal, &entries(11..=11));
    assert!(journal.log_bytes() < log_bytes_before);
    drop(journal);

    let (_, recovered) = open(folder.path());

    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.entries, entries(9..=11));
}

#[test]
fn crash_between_snapshot_and_new_segment_keeps_old_log() {
    let folder = folder_with_ten_entries();
    std::fs::write(folder.path().join("snapshot-8.image"), b"half").expect("writable");
    std::fs::write(folder.path().join("log-8.segment.tmp"), b"half").expect("writable");

    let (_, recovered) = open(folder.path());

    assert_eq!(recovered.snapshot, None);
    assert_eq!(recovered.entries, entries(1..=10));
}

#[test]
fn open_fails_if_snapshot_is_corrupt() {
    let folder = folder_with_ten_entries();
    let (mut journal, _) = open(folder.path());
    let data = Bytes::from_static(b"state");
    let snapshot = Snapshot { index: 10, term: 1, data, ..Snapshot::default() };
    journal.install_snapshot(&snapshot, &[]).expect("the write succeeds");
    drop(journal);
    flip_byte(&folder.path().join("snapshot-10.image"), 6);

    let error = Journal::open(folder.path()).expect_err("the snapshot is corrupt");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

// Guards against a process that stops for good, or draws a new identity, because its disk
// returns errors for a while.
#[test]
fn identity_that_cannot_be_read_does_not_count_as_missing() {
    let folder = folder_with_ten_entries();
    let identity = folder.path().join("identity.json");
    std::fs::remove_file(&identity).expect("the identity exists");
    // Following a link to itself fails with an error other than "not found".
    std::os::unix::fs::symlink(&identity, &identity).expect("a link can be created");

    let error = Journal::open(folder.path()).expect_err("the identity cannot be read");

    assert!(matches!(error, JournalError::Io { .. }) && error.is_transient(), "{error}");
}
