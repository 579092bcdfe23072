//! Bounded record of the origins of recent streams.

use std::collections::HashMap;

use crate::origin::{Origin, RecordedOrigin};
use crate::stream_id::StreamId;

/// Period after which records begin to be forgotten; longer than callers wait before they
/// take a stream up again.
const GENERATION_MS: u64 = 60_000;
/// Records in one generation; a full generation ends early.
const MAX_RECORDS: usize = 524_288;

/// Index of an origin among those of its generation.
type OriginIndex = u32;

#[derive(Clone, Copy, Debug)]
enum Record {
    Granted(OriginIndex),
    Begun(OriginIndex),
    Conflicting,
}

/// Records of one period. Services have few versions, so their names are kept once.
#[derive(Debug, Default)]
struct Generation {
    origins: Vec<Origin>,
    records: HashMap<StreamId, Record>,
}

impl Generation {
    fn get(&self, stream: StreamId) -> Option<RecordedOrigin> {
        let origin = |index: OriginIndex| self.origins.get(index as usize).cloned();
        match *self.records.get(&stream)? {
            Record::Granted(index) => origin(index).map(RecordedOrigin::Granted),
            Record::Begun(index) => origin(index).map(RecordedOrigin::Begun),
            Record::Conflicting => Some(RecordedOrigin::Conflicting),
        }
    }

    fn insert(&mut self, stream: StreamId, recorded: &RecordedOrigin) {
        let record = match recorded {
            RecordedOrigin::Unknown => return,
            RecordedOrigin::Granted(origin) => Record::Granted(self.index_of(origin)),
            RecordedOrigin::Begun(origin) => Record::Begun(self.index_of(origin)),
            RecordedOrigin::Conflicting => Record::Conflicting,
        };
        self.records.insert(stream, record);
    }

    fn index_of(&mut self, origin: &Origin) -> OriginIndex {
        let index = self.origins.iter().position(|known| known == origin);
        let index = index.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        OriginIndex::try_from(index).unwrap_or(OriginIndex::MAX)
    }
}

/// Origins of recent streams, each kept for at least a minute unless there are more than
/// half a million in that time.
///
/// ```
/// use lineage::{Origin, Origins, RecordedOrigin, StreamId};
/// let mut origins = Origins::default();
/// let origin = Origin { service: "llm".into(), version: "v1".into() };
/// origins.record_grant(StreamId(7), &origin, 1_000);
/// assert_eq!(origins.find(StreamId(7)), RecordedOrigin::Granted(origin));
/// assert_eq!(origins.find(StreamId(8)), RecordedOrigin::Unknown);
/// ```
#[derive(Debug, Default)]
pub struct Origins {
    current: Generation,
    previous: Generation,
    started_ms: u64,
}

impl Origins {
    /// Records that a slot was granted for a stream. A later grant replaces it: the stream
    /// had not begun before.
    pub fn record_grant(&mut self, stream: StreamId, origin: &Origin, now_ms: u64) {
        match self.find(stream) {
            RecordedOrigin::Begun(_) | RecordedOrigin::Conflicting => {}
            RecordedOrigin::Granted(_) | RecordedOrigin::Unknown => {
                self.put(stream, &RecordedOrigin::Granted(origin.clone()), now_ms);
            }
        }
    }

    /// Records where a stream began.
    pub fn record_begun(&mut self, stream: StreamId, origin: &Origin, now_ms: u64) {
        let begun = RecordedOrigin::Begun(origin.clone());
        let recorded = self.find(stream).merge(begun);
        self.put(stream, &recorded, now_ms);
    }

    /// Returns what is recorded about a stream.
    pub fn find(&self, stream: StreamId) -> RecordedOrigin {
        let recorded = self.current.get(stream).or_else(|| self.previous.get(stream));
        recorded.unwrap_or_default()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.current.records.len() + self.previous.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn put(&mut self, stream: StreamId, recorded: &RecordedOrigin, now_ms: u64) {
        let is_full = self.current.records.len() >= MAX_RECORDS;
        if now_ms >= self.started_ms + GENERATION_MS || is_full {
            self.previous = std::mem::take(&mut self.current);
            self.started_ms = now_ms;
        }
        self.current.insert(stream, recorded);
    }
}
