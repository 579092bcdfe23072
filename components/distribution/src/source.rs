//! Source of changes at a control process.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message as _;
use schema::{FetchRoutesReply, FetchRoutesRequest, RouteChangeId, RouteSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::change::{Fingerprint, compute_change};

/// Size of one chunk. A gateway has one chunk under way at a time, so this bounds what a
/// control process holds for it.
pub const CHUNK_BYTES: usize = 64 << 10;
/// Items whose hashes are kept of earlier sets, in all. Gateways with a set that is not kept
/// get the complete new one.
pub const HISTORY_ITEMS: usize = 512 << 10;
/// Size of the encoded changes that are kept. The last one is kept even if it is larger.
pub const CHANGE_CACHE_BYTES: usize = 16 << 20;

/// Sets that are kept whatever their size: the one in force and the one before.
const MIN_HISTORY: usize = 2;

#[derive(Debug)]
struct EncodedChange {
    id: RouteChangeId,
    bytes: Bytes,
}

/// Source of changes at a control process, shared by all gateways.
#[derive(Debug, Default)]
pub struct RouteSource {
    /// Earlier sets and the one in force, oldest first.
    history: VecDeque<Fingerprint>,
    /// Encoded changes, least recently used first.
    changes: VecDeque<EncodedChange>,
}

impl RouteSource {
    /// Returns the number of the set in force, as last recorded.
    pub fn number(&self) -> u64 {
        self.history.back().map_or(0, Fingerprint::number)
    }

    /// Returns the size of the encoded changes that are kept.
    pub fn change_bytes(&self) -> usize {
        self.changes.iter().map(|change| change.bytes.len()).sum()
    }

    /// Returns the number of items whose hashes are kept.
    pub fn history_items(&self) -> usize {
        self.history.iter().map(Fingerprint::item_count).sum()
    }

    /// Records the set in force; ignored unless it is newer than the last one.
    pub fn record(&mut self, set: &RouteSet) {
        if set.number <= self.number() {
            return;
        }
        self.history.push_back(Fingerprint::of(set));
        while self.history.len() > MIN_HISTORY && self.history_items() > HISTORY_ITEMS {
            self.history.pop_front();
        }
    }

    /// Returns the next chunk for a gateway; `current` is the set recorded last.
    pub fn next_chunk(
        &mut self,
        request: &FetchRoutesRequest,
        current: &RouteSet,
    ) -> FetchRoutesReply {
        let requested = request.change.filter(|id| request.offset <= id.size_bytes);
        if let Some(id) = requested
            && let Some(bytes) = self.kept_bytes(|kept| *kept == id)
        {
            return chunk_reply(id, &bytes, request.offset);
        }
        if current.number == 0 || request.base_number >= current.number {
            return FetchRoutesReply::default();
        }
        let (id, bytes) = self.change_for(request.base_number, current);
        chunk_reply(id, &bytes, 0)
    }

    /// Returns the change for a gateway with the set `base_number`: to the set in force, or
    /// a complete set that is encoded already and for which the next change is kept.
    fn change_for(&mut self, base_number: u64, current: &RouteSet) -> (RouteChangeId, Bytes) {
        let base = self.history.iter().find(|kept| kept.number() == base_number).cloned();
        let history = &self.history;
        let is_usable = |id: &RouteChangeId| match &base {
            Some(_) => id.base_number == base_number && id.number == current.number,
            None => {
                let is_kept = history.iter().any(|kept| kept.number() == id.number);
                id.base_number == 0 && id.number > base_number && is_kept
            }
        };
        let usable = self.changes.iter().map(|change| change.id).find(is_usable);
        if let Some(id) = usable
            && let Some(bytes) = self.kept_bytes(|kept| *kept == id)
        {
            return (id, bytes);
        }
        self.encode_change(&base.unwrap_or_default(), current)
    }

    fn encode_change(&mut self, base: &Fingerprint, current: &RouteSet) -> (RouteChangeId, Bytes) {
        let fingerprint = self.history.back().filter(|kept| kept.number() == current.number);
        let change = match fingerprint {
            Some(fingerprint) => compute_change(base, current, fingerprint),
            None => compute_change(base, current, &Fingerprint::of(current)),
        };
        let bytes = Bytes::from(change.encode_to_vec());
        let id = RouteChangeId {
            base_number: base.number(),
            number: current.number,
            size_bytes: bytes.len() as u64,
            digest: xxh3_64(&bytes),
        };
        self.changes.push_back(EncodedChange { id, bytes: bytes.clone() });
        while self.changes.len() > 1 && self.change_bytes() > CHANGE_CACHE_BYTES {
            self.changes.pop_front();
        }
        (id, bytes)
    }

    /// Returns the bytes of a kept change and marks it as the most recently used one.
    fn kept_bytes(&mut self, is_wanted: impl Fn(&RouteChangeId) -> bool) -> Option<Bytes> {
        let index = self.changes.iter().position(|change| is_wanted(&change.id))?;
        let change = self.changes.remove(index)?;
        let bytes = change.bytes.clone();
        self.changes.push_back(change);
        Some(bytes)
    }
}

fn chunk_reply(id: RouteChangeId, bytes: &Bytes, offset: u64) -> FetchRoutesReply {
    let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
    let end = start.saturating_add(CHUNK_BYTES).min(bytes.len());
    FetchRoutesReply { change: Some(id), chunk: bytes.slice(start..end) }
}
