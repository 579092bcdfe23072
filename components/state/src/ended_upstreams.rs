//! Ends of upstreams that were acknowledged.

use std::collections::BTreeMap;

use compact_str::CompactString;
use registry::{TOMBSTONE_RETENTION_MS, end_rank};
use schema::{EndedUpstream, UpstreamRecord};

/// Upstreams that are kept; beyond it, the one that ended first is dropped.
const MAX_UPSTREAMS: usize = 16_384;

/// Upstreams of which an incarnation is draining or gone: the last one that ended.
#[derive(Debug, Default)]
pub struct EndedUpstreams {
    by_id: BTreeMap<CompactString, (UpstreamRecord, u64)>,
}

impl EndedUpstreams {
    /// Iterates over the upstreams, with the times at which they ended.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&UpstreamRecord, u64)> {
        self.by_id.values().map(|(upstream, ended_ms)| (upstream, *ended_ms))
    }

    /// Returns whether this end, or a later one of the same upstream, is recorded.
    pub fn covers(&self, upstream: &UpstreamRecord) -> bool {
        let known = self.by_id.get(upstream.id.as_str());
        known.is_some_and(|(known, _)| end_rank(known) >= end_rank(upstream))
    }

    pub(crate) fn record(&mut self, upstream: UpstreamRecord, now_ms: u64) {
        self.by_id.retain(|_, (_, ended_ms)| now_ms < *ended_ms + TOMBSTONE_RETENTION_MS);
        if self.covers(&upstream) {
            return;
        }
        self.by_id.insert(upstream.id.as_str().into(), (upstream, now_ms));
        if self.by_id.len() > MAX_UPSTREAMS {
            let first = self.by_id.iter().min_by_key(|(_, (_, ended_ms))| *ended_ms);
            if let Some(id) = first.map(|(id, _)| id.clone()) {
                self.by_id.remove(&id);
            }
        }
    }

    pub(crate) fn to_image(&self) -> Vec<EndedUpstream> {
        let ended = self.iter().map(|(upstream, ended_ms)| EndedUpstream {
            upstream: Some(upstream.clone()),
            ended_ms,
        });
        ended.collect()
    }

    pub(crate) fn from_image(image: Vec<EndedUpstream>) -> Self {
        let ended = image.into_iter().filter_map(|ended| {
            let upstream = ended.upstream?;
            Some((upstream.id.as_str().into(), (upstream, ended.ended_ms)))
        });
        EndedUpstreams { by_id: ended.collect() }
    }
}
