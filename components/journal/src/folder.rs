//! Files in a data folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

use prost::Message as _;
use schema::Snapshot;
use serde::{Deserialize, Serialize};

use crate::segment::Segment;
use crate::{AppendBatch, Disk, JournalError, TEMPORARY_SUFFIX, with_suffix};

const IDENTITY_FILE: &str = "identity.json";
const LOCK_FILE: &str = "lock";
const SEGMENT_PREFIX: &str = "log-";
const SEGMENT_SUFFIX: &str = ".segment";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_SUFFIX: &str = ".image";
const CRC_BYTES: usize = 4;

/// Contents of `identity.json`.
#[derive(Debug, Deserialize, Serialize)]
struct Identity {
    replica_id: u64,
}

/// Data folder that is locked against other processes.
#[derive(Debug)]
pub(crate) struct Folder {
    path: PathBuf,
    identity: Identity,
    disk: Box<dyn Disk>,
    _lock: File,
}

impl Folder {
    pub(crate) fn open(path: &Path, disk: Box<dyn Disk>) -> Result<Folder, JournalError> {
        std::fs::create_dir_all(path).map_err(JournalError::io("create", path))?;
        let lock = lock(&path.join(LOCK_FILE))?;
        let identity_path = path.join(IDENTITY_FILE);
        let has_identity =
            identity_path.try_exists().map_err(JournalError::io("read", &identity_path))?;
        if !has_identity {
            initialise(path, disk.as_ref())?;
        }
        // The last process may have ended between a rename and this sync. Its renames must
        // be durable before the files that they replace are removed.
        sync_folder(disk.as_ref(), path)?;
        let text =
            std::fs::read(&identity_path).map_err(JournalError::io("read", &identity_path))?;
        let identity: Identity = serde_json::from_slice(&text)
            .map_err(|error| JournalError::corrupt(&identity_path, 0, error.to_string()))?;
        Ok(Folder { path: path.to_path_buf(), identity, disk, _lock: lock })
    }

    pub(crate) fn disk(&self) -> &dyn Disk {
        self.disk.as_ref()
    }

    pub(crate) fn replica_id(&self) -> u64 {
        self.identity.replica_id
    }

    pub(crate) fn segment_path(&self, index: u64) -> PathBuf {
        segment_path(&self.path, index)
    }

    /// Returns the index of the snapshot that the newest segment follows, or 0
    /// without a snapshot.
    pub(crate) fn snapshot_index(&self) -> Result<u64, JournalError> {
        let newest = indices(&self.path, SEGMENT_PREFIX, SEGMENT_SUFFIX)?.into_iter().max();
        newest.ok_or_else(|| JournalError::missing(self.segment_path(0)))
    }

    pub(crate) fn read_snapshot(&self, index: u64) -> Result<Option<Snapshot>, JournalError> {
        if index == 0 {
            return Ok(None);
        }
        let path = snapshot_path(&self.path, index);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                return Err(JournalError::missing(path));
            }
            Err(error) => return Err(JournalError::io("read", &path)(error)),
        };
        let decoded = decode_snapshot(&bytes).filter(|snapshot| snapshot.index == index);
        decoded.map(Some).ok_or_else(|| {
            JournalError::corrupt(
                &path,
                0,
                "the snapshot has an invalid checksum, encoding or index",
            )
        })
    }

    pub(crate) fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), JournalError> {
        let encoded = snapshot.encode_to_vec();
        let crc = crc32fast::hash(&encoded);
        let path = snapshot_path(&self.path, snapshot.index);
        self.remove_temporary()?;
        let bytes = [crc.to_le_bytes().as_slice(), &encoded].concat();
        write_file_atomically(self.disk(), &path, &bytes)?;
        self.sync()
    }

    /// Removes the segments and snapshots of all indices other than `index`.
    pub(crate) fn remove_stale(&self, index: u64) -> Result<(), JournalError> {
        for stale in indices(&self.path, SEGMENT_PREFIX, SEGMENT_SUFFIX)? {
            if stale != index {
                self.remove(&self.segment_path(stale))?;
            }
        }
        for stale in indices(&self.path, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)? {
            if stale != index {
                self.remove(&snapshot_path(&self.path, stale))?;
            }
        }
        Ok(())
    }

    /// Removes files that a process left which ended before it renamed them.
    fn remove_temporary(&self) -> Result<(), JournalError> {
        for name in file_names(&self.path)? {
            if name.ends_with(TEMPORARY_SUFFIX) {
                self.remove(&self.path.join(name))?;
            }
        }
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<(), JournalError> {
        self.disk.remove(path).map_err(JournalError::io("remove", path))
    }

    pub(crate) fn sync(&self) -> Result<(), JournalError> {
        sync_folder(self.disk(), &self.path)
    }
}

/// Creates the first segment and then the identity in an empty folder. The identity's
/// name is durable only once the folder is synced.
fn initialise(path: &Path, disk: &dyn Disk) -> Result<(), JournalError> {
    let found = indices(path, SEGMENT_PREFIX, SEGMENT_SUFFIX)?;
    let snapshots = indices(path, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)?;
    // A crash in this function leaves a segment at index 0 without records.
    // Records, other segments or snapshots mean that the identity was lost.
    if !snapshots.is_empty() || found.iter().any(|index| *index != 0) {
        return Err(JournalError::missing(path.join(IDENTITY_FILE)));
    }
    let segment_path = segment_path(path, 0);
    if found.contains(&0) {
        let (_, contents) = Segment::open(disk, &segment_path)?;
        if !contents.entries.is_empty() || contents.hard_state.term > 0 {
            return Err(JournalError::missing(path.join(IDENTITY_FILE)));
        }
    }
    Segment::create(disk, &segment_path, AppendBatch::default())?;
    sync_folder(disk, path)?;
    // The id fits in 53 bits, which JSON numbers represent exactly.
    let identity = Identity { replica_id: rand::random_range(1..=u64::MAX >> 11) };
    let text = serde_json::to_vec(&identity).expect("identity serializes to JSON");
    write_file_atomically(disk, &path.join(IDENTITY_FILE), &text)
}

fn lock(path: &Path) -> Result<File, JournalError> {
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(JournalError::io("open", path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            Err(JournalError::Locked { path: path.display().to_string() })
        }
        Err(TryLockError::Error(error)) => Err(JournalError::io("lock", path)(error)),
    }
}

fn decode_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let (crc, encoded) = bytes.split_at_checked(CRC_BYTES)?;
    let crc = u32::from_le_bytes(crc.try_into().ok()?);
    if crc32fast::hash(encoded) != crc {
        return None;
    }
    Snapshot::decode(encoded).ok()
}

fn segment_path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{index}{SEGMENT_SUFFIX}"))
}

fn snapshot_path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{index}{SNAPSHOT_SUFFIX}"))
}

/// Returns the indices in the names of all files with this prefix and suffix.
fn indices(folder: &Path, prefix: &str, suffix: &str) -> Result<Vec<u64>, JournalError> {
    let index = |name: String| name.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok();
    Ok(file_names(folder)?.into_iter().filter_map(index).collect())
}

/// Returns the names of all files, except those that are not UTF-8.
fn file_names(folder: &Path) -> Result<Vec<String>, JournalError> {
    let mut names = Vec::new();
    for file in std::fs::read_dir(folder).map_err(JournalError::io("list", folder))? {
        let name = file.map_err(JournalError::io("list", folder))?.file_name();
        names.extend(name.into_string());
    }
    Ok(names)
}

/// Writes a temporary file, syncs it and renames it to `path`. The rename is
/// durable only once the folder is synced.
fn write_file_atomically(disk: &dyn Disk, path: &Path, bytes: &[u8]) -> Result<(), JournalError> {
    let temporary = with_suffix(path, TEMPORARY_SUFFIX);
    let file = disk.create(&temporary).map_err(JournalError::io("create", &temporary))?;
    disk.write_at(&file, bytes, 0).map_err(JournalError::io("write", &temporary))?;
    disk.sync(&file).map_err(JournalError::io("sync", &temporary))?;
    disk.rename(&temporary, path).map_err(JournalError::io("rename", &temporary))
}

fn sync_folder(disk: &dyn Disk, path: &Path) -> Result<(), JournalError> {
    disk.sync_folder(path).map_err(JournalError::io("sync", path))
}
