//! Framing of log records: length, CRC-32, kind, payload.

use prost::Message as _;
use schema::{HardState, LogEntry};

/// Size of the length and the checksum before each record.
const FRAME_HEADER_BYTES: usize = 8;
const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;

/// Record in a log segment.
#[derive(Debug)]
pub(crate) enum Record {
    HardState(HardState),
    Entry(LogEntry),
}

pub(crate) fn encode_hard_state(buffer: &mut Vec<u8>, hard_state: &HardState) {
    encode(buffer, KIND_HARD_STATE, &hard_state.encode_to_vec());
}

pub(crate) fn encode_entry(buffer: &mut Vec<u8>, entry: &LogEntry) {
    encode(buffer, KIND_ENTRY, &entry.encode_to_vec());
}

fn encode(buffer: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    let length = u32::try_from(payload.len() + 1).expect("record is smaller than 4 GiB");
    let mut crc = crc32fast::Hasher::new();
    crc.update(&length.to_le_bytes());
    crc.update(&[kind]);
    crc.update(payload);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc.finalize().to_le_bytes());
    buffer.push(kind);
    buffer.extend_from_slice(payload);
}

/// Decodes the first record of `bytes` and returns it with its encoded length,
/// or `None` if the record is truncated or corrupt.
pub(crate) fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
    let crc = u32::from_le_bytes(bytes.get(4..FRAME_HEADER_BYTES)?.try_into().ok()?);
    let end = FRAME_HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let body = bytes.get(FRAME_HEADER_BYTES..end)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    if hasher.finalize() != crc {
        return None;
    }
    let (kind, payload) = body.split_first()?;
    let record = match *kind {
        KIND_HARD_STATE => Record::HardState(HardState::decode(payload).ok()?),
        KIND_ENTRY => Record::Entry(LogEntry::decode(payload).ok()?),
        _ => return None,
    };
    Some((record, end))
}
