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

#[derive(Clone, Debug)]
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
        size_bytes(&self.changes)
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
            && let Some(change) = touch(&mut self.changes, |kept| *kept == id)
        {
            return change.chunk(request.offset);
        }
        // Gateways of earlier releases do not send `served_number`.
        let served_number = request.served_number.max(request.base_number);
        if served_number >= current.number {
            return FetchRoutesReply::default();
        }
        let change = self.change_for(request, served_number, current);
        // Another process, or this one before it dropped the change, computed the same one.
        let is_same = requested == Some(change.id);
        change.chunk(if is_same { request.offset } else { 0 })
    }

    /// Returns the change to the set in force for a gateway that serves the set
    /// `served_number`: the one that it is receiving, if it can be computed again. A gateway that
    /// starts may get a complete set before the one in force if that is encoded already and the
    /// next change to it is kept, as it serves none until it has the newest.
    fn change_for(
        &mut self,
        request: &FetchRoutesRequest,
        served_number: u64,
        current: &RouteSet,
    ) -> EncodedChange {
        let RouteSource { history, changes } = self;
        let find = |number| history.iter().find(|kept| kept.number() == number);
        let receiving = request.change.filter(|id| id.number == current.number);
        let base = find(receiving.map_or(request.base_number, |id| id.base_number));
        let base_number = base.map_or(0, Fingerprint::number);
        let may_be_older = base.is_none() && served_number == 0 && request.change.is_none();
        let is_usable = |id: &RouteChangeId| {
            let is_kept = || may_be_older && find(id.number).is_some();
            id.base_number == base_number && (id.number == current.number || is_kept())
        };
        if let Some(change) = touch(changes, is_usable) {
            return change;
        }
        let change = EncodedChange::new(base, find(current.number), current);
        changes.push_back(change.clone());
        while changes.len() > 1 && size_bytes(changes) > CHANGE_CACHE_BYTES {
            changes.pop_front();
        }
        change
    }
}

impl EncodedChange {
    /// Computes the change from `base`, or from the empty set, to `target`, whose hashes may
    /// be known.
    fn new(
        base: Option<&Fingerprint>,
        fingerprint: Option<&Fingerprint>,
        target: &RouteSet,
    ) -> Self {
        let empty = Fingerprint::default();
        let base = base.unwrap_or(&empty);
        let change = match fingerprint {
            Some(fingerprint) => compute_change(base, target, fingerprint),
            None => compute_change(base, target, &Fingerprint::of(target)),
        };
        let bytes = Bytes::from(change.encode_to_vec());
        let id = RouteChangeId {
            base_number: base.number(),
            number: target.number,
            size_bytes: bytes.len() as u64,
            digest: xxh3_64(&bytes),
        };
        EncodedChange { id, bytes }
    }

    /// Returns the reply with the chunk that begins at `offset`.
    fn chunk(&self, offset: u64) -> FetchRoutesReply {
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.bytes.len());
        let end = start.saturating_add(CHUNK_BYTES).min(self.bytes.len());
        FetchRoutesReply { change: Some(self.id), chunk: self.bytes.slice(start..end) }
    }
}

/// Returns the kept change to the newest set and marks it as the most recently used one.
fn touch(
    changes: &mut VecDeque<EncodedChange>,
    is_wanted: impl Fn(&RouteChangeId) -> bool,
) -> Option<EncodedChange> {
    let wanted = changes.iter().enumerate().filter(|(_, change)| is_wanted(&change.id));
    let (index, _) = wanted.max_by_key(|(_, change)| change.id.number)?;
    let change = changes.remove(index)?;
    changes.push_back(change.clone());
    Some(change)
}

fn size_bytes(changes: &VecDeque<EncodedChange>) -> usize {
    changes.iter().map(|change| change.bytes.len()).sum()
}
