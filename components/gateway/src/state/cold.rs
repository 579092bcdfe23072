//! Cold upstreams, as a gateway knows them and reports them to the arbiter.

use std::collections::HashMap;
use std::net::SocketAddr;

use balance::{ColdLimit, RequestRate};
use compact_str::CompactString;
use schema::UpstreamLimit;

/// Time by which the end that is reported is later than the one that is known, so that
/// announcements that arrive at different times do not each make a report.
const REPORT_MARGIN_MS: u64 = 500;

/// End of the cold time of an incarnation that an arbiter has.
#[derive(Debug)]
struct Confirmation {
    arbiter: SocketAddr,
    born_ms: u64,
    until_ms: u64,
}

/// Cold upstreams, by id.
#[derive(Debug, Default)]
pub(crate) struct ColdUpstreams {
    limits: HashMap<CompactString, ColdLimit>,
    confirmed: HashMap<CompactString, Confirmation>,
}

impl ColdUpstreams {
    /// Records that an upstream is cold; returns whether it was known as warm, or as another
    /// incarnation.
    pub(crate) fn observe(&mut self, id: &str, limit: ColdLimit, now_ms: u64) -> bool {
        let known = self.limits.insert(id.into(), limit);
        known.is_none_or(|known| known.born_ms != limit.born_ms || known.until_ms <= now_ms)
    }

    /// Returns the requests per second that an upstream takes from all gateways; `None` unless
    /// it is cold.
    pub(crate) fn per_second(&self, id: &str, now_ms: u64) -> Option<f64> {
        let limit = self.limits.get(id).filter(|limit| now_ms < limit.until_ms)?;
        Some(limit.rate.per_second())
    }

    /// Returns whether the arbiter does not know yet that an upstream is cold.
    pub(crate) fn is_unknown_to(&self, arbiter: SocketAddr, id: &str, now_ms: u64) -> bool {
        let limit = self.limits.get(id).filter(|limit| now_ms < limit.until_ms);
        limit.is_some_and(|limit| {
            self.confirmed_until_ms(arbiter, id, limit).is_none_or(|ms| ms < limit.until_ms)
        })
    }

    fn confirmed_until_ms(&self, arbiter: SocketAddr, id: &str, limit: &ColdLimit) -> Option<u64> {
        let known = self.confirmed.get(id)?;
        (known.arbiter == arbiter && known.born_ms == limit.born_ms).then_some(known.until_ms)
    }

    /// Returns the cold upstreams of which the arbiter does not know, or for how long.
    pub(crate) fn due_reports(&self, arbiter: SocketAddr, now_ms: u64) -> Vec<UpstreamLimit> {
        let due = self.limits.iter().filter(|(id, limit)| {
            let confirmed_ms = self.confirmed_until_ms(arbiter, id, limit);
            now_ms < limit.until_ms
                && confirmed_ms.is_none_or(|ms| ms < limit.until_ms + REPORT_MARGIN_MS / 2)
        });
        let to_message = |(id, limit): (&CompactString, &ColdLimit)| UpstreamLimit {
            id: id.to_string(),
            born_ms: limit.born_ms,
            cold_per_second: limit.rate.per_second(),
            cold_left_ms: limit.until_ms + REPORT_MARGIN_MS - now_ms,
            ..UpstreamLimit::default()
        };
        due.map(to_message).collect()
    }

    /// Records that the arbiter has received a report, at `sent_ms` or later.
    pub(crate) fn confirm(&mut self, arbiter: SocketAddr, report: &UpstreamLimit, sent_ms: u64) {
        let until_ms = sent_ms + report.cold_left_ms;
        let confirmation = Confirmation { arbiter, born_ms: report.born_ms, until_ms };
        self.confirmed.insert(report.id.as_str().into(), confirmation);
    }

    /// Drops what is too old.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.limits.retain(|_, limit| now_ms < limit.until_ms);
        self.confirmed.retain(|_, known| now_ms < known.until_ms);
    }
}

/// Returns the limit of an upstream that is cold until `until_ms` and takes `per_second`
/// requests; `None` if its service names no limit, or it is warm.
pub(crate) fn cold_limit(
    born_ms: u64,
    per_second: f64,
    until_ms: u64,
    now_ms: u64,
) -> Option<ColdLimit> {
    let rate = RequestRate::new(per_second).ok().filter(|rate| rate.per_second() > 0.0)?;
    (now_ms < until_ms).then_some(ColdLimit { born_ms, rate, until_ms })
}

#[cfg(test)]
#[path = "../../tests/unit/cold.rs"]
mod tests;
