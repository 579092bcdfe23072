//! Disk that keeps what is durable apart from what can be read.

use std::collections::{BTreeMap, HashMap};
use std::fs::{File, Metadata};
use std::io::{Error, Result};
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use journal::{Disk, SystemDisk};

const IO_ERROR: i32 = 5;
const NO_SPACE: i32 = 28;

/// What a failing disk refuses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// Refuses what needs space, or changes names, and still syncs.
    Full,
    /// Returns errors for all operations.
    Errors,
    /// Returns errors for all operations. What a failed sync should have made durable
    /// can be read, but no later sync writes it, as on Linux.
    ErrorsThatLoseWrites,
}

/// What of the changes since the last sync outlasts a power loss.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    pub renames: bool,
    pub removals: bool,
    pub writes: bool,
}

#[derive(Clone, Debug)]
enum Write {
    Bytes(u64, Vec<u8>),
    Length(u64),
}

#[derive(Clone, Debug)]
enum NameChange {
    Renamed { from: PathBuf, to: PathBuf, inode: u64 },
    Removed(PathBuf),
}

#[derive(Clone, Debug, Default)]
struct Inode {
    durable: Vec<u8>,
    unsynced: Vec<Write>,
    /// Name under which the file was created, until it is synced.
    created_as: Option<PathBuf>,
}

#[derive(Debug, Default)]
struct Contents {
    inodes: HashMap<u64, Inode>,
    names: BTreeMap<PathBuf, u64>,
    unsynced_names: Vec<NameChange>,
    operations: u32,
    /// Number of the first operation that fails, and how.
    failing_from: Option<(u32, Failure)>,
}

/// Disk in a folder; clones share their contents.
#[derive(Clone, Debug, Default)]
pub struct VolatileDisk(Arc<Mutex<Contents>>);

impl VolatileDisk {
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().expect("no thread panicked")
    }

    pub fn operations(&self) -> u32 {
        self.contents().operations
    }

    /// Makes the operation with this number, and all later ones, fail.
    pub fn fail_from(&self, operation: u32, failure: Failure) {
        self.contents().failing_from = Some((operation, failure));
    }

    pub fn stop_failing(&self) {
        self.contents().failing_from = None;
    }

    /// Writes what is left after a power loss to `folder`.
    pub fn write_remains(&self, folder: &Path, kept: Kept) {
        let contents = self.contents();
        let mut names = contents.names.clone();
        for change in &contents.unsynced_names {
            match change {
                NameChange::Renamed { from, to, inode } if kept.renames => {
                    names.remove(from);
                    names.insert(to.clone(), *inode);
                }
                NameChange::Removed(path) if kept.removals => drop(names.remove(path)),
                NameChange::Renamed { .. } | NameChange::Removed(_) => {}
            }
        }
        for (path, inode) in names {
            let mut inode = contents.inodes[&inode].clone();
            if kept.writes {
                inode.sync();
            }
            let name = path.file_name().expect("files have names");
            std::fs::write(folder.join(name), &inode.durable).expect("the folder is writable");
        }
    }

    fn admit(&self, is_sync: bool) -> Result<()> {
        let mut contents = self.contents();
        let number = contents.operations;
        contents.operations += 1;
        let failure = contents.failing_from.filter(|(from, _)| number >= *from);
        match failure {
            Some((_, Failure::Full)) if !is_sync => Err(Error::from_raw_os_error(NO_SPACE)),
            Some((_, Failure::Errors | Failure::ErrorsThatLoseWrites)) => {
                Err(Error::from_raw_os_error(IO_ERROR))
            }
            Some((_, Failure::Full)) | None => Ok(()),
        }
    }
}

impl Inode {
    fn sync(&mut self) {
        for write in std::mem::take(&mut self.unsynced) {
            match write {
                Write::Length(bytes) => self.durable.resize(bytes as usize, 0),
                Write::Bytes(offset, bytes) => {
                    let start = offset as usize;
                    let end = start + bytes.len();
                    self.durable.resize(self.durable.len().max(end), 0);
                    self.durable[start..end].copy_from_slice(&bytes);
                }
            }
        }
    }
}

fn metadata(file: &File) -> Metadata {
    file.metadata().expect("an open file has metadata")
}

impl Disk for VolatileDisk {
    fn create(&self, path: &Path) -> Result<File> {
        self.admit(false)?;
        let exists = path.exists();
        let file = SystemDisk.create(path)?;
        let inode = metadata(&file).ino();
        let mut contents = self.contents();
        if exists {
            let found = contents.inodes.entry(inode).or_default();
            found.unsynced.push(Write::Length(0));
        } else {
            let created_as = Some(path.to_path_buf());
            contents.inodes.insert(inode, Inode { created_as, ..Inode::default() });
        }
        Ok(file)
    }

    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> Result<()> {
        let admitted = self.admit(false);
        let written = if admitted.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        SystemDisk.write_at(file, written, offset)?;
        let mut contents = self.contents();
        let inode = contents.inodes.entry(metadata(file).ino()).or_default();
        inode.unsynced.push(Write::Bytes(offset, written.to_vec()));
        admitted
    }

    fn set_len(&self, file: &File, bytes: u64) -> Result<()> {
        self.admit(false)?;
        SystemDisk.set_len(file, bytes)?;
        let mut contents = self.contents();
        let inode = contents.inodes.entry(metadata(file).ino()).or_default();
        inode.unsynced.push(Write::Length(bytes));
        Ok(())
    }

    fn sync(&self, file: &File) -> Result<()> {
        let admitted = self.admit(true);
        let number = metadata(file).ino();
        let mut contents = self.contents();
        let loses_writes =
            matches!(contents.failing_from, Some((_, Failure::ErrorsThatLoseWrites)));
        let inode = contents.inodes.entry(number).or_default();
        if admitted.is_err() {
            if loses_writes {
                inode.unsynced.clear();
            }
            return admitted;
        }
        inode.sync();
        if let Some(path) = inode.created_as.take() {
            contents.names.insert(path, number);
        }
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        self.admit(false)?;
        let inode = std::fs::metadata(from)?.ino();
        SystemDisk.rename(from, to)?;
        let (from, to) = (from.to_path_buf(), to.to_path_buf());
        self.contents().unsynced_names.push(NameChange::Renamed { from, to, inode });
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.admit(false)?;
        SystemDisk.remove(path)?;
        self.contents().unsynced_names.push(NameChange::Removed(path.to_path_buf()));
        Ok(())
    }

    fn sync_folder(&self, _: &Path) -> Result<()> {
        self.admit(true)?;
        let mut contents = self.contents();
        for change in std::mem::take(&mut contents.unsynced_names) {
            match change {
                NameChange::Renamed { from, to, inode } => {
                    contents.names.remove(&from);
                    contents.names.insert(to, inode);
                }
                NameChange::Removed(path) => drop(contents.names.remove(&path)),
            }
        }
        Ok(())
    }
}
