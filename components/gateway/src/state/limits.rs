//! Request limits that upstreams name, and rejections of brittle ones, as known to this
//! gateway.

use std::collections::HashMap;
use std::net::SocketAddr;

use balance::{
    FallbackTokens, ObservedLimit, OwnedCandidate, Rejections, RequestRate, Rooms,
    rejection_pause_ms, slot_share,
};
use compact_str::CompactString;
use schema::UpstreamLimit;

use super::ColdUpstreams;

/// Time after which an unchanged limit is reported again, so that it does not end at the
/// arbiter while responses name it.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Time for which the list of the arbiter stays in force without a sync.
const LIST_PERIOD_MS: u64 = 10_000;
/// Time for which the load of the other gateways counts without a sync.
const OTHERS_PERIOD_MS: u64 = 2_000;
/// Time for which rejections are reported, again if their upstream still answers; longer
/// than an arbiter keeps them.
const REJECTIONS_PERIOD_MS: u64 = 60_000;

/// Limit that was reported to an arbiter.
#[derive(Debug)]
struct Report {
    arbiter: SocketAddr,
    limit: ObservedLimit,
    rejections: u32,
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
    /// Requests of this gateway that brittle upstreams rejected.
    rejections: HashMap<CompactString, Rejections>,
    /// Room at brittle upstreams for the requests of this gateway without an arbiter.
    rooms: Rooms,
    /// Position of this gateway among those of the arbiter.
    entry_index: u32,
    cold: ColdUpstreams,
}

impl KnownLimits {
    /// Returns the requests per second that an upstream takes from all gateways; `None`
    /// without a limit.
    pub(crate) fn per_second(&self, id: &str, now_ms: u64) -> Option<f64> {
        let named = self.newest(id, now_ms).and_then(|limit| limit.per_second(now_ms));
        match (named, self.cold.per_second(id, now_ms)) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Returns the upstreams that are cold.
    pub(crate) fn cold(&self) -> &ColdUpstreams {
        &self.cold
    }

    /// Returns the upstreams that are cold, to be changed.
    pub(crate) fn cold_mut(&mut self) -> &mut ColdUpstreams {
        &mut self.cold
    }

    /// Returns the requests that an upstream may reject in a second; `None` if it is not
    /// brittle.
    pub(crate) fn max_rejections(&self, id: &str, now_ms: u64) -> Option<u32> {
        self.newest(id, now_ms)?.max_rejections(now_ms)
    }

    fn newest(&self, id: &str, now_ms: u64) -> Option<&ObservedLimit> {
        let is_current = now_ms < self.listed_ms + LIST_PERIOD_MS;
        let listed = self.listed.get(id).filter(|_| is_current);
        match (self.observed.get(id), listed) {
            (Some(observed), Some(listed)) if listed.is_newer_than(observed) => Some(listed),
            (Some(observed), _) => Some(observed),
            (None, listed) => listed,
        }
    }

    /// Records the limit, if any, in a response; returns whether it changed.
    pub(crate) fn observe(&mut self, id: &CompactString, limit: ObservedLimit) -> bool {
        let previous = self.observed.get(id);
        if limit.rate.is_none() && limit.brittle.is_none() && previous.is_none() {
            return false;
        }
        let named = previous.map(|previous| (previous.rate, previous.brittle));
        let changed = named.unwrap_or_default() != (limit.rate, limit.brittle);
        self.observed.insert(id.clone(), limit);
        changed
    }

    /// Records that a brittle upstream rejected a request of this gateway.
    /// `running` is the number of its requests there, with the rejected one.
    pub(crate) fn record_rejection(
        &mut self,
        (id, born_ms): (&CompactString, u64),
        running: u32,
        now_ms: u64,
    ) {
        self.rooms.record_rejections(id, (1, now_ms), running, now_ms);
        let rejections = self.rejections.entry(id.clone()).or_default();
        let count = if rejections.born_ms == born_ms { rejections.count } else { 0 };
        *rejections = Rejections { born_ms, count: count.saturating_add(1), last_ms: now_ms };
    }

    /// Returns for how long this gateway sends no requests to an upstream that has rejected one
    /// while it was brittle; 0 if it may.
    pub(crate) fn rejection_pause_ms(&self, id: &str, born_ms: u64, now_ms: u64) -> u64 {
        let rejections = self.rejections.get(id).filter(|known| known.born_ms == born_ms);
        let (Some(rejections), Some(max)) = (rejections, self.max_rejections(id, now_ms)) else {
            return 0;
        };
        (rejections.last_ms + rejection_pause_ms(max)).saturating_sub(now_ms)
    }

    /// Returns whether the arbiter has lately told what the other gateways run.
    pub(crate) fn is_arbiter_recent(&self, now_ms: u64) -> bool {
        now_ms < self.listed_ms + OTHERS_PERIOD_MS
    }

    /// Returns whether the even share of this gateway, of `gateways`, in the slots of a
    /// brittle upstream has room beside the requests that it runs there, and in its share of
    /// `max_rejections`. A request that is sent is counted by [`KnownLimits::take_room`].
    pub(crate) fn has_share_left(
        &mut self,
        upstream: &OwnedCandidate,
        (running, gateways): (u32, u32),
        max_rejections: u32,
        now_ms: u64,
    ) -> bool {
        let share = slot_share(&upstream.id, upstream.slots, self.entry_index, gateways);
        let max_rejections = max_rejections / gateways.max(1);
        self.rooms.has_room(&upstream.id, running, share, max_rejections, now_ms)
    }

    /// Counts a request that is sent to a brittle upstream without an arbiter, beside
    /// `running` others.
    pub(crate) fn take_room(&mut self, id: &str, running: u32, now_ms: u64) {
        self.rooms.take(id, running, now_ms);
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
                || report.limit.brittle != limit.brittle
                || report.rejections != self.rejections_of(id, limit).count
                || report.limit.born_ms != limit.born_ms
                || limit.observed_ms >= report.limit.observed_ms + REPORT_INTERVAL_MS
        };
        let due = self.observed.iter().filter(is_due);
        let to_message = |(id, limit): (&CompactString, &ObservedLimit)| {
            let rejections = self.rejections_of(id, limit);
            UpstreamLimit {
                id: id.to_string(),
                born_ms: limit.born_ms,
                per_second: limit.rate.map(RequestRate::per_second),
                age_ms: now_ms.saturating_sub(limit.observed_ms),
                max_rejections: limit.brittle,
                rejections: rejections.count,
                rejection_age_ms: now_ms.saturating_sub(rejections.last_ms),
                ..UpstreamLimit::default()
            }
        };
        due.map(to_message).chain(self.cold.due_reports(arbiter, now_ms)).collect()
    }

    /// Returns the rejections of the incarnation that named a limit.
    fn rejections_of(&self, id: &str, limit: &ObservedLimit) -> Rejections {
        let rejections = self.rejections.get(id).copied().unwrap_or_default();
        if rejections.born_ms == limit.born_ms { rejections } else { Rejections::default() }
    }

    /// Records that the arbiter has received these limits, at `sent_ms` or later.
    pub(crate) fn confirm_reports(
        &mut self,
        arbiter: SocketAddr,
        reports: &[UpstreamLimit],
        sent_ms: u64,
    ) {
        let (cold, named): (Vec<_>, Vec<_>) =
            reports.iter().partition(|report| report.cold_left_ms > 0);
        for report in cold {
            self.cold.confirm(arbiter, report, sent_ms);
        }
        for report in named {
            let limit = to_observed(report, sent_ms);
            let rejections = report.rejections;
            self.reports.insert(report.id.as_str().into(), Report { arbiter, limit, rejections });
        }
    }

    /// Applies the limits in a sync reply of the arbiter, which leaves out a list that the
    /// gateway has.
    pub(crate) fn apply(
        &mut self,
        (digest, limits): (u64, &[UpstreamLimit]),
        entry_index: u32,
        now_ms: u64,
    ) {
        self.listed_ms = now_ms;
        self.entry_index = entry_index;
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
        self.rejections.retain(|_, rejections| now_ms < rejections.last_ms + REJECTIONS_PERIOD_MS);
        self.rooms.expire(now_ms);
        let listed = &self.listed;
        self.cold.expire(now_ms);
        let cold = &self.cold;
        self.fallback.retain(|id, _| {
            let is_cold = cold.per_second(id, now_ms).is_some();
            observed.contains_key(id) || listed.contains_key(id) || is_cold
        });
    }
}

/// Converts a limit from its message, whose age counts back from `at_ms`.
fn to_observed(limit: &UpstreamLimit, at_ms: u64) -> ObservedLimit {
    let rate = limit.per_second.and_then(|per_second| RequestRate::new(per_second).ok());
    let observed_ms = at_ms.saturating_sub(limit.age_ms);
    let brittle = limit.max_rejections;
    ObservedLimit { born_ms: limit.born_ms, rate, brittle, observed_ms }
}

#[cfg(test)]
#[path = "../../tests/unit/limits.rs"]
mod tests;
