//! Power losses after the disk failed, or after the process ended at any operation.

mod disk;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;

use journal::{Journal, RecoveredState};

use disk::{Failure, Kept, VolatileDisk};
use support::{CHANGES, apply, held_after, held_by};

const FAILURES: [Failure; 3] = [Failure::Full, Failure::Errors, Failure::ErrorsThatLoseWrites];

/// All combinations of what may outlast a power loss.
fn kept() -> Vec<Kept> {
    let choices = [true, false];
    let mut kept = Vec::new();
    for renames in choices {
        for removals in choices {
            kept.extend(choices.map(|writes| Kept { renames, removals, writes }));
        }
    }
    kept
}

/// Opens the folder on `disk`, repeating what fails; `None` if it keeps failing.
fn open(path: &Path, disk: &VolatileDisk) -> Option<(Journal, RecoveredState)> {
    for _ in 0..3 {
        match Journal::open_on(path, Box::new(disk.clone())) {
            Ok(opened) => return Some(opened),
            Err(error) => assert!(error.is_transient(), "{error}"),
        }
    }
    None
}

/// Returns what a journal holds after a power loss.
fn held_after_power_loss(
    disk: &VolatileDisk,
    kept: Kept,
) -> Result<(schema::HardState, u64, u64), String> {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    disk.write_remains(folder.path(), kept);
    let (_, recovered) = Journal::open(folder.path()).map_err(|error| error.to_string())?;
    Ok(held_by(&recovered))
}

/// Number of disk operations of opening an empty folder and of all changes.
fn operation_count() -> u32 {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let disk = VolatileDisk::default();
    let (mut journal, _) = open(folder.path(), &disk).expect("the disk does not fail");
    for change in CHANGES {
        apply(&mut journal, change).expect("the disk does not fail");
    }
    disk.operations()
}

// Guards against a write that is repeated after a failure and counts as durable though
// the sync that succeeded did not cover it.
#[test]
fn what_was_written_again_after_a_failure_outlasts_a_power_loss() {
    for (first, failure) in (0..operation_count()).flat_map(|first| FAILURES.map(|f| (first, f))) {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let disk = VolatileDisk::default();
        disk.fail_from(first, failure);
        let mut opened = open(folder.path(), &disk);
        let mut done = 0;
        if let Some((journal, _)) = &mut opened {
            done = CHANGES.iter().take_while(|change| apply(journal, **change).is_ok()).count();
        }
        disk.stop_failing();

        let (mut journal, _) =
            opened.or_else(|| open(folder.path(), &disk)).expect("the disk does not fail");
        for change in &CHANGES[done..] {
            apply(&mut journal, *change).expect("the disk does not fail");
        }

        for kept in kept() {
            let held = held_after_power_loss(&disk, kept);
            let case = format!("operation {first}, {failure:?}, {kept:?}");
            assert_eq!(held.expect(&case), held_after(CHANGES.len()), "{case}");
        }
    }
}

// Guards against a restarted process that reports what it read as durable, and against
// removals that become durable before the rename that replaces the removed file.
#[test]
fn what_a_process_read_after_a_restart_outlasts_a_power_loss() {
    for (first, failure) in (0..operation_count()).flat_map(|first| FAILURES.map(|f| (first, f))) {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let disk = VolatileDisk::default();
        disk.fail_from(first, failure);
        if let Some((mut journal, _)) = open(folder.path(), &disk) {
            let _ =
                CHANGES.iter().take_while(|change| apply(&mut journal, **change).is_ok()).count();
        }
        disk.stop_failing();

        let (_, recovered) = open(folder.path(), &disk).expect("the disk does not fail");

        for kept in kept() {
            let held = held_after_power_loss(&disk, kept);
            let case = format!("operation {first}, {failure:?}, {kept:?}");
            assert_eq!(held.expect(&case), held_by(&recovered), "{case}");
        }
    }
}
