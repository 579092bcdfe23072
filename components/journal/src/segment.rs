//! One log file.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

use schema::{HardState, LogEntry};

use crate::codec::{self, Record};
use crate::header::{HEADER_BYTES, Header};
use crate::{JournalError, Write, with_suffix};

/// Open log file.
#[derive(Debug)]
pub(crate) struct Segment {
    file: File,
    path: PathBuf,
    header: Header,
    /// Set once a write failed: what the file holds is unknown from then on.
    failed: bool,
}

/// Records of a log file.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) dropped_bytes: u64,
}

impl Segment {
    /// Creates a durable file that holds `write`, in place of any earlier one.
    pub(crate) fn create(path: &Path, write: Write<'_>) -> Result<Segment, JournalError> {
        let temporary = with_suffix(path, ".tmp");
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&temporary)
            .map_err(JournalError::io("create", &temporary))?;
        let header =
            Header { sequence: 0, synced_bytes: HEADER_BYTES, written_bytes: HEADER_BYTES };
        file.set_len(HEADER_BYTES).map_err(JournalError::io("extend", &temporary))?;
        let mut segment = Segment { file, path: temporary.clone(), header, failed: false };
        segment.append(write)?;
        segment.seal()?;
        std::fs::rename(&temporary, path).map_err(JournalError::io("rename", &temporary))?;
        segment.path = path.to_path_buf();
        Ok(segment)
    }

    /// Opens a file and reads its records.
    pub(crate) fn open(path: &Path) -> Result<(Segment, Contents), JournalError> {
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                return Err(JournalError::lost(path.to_path_buf()));
            }
            Err(error) => return Err(JournalError::io("read", path)(error)),
        };
        let header = Header::newest(&bytes)
            .ok_or_else(|| JournalError::corrupt(path, 0, "no valid header"))?;
        let (contents, end) = read_records(path, &bytes, &header)?;
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .map_err(JournalError::io("open", path))?;
        file.set_len(end).map_err(JournalError::io("truncate", path))?;
        let header = Header { written_bytes: end, ..header };
        let mut segment = Segment { file, path: path.to_path_buf(), header, failed: false };
        segment.seal()?;
        Ok((segment, contents))
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn len_bytes(&self) -> u64 {
        self.header.written_bytes
    }

    pub(crate) fn append(&mut self, write: Write<'_>) -> Result<(), JournalError> {
        let mut buffer = Vec::new();
        if let Some(hard_state) = &write.hard_state {
            codec::encode_hard_state(&mut buffer, hard_state);
        }
        for entry in write.entries {
            codec::encode_entry(&mut buffer, entry);
        }
        let start = self.header.written_bytes;
        let header = Header {
            sequence: self.header.sequence + 1,
            synced_bytes: start,
            written_bytes: start + buffer.len() as u64,
        };
        self.write(start, &buffer, header)
    }

    pub(crate) fn seal(&mut self) -> Result<(), JournalError> {
        let Header { sequence, written_bytes, synced_bytes } = self.header;
        if synced_bytes == written_bytes && sequence > 0 {
            return Ok(());
        }
        let header = Header { sequence: sequence + 1, synced_bytes: written_bytes, written_bytes };
        self.write(written_bytes, &[], header)
    }

    fn write(&mut self, start: u64, buffer: &[u8], header: Header) -> Result<(), JournalError> {
        if self.failed {
            let what = "an earlier write failed, so its contents are unknown";
            return Err(JournalError::corrupt(&self.path, start, what));
        }
        let result = self
            .file
            .write_all_at(buffer, start)
            .and_then(|()| self.file.write_all_at(&header.encode(), header.slot_offset()))
            .and_then(|()| self.file.sync_data());
        self.failed = result.is_err();
        result.map_err(JournalError::io("write", &self.path))?;
        self.header = header;
        Ok(())
    }
}

/// Reads all records and returns where they end.
fn read_records(
    path: &Path,
    bytes: &[u8],
    header: &Header,
) -> Result<(Contents, u64), JournalError> {
    let mut contents = Contents::default();
    let mut offset = usize::try_from(HEADER_BYTES).unwrap_or(usize::MAX);
    while let Some((record, length)) = bytes.get(offset..).and_then(codec::decode) {
        apply(&mut contents, record);
        offset += length;
    }
    let end = offset as u64;
    if end < header.synced_bytes {
        let what = format!("synced records up to byte {} cannot be read", header.synced_bytes);
        return Err(JournalError::corrupt(path, end, what));
    }
    contents.dropped_bytes = (bytes.len() as u64).saturating_sub(end);
    Ok((contents, end))
}

fn apply(contents: &mut Contents, record: Record) {
    match record {
        Record::HardState(hard_state) => contents.hard_state = hard_state,
        Record::Entry(entry) => {
            let replaced = contents.entries.partition_point(|e| e.index < entry.index);
            contents.entries.truncate(replaced);
            contents.entries.push(entry);
        }
    }
}
