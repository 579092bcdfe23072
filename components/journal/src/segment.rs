//! Log segment: one file of log records.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};

use schema::{HardState, LogEntry};

use crate::codec::{self, Record};
use crate::header::{HEADER_BYTES, Header};
use crate::{AppendBatch, JournalError, with_suffix};

/// Open log segment.
#[derive(Debug)]
pub(crate) struct Segment {
    file: File,
    path: PathBuf,
    header: Header,
    /// Set once a write failed, because the contents of the file are then unknown.
    write_failed: bool,
}

/// Records read from a log segment.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) dropped_bytes: u64,
}

impl Segment {
    /// Creates a durable segment that holds `batch`, and replaces any file at
    /// `path`. The rename is durable only once the folder is synced.
    pub(crate) fn create(path: &Path, batch: AppendBatch<'_>) -> Result<Segment, JournalError> {
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
        let mut segment = Segment { file, path: temporary.clone(), header, write_failed: false };
        segment.append(batch)?;
        segment.mark_synced()?;
        std::fs::rename(&temporary, path).map_err(JournalError::io("rename", &temporary))?;
        segment.path = path.to_path_buf();
        Ok(segment)
    }

    /// Opens a segment, reads its records, truncates an unfinished last write and
    /// marks the rest as synced.
    pub(crate) fn open(path: &Path) -> Result<(Segment, Contents), JournalError> {
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                return Err(JournalError::missing(path.to_path_buf()));
            }
            Err(error) => return Err(JournalError::io("read", path)(error)),
        };
        let header = Header::newest(&bytes)
            .ok_or_else(|| JournalError::corrupt(path, 0, "neither header slot is valid"))?;
        let (contents, end) = read_records(path, &bytes, &header)?;
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .map_err(JournalError::io("open", path))?;
        file.set_len(end).map_err(JournalError::io("truncate", path))?;
        let header = Header { written_bytes: end, ..header };
        let mut segment = Segment { file, path: path.to_path_buf(), header, write_failed: false };
        segment.mark_synced()?;
        Ok((segment, contents))
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn len_bytes(&self) -> u64 {
        self.header.written_bytes
    }

    pub(crate) fn append(&mut self, batch: AppendBatch<'_>) -> Result<(), JournalError> {
        let mut buffer = Vec::new();
        if let Some(hard_state) = &batch.hard_state {
            codec::encode_hard_state(&mut buffer, hard_state);
        }
        for entry in batch.entries {
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

    /// Writes a header that marks all written bytes as synced.
    pub(crate) fn mark_synced(&mut self) -> Result<(), JournalError> {
        let Header { sequence, written_bytes, synced_bytes } = self.header;
        if synced_bytes == written_bytes && sequence > 0 {
            return Ok(());
        }
        let header = Header { sequence: sequence + 1, synced_bytes: written_bytes, written_bytes };
        self.write(written_bytes, &[], header)
    }

    fn write(&mut self, start: u64, buffer: &[u8], header: Header) -> Result<(), JournalError> {
        if self.write_failed {
            let reason = "an earlier write failed, so the file contents are unknown";
            return Err(JournalError::corrupt(&self.path, start, reason));
        }
        let result = self
            .file
            .write_all_at(buffer, start)
            .and_then(|()| self.file.write_all_at(&header.encode(), header.slot_offset()))
            .and_then(|()| self.file.sync_data());
        self.write_failed = result.is_err();
        result.map_err(JournalError::io("write", &self.path))?;
        self.header = header;
        Ok(())
    }
}

/// Decodes all records up to the first unreadable one and returns their end. Fails
/// if a synced record is unreadable.
fn read_records(
    path: &Path,
    bytes: &[u8],
    header: &Header,
) -> Result<(Contents, u64), JournalError> {
    let mut contents = Contents::default();
    let mut offset = usize::try_from(HEADER_BYTES).unwrap_or(usize::MAX);
    while let Some((record, length)) = bytes.get(offset..).and_then(codec::decode) {
        add_record(&mut contents, record);
        offset += length;
    }
    let end = offset as u64;
    if end < header.synced_bytes {
        let reason = format!("synced records up to byte {} cannot be decoded", header.synced_bytes);
        return Err(JournalError::corrupt(path, end, reason));
    }
    contents.dropped_bytes = (bytes.len() as u64).saturating_sub(end);
    Ok((contents, end))
}

fn add_record(contents: &mut Contents, record: Record) {
    match record {
        Record::HardState(hard_state) => contents.hard_state = hard_state,
        Record::Entry(entry) => {
            let kept = contents.entries.partition_point(|e| e.index < entry.index);
            contents.entries.truncate(kept);
            contents.entries.push(entry);
        }
    }
}
