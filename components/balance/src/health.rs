//! Ejection of upstreams that fail requests, by what requests meet.

use std::collections::HashMap;

use compact_str::CompactString;

/// Weight of the newest result in the share of failures.
const RESULT_WEIGHT: f64 = 0.2;
/// Share of failures from which an upstream is ejected.
const EJECT_SHARE: f64 = 0.5;
/// First ejection; doubles with each one that follows.
const EJECT_MS: u64 = 1_000;
const MAX_EJECT_MS: u64 = 8_000;

#[derive(Debug, Default)]
struct Track {
    failed_share: f64,
    ejections: u32,
    ejected_until_ms: u64,
}

/// Results of requests by upstream.
#[derive(Debug, Default)]
pub struct Health {
    by_id: HashMap<CompactString, Track>,
}

impl Health {
    /// Counts a request that the upstream answered.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(track) = self.by_id.get_mut(id) {
            track.failed_share *= 1.0 - RESULT_WEIGHT;
            if track.failed_share < RESULT_WEIGHT / 2.0 {
                self.by_id.remove(id);
            }
        }
    }

    /// Counts a request that the upstream failed; returns for how long it is
    /// ejected, if this failure ejects it.
    pub fn failed(&mut self, id: &str, now_ms: u64) -> Option<u64> {
        let track = self.by_id.entry(id.into()).or_default();
        track.failed_share += (1.0 - track.failed_share) * RESULT_WEIGHT;
        if track.failed_share < EJECT_SHARE || now_ms < track.ejected_until_ms {
            return None;
        }
        Some(track.eject(now_ms))
    }

    /// Ejects an upstream that cannot be reached; returns for how long.
    pub fn unreachable(&mut self, id: &str, now_ms: u64) -> Option<u64> {
        let track = self.by_id.entry(id.into()).or_default();
        (now_ms >= track.ejected_until_ms).then(|| track.eject(now_ms))
    }

    /// Forgets an earlier incarnation.
    pub fn reset(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, id: &str, now_ms: u64) -> bool {
        self.by_id.get(id).is_some_and(|track| now_ms < track.ejected_until_ms)
    }
}

impl Track {
    fn eject(&mut self, now_ms: u64) -> u64 {
        let period_ms = EJECT_MS.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECT_MS);
        self.ejections += 1;
        self.ejected_until_ms = now_ms + period_ms;
        // The next result after the ejection decides again.
        self.failed_share = EJECT_SHARE * (1.0 - RESULT_WEIGHT);
        period_ms
    }
}
