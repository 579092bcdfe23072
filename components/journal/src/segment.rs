//! Log segment: one file of log records.

use std::fs::{File, OpenOptions};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use schema::{HardState, LogEntry};

use crate::codec::{self, Record};
use crate::header::{HEADER_BYTES, Header};
use crate::{AppendBatch, Disk, JournalError, TEMPORARY_SUFFIX, with_suffix};

/// Open log segment.
#[derive(Debug)]
pub(crate) struct Segment {
    file: File,
    path: PathBuf,
    header: Header,
    /// The file may contain an unfinished write after `header.written_bytes`, which
    /// the next write truncates first.
    has_unfinished_write: bool,
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
    pub(crate) fn create(
        disk: &dyn Disk,
        path: &Path,
        batch: AppendBatch<'_>,
    ) -> Result<Segment, JournalError> {
        let temporary = with_suffix(path, TEMPORARY_SUFFIX);
        let file = disk.create(&temporary).map_err(JournalError::io("create", &temporary))?;
        let header =
            Header { sequence: 0, synced_bytes: HEADER_BYTES, written_bytes: HEADER_BYTES };
        disk.set_len(&file, HEADER_BYTES).map_err(JournalError::io("extend", &temporary))?;
        let mut segment =
            Segment { file, path: temporary.clone(), header, has_unfinished_write: false };
        segment.append(disk, batch)?;
        segment.mark_synced(disk)?;
        disk.rename(&temporary, path).map_err(JournalError::io("rename", &temporary))?;
        segment.path = path.to_path_buf();
        Ok(segment)
    }

    /// Opens a segment, reads its records and makes them durable. Needs no space, so that
    /// a full disk can be opened; the next write truncates an unfinished last one.
    pub(crate) fn open(disk: &dyn Disk, path: &Path) -> Result<(Segment, Contents), JournalError> {
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => {
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
        let header = Header { written_bytes: end, ..header };
        let segment =
            Segment { file, path: path.to_path_buf(), header, has_unfinished_write: true };
        segment.write_unmarked_again(disk, &bytes)?;
        Ok((segment, contents))
    }

    /// Writes the records again that are not marked as synced, and syncs them. The process
    /// that wrote them may have ended before its sync, or after one that failed: such
    /// records can be read, but another sync alone would succeed without writing them.
    fn write_unmarked_again(&self, disk: &dyn Disk, bytes: &[u8]) -> Result<(), JournalError> {
        let Header { synced_bytes, written_bytes, .. } = self.header;
        let offset = |at: u64| usize::try_from(at).unwrap_or(usize::MAX);
        let unmarked = bytes.get(offset(synced_bytes)..offset(written_bytes)).unwrap_or_default();
        if !unmarked.is_empty() {
            match disk.write_at(&self.file, unmarked, synced_bytes) {
                // A full disk refuses the bytes that it holds, too, but has lost none.
                Err(error) if is_lack_of_space(&error) => {}
                written => written.map_err(JournalError::io("write", &self.path))?,
            }
        }
        disk.sync(&self.file).map_err(JournalError::io("sync", &self.path))
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn len_bytes(&self) -> u64 {
        self.header.written_bytes
    }

    /// Appends `batch` durably. After an error the segment is unchanged but for an
    /// unfinished write, and the call may be repeated.
    pub(crate) fn append(
        &mut self,
        disk: &dyn Disk,
        batch: AppendBatch<'_>,
    ) -> Result<(), JournalError> {
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
        self.write(disk, start, &buffer, header)
    }

    /// Writes a header that marks all written bytes as synced.
    pub(crate) fn mark_synced(&mut self, disk: &dyn Disk) -> Result<(), JournalError> {
        let Header { sequence, written_bytes, synced_bytes } = self.header;
        if synced_bytes == written_bytes && sequence > 0 {
            return Ok(());
        }
        let header = Header { sequence: sequence + 1, synced_bytes: written_bytes, written_bytes };
        self.write(disk, written_bytes, &[], header)
    }

    fn write(
        &mut self,
        disk: &dyn Disk,
        start: u64,
        buffer: &[u8],
        header: Header,
    ) -> Result<(), JournalError> {
        if self.has_unfinished_write {
            disk.set_len(&self.file, start).map_err(JournalError::io("truncate", &self.path))?;
        }
        self.has_unfinished_write = true;
        disk.write_at(&self.file, buffer, start)
            .and_then(|()| disk.write_at(&self.file, &header.encode(), header.slot_offset()))
            .and_then(|()| disk.sync(&self.file))
            .map_err(JournalError::io("write", &self.path))?;
        self.has_unfinished_write = false;
        self.header = header;
        Ok(())
    }
}

fn is_lack_of_space(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
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
