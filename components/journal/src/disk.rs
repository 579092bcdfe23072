//! File operations that change a data folder.

use std::fs::{File, OpenOptions};
use std::io::Result;
use std::os::unix::fs::FileExt as _;
use std::path::Path;

/// Disk that holds a data folder. Tests replace the system's disk by one that fails.
pub trait Disk: std::fmt::Debug + Send {
    /// Creates a file for reading and writing, and empties an existing one.
    fn create(&self, path: &Path) -> Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)
    }

    /// Writes all `bytes` at `offset`. After an error, part of them may be written.
    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> Result<()> {
        file.write_all_at(bytes, offset)
    }

    /// Truncates or extends a file.
    fn set_len(&self, file: &File, bytes: u64) -> Result<()> {
        file.set_len(bytes)
    }

    /// Makes the contents of a file durable.
    fn sync(&self, file: &File) -> Result<()> {
        file.sync_data()
    }

    /// Renames a file, replacing `to`; durable once the folder is synced.
    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        std::fs::rename(from, to)
    }

    /// Removes a file; durable once the folder is synced.
    fn remove(&self, path: &Path) -> Result<()> {
        std::fs::remove_file(path)
    }

    /// Makes created, renamed and removed names of a folder durable.
    fn sync_folder(&self, path: &Path) -> Result<()> {
        File::open(path)?.sync_all()
    }
}

/// Disk of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDisk;

impl Disk for SystemDisk {}
