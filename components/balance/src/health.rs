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

#[derive(Debug, Default)]
struct UpstreamHealth {
    failure_rate: f64,
    ejections: u32,
    ejected_until_ms: u64,
}

/// Request results and ejections of each upstream.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    by_id: HashMap<CompactString, UpstreamHealth>,
}

impl OutlierDetector {
    /// Records a successful request; clears the history of the upstream once its
    /// failure rate is low.
    pub fn record_success(&mut self, id: &str) {
        if let Some(health) = self.by_id.get_mut(id) {
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
        health.failure_rate += (1.0 - health.failure_rate) * RESULT_WEIGHT;
        if health.failure_rate < EJECT_FAILURE_RATE || now_ms < health.ejected_until_ms {
            return None;
        }
        Some(health.eject(now_ms))
    }

    /// Ejects an upstream that cannot be reached; returns the duration of
    /// the ejection in milliseconds, `None` if it is already ejected.
    pub fn record_unreachable(&mut self, id: &str, now_ms: u64) -> Option<u64> {
        let health = self.by_id.entry(id.into()).or_default();
        (now_ms >= health.ejected_until_ms).then(|| health.eject(now_ms))
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

impl UpstreamHealth {
    fn eject(&mut self, now_ms: u64) -> u64 {
        let period_ms =
            BASE_EJECTION_MS.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until_ms = now_ms + period_ms;
        // One more failure after the ejection reaches the threshold again.
        self.failure_rate = EJECT_FAILURE_RATE * (1.0 - RESULT_WEIGHT);
        period_ms
    }
}
