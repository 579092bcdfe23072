//! Limits that upstreams name, as gateways report and receive them.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use balance::{ColdLimit, ObservedLimit, Rejections, RequestRate};
use schema::UpstreamLimit;

use super::sync::GatewaySyncs;

/// Time for which a lost gateway keeps its part of the limits of upstreams: it may be
/// connected to another arbiter. So may one that is not lost, as gateways sync with each
/// control process.
const LIMIT_MEMBER_MS: u64 = 30_000;
/// Longest time for which an upstream counts as cold by one report.
const MAX_COLD_MS: u64 = 600_000;
/// Interval at which limits are checked for their end.
const LIMITS_INTERVAL_MS: u64 = 20;

/// Limits of upstreams, as gateways get them.
#[derive(Debug, Default)]
pub(super) struct LimitList {
    /// Version of the arbiter's limits that the list was made of.
    version: u64,
    /// Digest of the list; 0 only if it is empty.
    pub(super) digest: u64,
    pub(super) limits: Vec<UpstreamLimit>,
}

impl GatewaySyncs {
    /// Records what an upstream said of itself in a response to a gateway.
    pub(super) fn record_limit(&mut self, vm: &str, limit: &UpstreamLimit, now_ms: u64) {
        if limit.cold_left_ms > 0 {
            self.record_cold(vm, limit, now_ms);
            return;
        }
        let rate = limit.per_second.and_then(|per_second| RequestRate::new(per_second).ok());
        let observed_ms = now_ms.saturating_sub(limit.age_ms);
        let brittle = limit.max_rejections;
        let observed = ObservedLimit { born_ms: limit.born_ms, rate, brittle, observed_ms };
        if self.arbiter.limits_mut().observe(&limit.id, observed, now_ms) {
            let per_second = limit.per_second.unwrap_or_default();
            log::info!(upstream = limit.id.as_str(), per_second, max_rejections:? = brittle, vm, age_ms = limit.age_ms; "request limit of upstream changed");
        }
        let last_ms = now_ms.saturating_sub(limit.rejection_age_ms);
        let rejections = Rejections { born_ms: limit.born_ms, count: limit.rejections, last_ms };
        if let Some(room) = self.arbiter.report_rejections(vm, &limit.id, rejections, now_ms) {
            log::info!(upstream = limit.id.as_str(), rejections = limit.rejections, room, vm; "brittle upstream rejected requests");
        }
    }

    /// Records that an upstream is cold, as a gateway knows.
    fn record_cold(&mut self, vm: &str, limit: &UpstreamLimit, now_ms: u64) {
        let Ok(rate) = RequestRate::new(limit.cold_per_second) else {
            log::warn!(upstream = limit.id.as_str(), per_second = limit.cold_per_second, vm; "limit of a cold upstream ignored");
            return;
        };
        let until_ms = now_ms + limit.cold_left_ms.min(MAX_COLD_MS);
        let cold = ColdLimit { born_ms: limit.born_ms, rate, until_ms };
        if self.arbiter.limits_mut().observe_cold(&limit.id, cold, now_ms) {
            log::info!(upstream = limit.id.as_str(), per_second = limit.cold_per_second, left_ms = limit.cold_left_ms, vm; "upstream is cold");
        }
    }

    /// Updates the part of the limits that this process grants, and drops ended limits.
    pub(super) fn refresh_limits(&mut self, now_ms: u64) {
        if now_ms < self.next_limits_ms {
            return;
        }
        self.next_limits_ms = now_ms + LIMITS_INTERVAL_MS;
        self.last_live_ms.retain(|_, live_ms| now_ms < *live_ms + LIMIT_MEMBER_MS);
        let share = self.served_gateways() as f64 / self.last_live_ms.len().max(1) as f64;
        self.arbiter.set_limit_share(share);
        self.arbiter.limits_mut().refill(now_ms, share);
    }

    /// Updates the list of limits for the gateways, if a limit changed.
    pub(super) fn refresh_limit_list(&mut self, now_ms: u64) {
        let limits = self.arbiter.limits();
        if self.limit_list.version == limits.version() {
            return;
        }
        let mut list: Vec<UpstreamLimit> = limits
            .iter()
            .filter(|(_, observed, _)| observed.is_in_force(now_ms))
            .map(|(id, observed, _)| UpstreamLimit {
                id: id.to_string(),
                born_ms: observed.born_ms,
                per_second: observed.rate.map(RequestRate::per_second),
                age_ms: now_ms.saturating_sub(observed.observed_ms),
                max_rejections: observed.brittle,
                ..UpstreamLimit::default()
            })
            .collect();
        list.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let mut hasher = DefaultHasher::new();
        for limit in &list {
            let per_second = limit.per_second.unwrap_or_default().to_bits();
            (&limit.id, limit.born_ms, per_second, limit.max_rejections).hash(&mut hasher);
        }
        let digest = if list.is_empty() { 0 } else { hasher.finish().max(1) };
        self.limit_list = LimitList { version: limits.version(), digest, limits: list };
    }
}
