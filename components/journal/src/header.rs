//! Segment header that records how much of the segment is synced.
//!
//! The header has two slots, which are written alternately. Each slot is written
//! in the same sync as the records it covers, and holds the segment length before
//! and after that write. Records below the first length were durable when the
//! slot was written and must be readable. Records between the two lengths may be
//! missing after a crash.

/// Size of one slot: one page, so that a torn write damages at most one slot.
pub(crate) const SLOT_BYTES: u64 = 4096;
/// Offset of the first record.
pub(crate) const HEADER_BYTES: u64 = 2 * SLOT_BYTES;

const MAGIC: [u8; 8] = *b"SHTJRNL1";
const ENCODED_BYTES: usize = 36;

/// Contents of one header slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Header {
    /// Number of the write; the slot with the higher number is current.
    pub(crate) sequence: u64,
    /// Segment length that was durable before the write.
    pub(crate) synced_bytes: u64,
    /// Segment length after the write.
    pub(crate) written_bytes: u64,
}

impl Header {
    pub(crate) fn slot_offset(&self) -> u64 {
        (self.sequence % 2) * SLOT_BYTES
    }

    pub(crate) fn encode(&self) -> [u8; ENCODED_BYTES] {
        let mut slot = [0; ENCODED_BYTES];
        slot[..8].copy_from_slice(&MAGIC);
        slot[8..16].copy_from_slice(&self.sequence.to_le_bytes());
        slot[16..24].copy_from_slice(&self.synced_bytes.to_le_bytes());
        slot[24..32].copy_from_slice(&self.written_bytes.to_le_bytes());
        let crc = crc32fast::hash(&slot[..32]);
        slot[32..].copy_from_slice(&crc.to_le_bytes());
        slot
    }

    fn decode(slot: &[u8]) -> Option<Header> {
        let slot = slot.get(..ENCODED_BYTES)?;
        let read_u64 = |at: usize| Some(u64::from_le_bytes(slot[at..at + 8].try_into().ok()?));
        let crc = u32::from_le_bytes(slot[32..].try_into().ok()?);
        if slot[..8] != MAGIC || crc32fast::hash(&slot[..32]) != crc {
            return None;
        }
        Some(Header {
            sequence: read_u64(8)?,
            synced_bytes: read_u64(16)?,
            written_bytes: read_u64(24)?,
        })
    }

    /// Returns the valid slot with the highest sequence number.
    pub(crate) fn newest(segment: &[u8]) -> Option<Header> {
        let slot = |index: u64| {
            let start = usize::try_from(index * SLOT_BYTES).ok()?;
            Header::decode(segment.get(start..)?)
        };
        slot(0).into_iter().chain(slot(1)).max_by_key(|header| header.sequence)
    }
}
