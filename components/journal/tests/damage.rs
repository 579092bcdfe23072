//! Data folders that lost or changed bytes.

use std::fs::OpenOptions;
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use journal::{Image, Journal, JournalError, Write};
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
    journal.append(Write { hard_state: None, entries }).expect("the disk works");
}

fn open(path: &Path) -> (Journal, Image) {
    Journal::open(path).expect("the folder is intact")
}

fn segment(path: &Path) -> PathBuf {
    path.join("log-0.segment")
}

/// Folder with ten entries, each in a write of its own.
fn folder_with_ten_entries() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open(folder.path());
    for index in 1..=10 {
        append(&mut journal, &entries(index..=index));
    }
    folder
}

fn flip_byte(path: &Path, offset: u64) {
    let file = OpenOptions::new().read(true).write(true).open(path).expect("the file opens");
    let mut byte = [0];
    file.read_exact_at(&mut byte, offset).expect("the offset is inside");
    file.write_all_at(&[!byte[0]], offset).expect("the file is writable");
}

#[test]
fn everything_durable_is_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, image) = open(folder.path());
    assert!(image.entries.is_empty());
    let id = journal.replica_id();
    let hard_state = HardState { term: 3, voted_for: 9 };
    let write = Write { hard_state: Some(hard_state), entries: &entries(1..=5) };
    journal.append(write).expect("the disk works");
    append(&mut journal, &[entry(4, 2)]);
    drop(journal);

    let (journal, image) = open(folder.path());

    assert_eq!(journal.replica_id(), id);
    assert_eq!(image.hard_state, hard_state);
    let expected: Vec<LogEntry> = entries(1..=3).into_iter().chain([entry(4, 2)]).collect();
    assert_eq!(image.entries, expected);
}

#[test]
fn an_unfinished_last_write_is_dropped() {
    let folder = folder_with_ten_entries();
    let path = segment(folder.path());
    let length = std::fs::metadata(&path).expect("the segment exists").len();
    // The journal was not sealed, so the last write may have been torn.
    let file = OpenOptions::new().write(true).open(&path).expect("the file opens");
    file.set_len(length - 7).expect("the file is writable");

    let (_, image) = open(folder.path());

    assert_eq!(image.entries, entries(1..=9));
    assert!(image.dropped_bytes > 0);
}

#[test]
fn a_synced_record_that_is_cut_off_is_refused() {
    let folder = folder_with_ten_entries();
    let path = segment(folder.path());
    let file = OpenOptions::new().write(true).open(&path).expect("the file opens");
    file.set_len(HEADER_BYTES + 100).expect("the file is writable");

    let error = Journal::open(folder.path()).expect_err("synced records are gone");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

#[test]
fn a_synced_record_that_changed_is_refused() {
    let folder = folder_with_ten_entries();
    flip_byte(&segment(folder.path()), HEADER_BYTES + 60);

    let error = Journal::open(folder.path()).expect_err("a synced record changed");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

#[test]
fn damage_to_the_last_write_is_refused_once_it_was_sealed() {
    let folder = folder_with_ten_entries();
    let (mut journal, _) = open(folder.path());
    journal.seal().expect("the disk works");
    drop(journal);
    let path = segment(folder.path());
    let length = std::fs::metadata(&path).expect("the segment exists").len();
    flip_byte(&path, length - 3);

    let error = Journal::open(folder.path()).expect_err("a sealed record changed");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}

#[test]
fn one_torn_header_slot_is_survived() {
    for slot in [0, 4_096] {
        let folder = folder_with_ten_entries();
        flip_byte(&segment(folder.path()), slot + 10);

        let (_, image) = open(folder.path());

        assert_eq!(image.entries, entries(1..=10));
    }
}

#[test]
fn a_lost_segment_is_refused() {
    let folder = folder_with_ten_entries();
    std::fs::remove_file(segment(folder.path())).expect("the segment exists");

    let error = Journal::open(folder.path()).expect_err("the log is lost");

    assert!(matches!(error, JournalError::Lost { .. }), "{error}");
}

#[test]
fn a_lost_identity_is_refused() {
    let folder = folder_with_ten_entries();
    std::fs::remove_file(folder.path().join("identity.json")).expect("the identity exists");

    let error = Journal::open(folder.path()).expect_err("the identity is lost");

    assert!(matches!(error, JournalError::Lost { .. }), "{error}");
}

#[test]
fn an_empty_folder_gets_a_new_identity() {
    let folder = folder_with_ten_entries();
    let (journal, _) = open(folder.path());
    let old = journal.replica_id();
    drop(journal);
    let files = std::fs::read_dir(folder.path()).expect("the folder exists");
    files.for_each(|file| std::fs::remove_file(file.expect("a file").path()).expect("removable"));

    let (journal, image) = open(folder.path());

    assert_ne!(journal.replica_id(), old);
    assert!(image.entries.is_empty());
}

#[test]
fn a_second_process_cannot_use_the_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_journal, _) = open(folder.path());

    let error = Journal::open(folder.path()).expect_err("the folder is in use");

    assert!(matches!(error, JournalError::Locked { .. }), "{error}");
}

#[test]
fn a_snapshot_replaces_the_log_before_it() {
    let folder = folder_with_ten_entries();
    let (mut journal, _) = open(folder.path());
    let before = journal.log_bytes();
    let data = Bytes::from_static(b"state");
    let snapshot = Snapshot { index: 8, term: 1, data, ..Snapshot::default() };
    journal.install(&snapshot, &entries(9..=10)).expect("the disk works");
    append(&mut journal, &entries(11..=11));
    assert!(journal.log_bytes() < before);
    drop(journal);

    let (_, image) = open(folder.path());

    assert_eq!(image.snapshot, Some(snapshot));
    assert_eq!(image.entries, entries(9..=11));
}

#[test]
fn a_crash_between_snapshot_and_new_segment_keeps_the_old_log() {
    let folder = folder_with_ten_entries();
    std::fs::write(folder.path().join("snapshot-8.image"), b"half").expect("writable");
    std::fs::write(folder.path().join("log-8.segment.tmp"), b"half").expect("writable");

    let (_, image) = open(folder.path());

    assert_eq!(image.snapshot, None);
    assert_eq!(image.entries, entries(1..=10));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let folder = folder_with_ten_entries();
    let (mut journal, _) = open(folder.path());
    let data = Bytes::from_static(b"state");
    let snapshot = Snapshot { index: 10, term: 1, data, ..Snapshot::default() };
    journal.install(&snapshot, &[]).expect("the disk works");
    drop(journal);
    flip_byte(&folder.path().join("snapshot-10.image"), 6);

    let error = Journal::open(folder.path()).expect_err("the snapshot changed");

    assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
}
