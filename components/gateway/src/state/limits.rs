//! Request limits that upstreams name, as known to this gateway.

use std::collections::HashMap;
use std::net::SocketAddr;

use balance::{FallbackTokens, ObservedLimit, RequestRate};
use compact_str::CompactString;
use schema::UpstreamLimit;

/// Time after which an unchanged limit is reported again, so that it does not end at the
/// arbiter while responses name it.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Time for which the list of the arbiter stays in force without a sync.
const LIST_PERIOD_MS: u64 = 10_000;

/// Limit that was reported to an arbiter.
#[derive(Debug)]
struct Report {
    arbiter: SocketAddr,
    limit: ObservedLimit,
}

/// Limits of upstreams, by id.
#[derive(Debug, Default)]
pub(crate) struct KnownLimits {
    /// In the last responses to this gateway.
    observed: HashMap<CompactString, ObservedLimit>,
    reports: HashMap<CompactString, Report>,
    /// In the list of the arbiter, which it last confirmed at `listed_ms`.
    listed: HashMap<CompactString, ObservedLimit>,
    listed_ms: u64,
    digest: u64,
    fallback: HashMap<CompactString, FallbackTokens>,
}

impl KnownLimits {
    /// Returns the requests per second that an upstream takes from all gateways; `None`
    /// without a limit.
    pub(crate) fn per_second(&self, id: &str, now_ms: u64) -> Option<f64> {
        let is_current = now_ms < self.listed_ms + LIST_PERIOD_MS;
        let listed = self.listed.get(id).filter(|_| is_current);
        let limit = match (self.observed.get(id), listed) {
            (Some(observed), Some(listed)) if listed.is_newer_than(observed) => Some(listed),
            (Some(observed), _) => Some(observed),
            (None, listed) => listed,
        };
        limit?.per_second(now_ms)
    }

    /// Records the limit, if any, in a response; returns whether it changed.
    pub(crate) fn observe(&mut self, id: &CompactString, limit: ObservedLimit) -> bool {
        let previous = self.observed.get(id);
        if limit.rate.is_none() && previous.is_none() {
            return false;
        }
        let changed = previous.and_then(|previous| previous.rate) != limit.rate;
        self.observed.insert(id.clone(), limit);
        changed
    }

    /// Takes the share of one of `gateways` gateways of a request to the upstream; returns
    /// whether the limit allows it. `draw` is random, from 0 to 1.
    pub(crate) fn try_take_fallback(
        &mut self,
        id: &str,
        gateways: u32,
        now_ms: u64,
        draw: f64,
    ) -> bool {
        let Some(per_second) = self.per_second(id, now_ms) else { return true };
        let tokens = self.fallback.entry(id.into()).or_default();
        tokens.try_take(per_second, gateways, now_ms, draw)
    }

    /// Returns the digest of the list that the arbiter last sent.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the limits that this arbiter does not know yet, and those to be reported
    /// again.
    pub(crate) fn due_reports(&self, arbiter: SocketAddr, now_ms: u64) -> Vec<UpstreamLimit> {
        let is_due = |(id, limit): &(&CompactString, &ObservedLimit)| {
            let Some(report) = self.reports.get(*id) else { return true };
            report.arbiter != arbiter
                || report.limit.rate != limit.rate
                || report.limit.born_ms != limit.born_ms
                || limit.observed_ms >= report.limit.observed_ms + REPORT_INTERVAL_MS
        };
        let due = self.observed.iter().filter(is_due);
        due.map(|(id, limit)| UpstreamLimit {
            id: id.to_string(),
            born_ms: limit.born_ms,
            per_second: limit.rate.map(RequestRate::per_second),
            age_ms: now_ms.saturating_sub(limit.observed_ms),
        })
        .collect()
    }

    /// Records that the arbiter has received these limits, at `sent_ms` or later.
    pub(crate) fn confirm_reports(
        &mut self,
        arbiter: SocketAddr,
        reports: &[UpstreamLimit],
        sent_ms: u64,
    ) {
        for report in reports {
            let limit = to_observed(report, sent_ms);
            self.reports.insert(report.id.as_str().into(), Report { arbiter, limit });
        }
    }

    /// Applies the limits in a sync reply of the arbiter, which leaves out a list that the
    /// gateway has.
    pub(crate) fn apply(&mut self, digest: u64, limits: &[UpstreamLimit], now_ms: u64) {
        self.listed_ms = now_ms;
        if digest == self.digest {
            for limit in self.listed.values_mut() {
                limit.observed_ms = now_ms;
            }
            return;
        }
        self.digest = digest;
        self.listed.clear();
        for limit in limits {
            self.listed.insert(limit.id.as_str().into(), to_observed(limit, now_ms));
        }
    }

    /// Drops what is too old. The end of a limit is kept until it was reported.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.observed.retain(|_, limit| now_ms < limit.observed_ms + LIST_PERIOD_MS);
        let observed = &self.observed;
        self.reports.retain(|id, _| observed.contains_key(id));
        let listed = &self.listed;
        self.fallback.retain(|id, _| observed.contains_key(id) || listed.contains_key(id));
    }
}

/// Converts a limit from its message, whose age counts back from `at_ms`.
fn to_observed(limit: &UpstreamLimit, at_ms: u64) -> ObservedLimit {
    let rate = limit.per_second.and_then(|per_second| RequestRate::new(per_second).ok());
    let observed_ms = at_ms.saturating_sub(limit.age_ms);
    ObservedLimit { born_ms: limit.born_ms, rate, observed_ms }
}
