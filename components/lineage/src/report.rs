//! Streams that began at one process: looked up there, and reported to others.

use std::collections::VecDeque;

use crate::origin::{Origin, RecordedOrigin};
use crate::stream_id::StreamId;

/// Time for which a stream is found, and reported to processes that start.
const RETENTION_MS: u64 = 60_000;
/// Streams that are kept; beyond it, the oldest ones are dropped.
const MAX_STREAMS: usize = 65_536;

#[derive(Debug)]
struct Entry {
    number: u64,
    at_ms: u64,
    stream: StreamId,
    origin: Origin,
}

/// Streams that began at this process in the last minute, in their order. Each receiver has
/// a cursor: the number up to which it has received them.
///
/// ```
/// use lineage::{Origin, OriginLog, StreamId};
/// let mut log = OriginLog::default();
/// log.record(StreamId(7), Origin::default(), 1_000);
/// assert_eq!(log.since(0).map(|(stream, _)| stream).collect::<Vec<_>>(), [StreamId(7)]);
/// assert_eq!(log.since(log.last_number()).count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct OriginLog {
    entries: VecDeque<Entry>,
    last_number: u64,
}

impl OriginLog {
    /// Appends a stream that began.
    pub fn record(&mut self, stream: StreamId, origin: Origin, now_ms: u64) {
        let is_old = |entry: &Entry| now_ms >= entry.at_ms + RETENTION_MS;
        while self.entries.front().is_some_and(is_old) || self.entries.len() >= MAX_STREAMS {
            self.entries.pop_front();
        }
        self.last_number += 1;
        let number = self.last_number;
        self.entries.push_back(Entry { number, at_ms: now_ms, stream, origin });
    }

    /// Returns the number of the last stream; 0 if none began.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns what is recorded about a stream.
    pub fn find(&self, stream: StreamId) -> RecordedOrigin {
        let entries = self.entries.iter().filter(|entry| entry.stream == stream);
        let begun = entries.map(|entry| RecordedOrigin::Begun(entry.origin.clone()));
        begun.fold(RecordedOrigin::Unknown, RecordedOrigin::merge)
    }

    /// Iterates over the streams after the one with this number.
    pub fn since(&self, number: u64) -> impl Iterator<Item = (StreamId, &Origin)> {
        let start = self.entries.partition_point(|entry| entry.number <= number);
        self.entries.range(start..).map(|entry| (entry.stream, &entry.origin))
    }
}
