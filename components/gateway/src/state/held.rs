//! Bytes of streams that are held for callers that read slowly, as data without I/O: which
//! stream may be read, which one waits, and which one is evicted at the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that each stream may hold even if the bound is reached, so that streams of usual size
/// pass beside larger ones.
const SMALL_STREAM_BYTES: u64 = 4 << 10;
/// Time without a read after which a caller counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(1_000);

/// Bounds on what is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HeldLimits {
    pub(crate) total_bytes: u64,
    pub(crate) stream_bytes: u64,
}

/// Stream of which bytes may be held.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct HeldId(u64);

/// Whether more may be read of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Room {
    Free,
    /// Its caller has to read first, or another stream has to be evicted.
    Full,
    /// This stream is evicted: its caller is the slowest of those with the most held bytes.
    GiveWay(HeldId),
}

#[derive(Clone, Copy, Debug)]
struct HeldStream {
    /// Bytes of events that the caller may take.
    event_bytes: u64,
    /// Bytes of the event that has not arrived as a whole.
    partial_bytes: u64,
    /// When its caller last took something, or had nothing to take.
    read_at: Instant,
    /// Its engine has sent all of it.
    is_whole: bool,
}

impl HeldStream {
    fn bytes(&self) -> u64 {
        self.event_bytes + self.partial_bytes
    }
}

/// Streams of which bytes may be held.
#[derive(Debug)]
pub(crate) struct HeldStreams {
    limits: HeldLimits,
    used_bytes: u64,
    next_id: u64,
    streams: BTreeMap<HeldId, HeldStream>,
}

impl HeldStreams {
    pub(crate) fn new(limits: HeldLimits) -> Self {
        HeldStreams { limits, used_bytes: 0, next_id: 0, streams: BTreeMap::new() }
    }

    /// Adds a stream of which nothing is held.
    pub(crate) fn open(&mut self, now: Instant) -> HeldId {
        let id = HeldId(self.next_id);
        self.next_id += 1;
        let stream = HeldStream { event_bytes: 0, partial_bytes: 0, read_at: now, is_whole: false };
        self.streams.insert(id, stream);
        id
    }

    /// Records that `bytes` of whole events of a stream are held.
    pub(crate) fn hold(&mut self, id: HeldId, bytes: u64, now: Instant) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if stream.event_bytes == 0 {
            stream.read_at = now;
        }
        self.used_bytes = self.used_bytes - stream.event_bytes + bytes;
        stream.event_bytes = bytes;
    }

    /// Records that `bytes` of an incomplete event of a stream are held.
    pub(crate) fn hold_partial(&mut self, id: HeldId, bytes: u64) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        self.used_bytes = self.used_bytes - stream.partial_bytes + bytes;
        stream.partial_bytes = bytes;
    }

    /// Records that the caller took something, and `bytes` of whole events are left.
    pub(crate) fn read(&mut self, id: HeldId, bytes: u64, now: Instant) {
        self.hold(id, bytes, now);
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.read_at = now;
        }
    }

    /// Records that the stream is complete: it is delivered, also late.
    pub(crate) fn set_whole(&mut self, id: HeldId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.is_whole = true;
        }
    }

    /// Removes a stream of which nothing is held any more.
    pub(crate) fn close(&mut self, id: HeldId) {
        if let Some(stream) = self.streams.remove(&id) {
            self.used_bytes -= stream.bytes();
        }
    }

    /// Returns whether more of a stream may be read.
    pub(crate) fn room(&self, id: HeldId, now: Instant) -> Room {
        let Some(stream) = self.streams.get(&id) else { return Room::Full };
        // A caller that has nothing to take can't make room: its next event has to arrive.
        if stream.event_bytes > 0 && stream.bytes() >= self.limits.stream_bytes {
            return Room::Full;
        }
        if self.used_bytes < self.limits.total_bytes || stream.bytes() < SMALL_STREAM_BYTES {
            return Room::Free;
        }
        self.find_stalled(now).map_or(Room::Full, Room::GiveWay)
    }

    /// Returns the stream with the most bytes, and among these the one whose caller has read
    /// nothing for longest, of those that are not whole and whose caller is stalled.
    fn find_stalled(&self, now: Instant) -> Option<HeldId> {
        let waited = |stream: &HeldStream| now.saturating_duration_since(stream.read_at);
        let stalled = self.streams.iter().filter(|(_, stream)| {
            !stream.is_whole && stream.event_bytes > 0 && waited(stream) >= STALLED_AFTER
        });
        let first = stalled.max_by_key(|(_, stream)| (stream.bytes(), waited(stream)));
        first.map(|(id, _)| *id)
    }

    pub(crate) fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Returns the bytes that are held of one stream.
    pub(crate) fn bytes_of(&self, id: HeldId) -> u64 {
        self.streams.get(&id).map_or(0, HeldStream::bytes)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/held.rs"]
mod tests;
