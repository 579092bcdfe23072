//! Passive health checks: ejects upstreams by the results of regular requests.

use std::collections::HashMap;

use compact_str::CompactString;

/// Weight of the newest result in the moving average of the failure rate.
const RESULT_WEIGHT: f64 = 0.2;
/// Failure rate from which an upstream is ejected.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Duration of the first ejection; each further one lasts twice as long, up to the
/// maximum, until the upstream's history is cleared.
const BASE_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 8_000;
/// Time for which the history of an upstream is kept after its last failure.
const HISTORY_MS: u64 = 600_000;

#[derive(Debug, Default)]
struct UpstreamHealth {
    failure_rate: f64,
    /// Ejections by the failure rate.
    ejections: u32,
    /// Ejections since the upstream was last reached.
    unreachable_ejections: u32,
    ejected_until_ms: u64,
    /// When it last failed.
    failed_ms: u64,
}

/// Request results and ejections of each upstream.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    by_id: HashMap<CompactString, UpstreamHealth>,
}

impl OutlierDetector {
    /// Records a successful request; clears the history of the upstream once its
    /// failure rate is low. The upstream is reachable, so its next ejection as unreachable is
    /// a first one.
    pub fn record_success(&mut self, id: &str) {
        if let Some(health) = self.by_id.get_mut(id) {
            health.unreachable_ejections = 0;
            health.failure_rate *= 1.0 - RESULT_WEIGHT;
            if health.failure_rate < RESULT_WEIGHT / 2.0 {
                self.by_id.remove(id);
            }
        }
    }

    /// Records a failed request; returns the duration of the ejection in
    /// milliseconds if this failure ejects the upstream.
    pub fn record_failure(&mut self, id: &str, now_ms: u64) -> Option<u64> {
        let health = self.by_id.entry(id.into()).or_default();
        health.failed_ms = now_ms;
        health.failure_rate += (1.0 - health.failure_rate) * RESULT_WEIGHT;
        if health.failure_rate < EJECT_FAILURE_RATE || now_ms < health.ejected_until_ms {
            return None;
        }
        let ejected_ms = ejection_ms(health.ejections);
        health.ejections += 1;
        health.ejected_until_ms = now_ms + ejected_ms;
        // One more failure after the ejection reaches the threshold again.
        health.failure_rate = EJECT_FAILURE_RATE * (1.0 - RESULT_WEIGHT);
        Some(ejected_ms)
    }

    /// Ejects an upstream that cannot be reached; returns the duration of
    /// the ejection in milliseconds, `None` if it is already ejected. Does not change the
    /// failure rate: a sound upstream may be silent for a second.
    pub fn record_unreachable(&mut self, id: &str, now_ms: u64) -> Option<u64> {
        let health = self.by_id.entry(id.into()).or_default();
        health.failed_ms = now_ms;
        if now_ms < health.ejected_until_ms {
            return None;
        }
        let ejected_ms = ejection_ms(health.unreachable_ejections);
        health.unreachable_ejections += 1;
        health.ejected_until_ms = now_ms + ejected_ms;
        Some(ejected_ms)
    }

    /// Drops the histories of upstreams that have not failed for long; many of them are gone.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_id.retain(|_, health| now_ms < health.failed_ms + HISTORY_MS);
    }

    /// Clears the history of an earlier incarnation.
    pub fn reset(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, id: &str, now_ms: u64) -> bool {
        self.by_id.get(id).is_some_and(|health| now_ms < health.ejected_until_ms)
    }
}

/// Returns the duration of an ejection after `earlier` ones.
fn ejection_ms(earlier: u32) -> u64 {
    BASE_EJECTION_MS.saturating_mul(1 << earlier.min(8)).min(MAX_EJECTION_MS)
}
