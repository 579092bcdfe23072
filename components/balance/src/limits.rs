//! Limits on the requests that upstreams take from all entries together.
//!
//! The arbiter grants each request to a limited upstream from one token bucket, so that
//! the sum over all entries holds. Entries without an arbiter share the rest of the limit
//! evenly; the two parts never exceed what the upstream names.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::rate::RequestRate;

/// Share of a limit that entries without an arbiter use, all together.
const FALLBACK_SHARE: f64 = 0.1;
/// Time for which a bucket collects tokens; a bucket holds one at least.
const BURST_S: f64 = 0.2;
/// Time after which a limit ends that no response names again, at least.
const MIN_AGE_MS: u64 = 10_000;
/// The same as a multiple of the time between two requests that the limit allows.
const AGE_REQUESTS: f64 = 3.0;
/// Lower limits count as this one, in requests per second: without any request, nobody
/// would learn that a limit of 0 has ended.
const MIN_PER_SECOND: f64 = 0.1;
/// Longest expected wait that is told to a caller.
const MAX_RETRY_AFTER_MS: f64 = 20_000.0;

/// Limit as it was observed in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedLimit {
    /// Start time of the upstream's incarnation, in Unix milliseconds.
    pub born_ms: u64,
    /// Requests from all entries; `None` if the response named no limit.
    pub rate: Option<RequestRate>,
    /// Requests that it may reject in a second before it falls over; `None` unless the
    /// response named a number.
    pub brittle: Option<u32>,
    /// When the response arrived.
    pub observed_ms: u64,
}

impl ObservedLimit {
    /// Returns whether the limit is from a later response than the other one.
    pub fn is_newer_than(&self, other: &ObservedLimit) -> bool {
        (self.born_ms, self.observed_ms) > (other.born_ms, other.observed_ms)
    }

    /// Returns the requests per second that may be sent; `None` without a limit or once
    /// it is too old.
    pub fn per_second(&self, now_ms: u64) -> Option<f64> {
        let per_second = self.rate?.per_second().max(MIN_PER_SECOND);
        let age_ms = MIN_AGE_MS.max((AGE_REQUESTS * 1_000.0 / per_second) as u64);
        (now_ms < self.observed_ms + age_ms).then_some(per_second)
    }

    /// Returns the requests that it may reject in a second; `None` if it is not brittle, or
    /// once that is too old.
    pub fn max_rejections(&self, now_ms: u64) -> Option<u32> {
        self.brittle.filter(|_| now_ms < self.observed_ms + MIN_AGE_MS)
    }

    /// Returns whether requests to the upstream need a grant of the arbiter.
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        self.per_second(now_ms).is_some() || self.max_rejections(now_ms).is_some()
    }
}

/// Limit of an upstream while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Start time of the upstream's incarnation, in Unix milliseconds.
    pub born_ms: u64,
    /// Requests from all entries.
    pub rate: RequestRate,
    /// Time until which it is cold at least.
    pub until_ms: u64,
}

/// Limit of one upstream and its tokens, as [`UpstreamLimits::iter`] shows them.
#[derive(Clone, Copy, Debug)]
pub struct LimitStatus {
    /// Requests per second that the upstream may get; 0 if it has no limit.
    pub per_second: f64,
    /// Requests that were granted under the limit.
    pub granted: u64,
    /// Requests that were refused for the limit.
    pub refused: u64,
}

#[derive(Debug)]
struct Limit {
    observed: ObservedLimit,
    cold: Option<ColdLimit>,
    /// Requests per second in force; `None` without a limit.
    per_second: Option<f64>,
    tokens: f64,
    filled_ms: u64,
    granted: u64,
    refused: u64,
}

/// Limits of upstreams at the arbiter.
///
/// ```
/// use balance::{ObservedLimit, RequestRate, UpstreamLimits};
/// let mut limits = UpstreamLimits::default();
/// let rate = Some(RequestRate::new(10.0).unwrap());
/// limits.observe("engine", ObservedLimit { born_ms: 1, rate, brittle: None, observed_ms: 0 }, 0);
/// assert!(!limits.has_token("engine") && limits.has_token("another"));
/// limits.refill(200, 1.0);
/// assert!(limits.has_token("engine"));
/// ```
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    by_id: HashMap<CompactString, Limit>,
    /// Incremented when a limit begins, changes or ends.
    version: u64,
    /// When the next request of a service that was refused for limits is expected to be
    /// served.
    next_free_ms: HashMap<CompactString, f64>,
}

impl UpstreamLimits {
    /// Records a limit, or its end; a response that arrived earlier changes nothing.
    /// Returns whether the limit changed.
    pub fn observe(&mut self, id: &str, observed: ObservedLimit, now_ms: u64) -> bool {
        match self.by_id.get_mut(id) {
            Some(limit) if observed.is_newer_than(&limit.observed) => {
                let changed = limit.observed.rate != observed.rate
                    || limit.observed.brittle != observed.brittle;
                limit.observed = observed;
                limit.update(now_ms);
                self.version += u64::from(changed);
                changed
            }
            None if observed.is_in_force(now_ms) => {
                self.by_id.insert(id.into(), Limit::new(observed, None, now_ms));
                self.version += 1;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Records that an upstream is cold, at least until the time named: of several reports the
    /// last end counts. Returns whether it was warm.
    pub fn observe_cold(&mut self, id: &str, cold: ColdLimit, now_ms: u64) -> bool {
        if cold.until_ms <= now_ms {
            return false;
        }
        let warm = ObservedLimit { born_ms: 0, rate: None, brittle: None, observed_ms: 0 };
        let limit = self.by_id.entry(id.into()).or_insert_with(|| Limit::new(warm, None, now_ms));
        let known = limit.cold.filter(|known| known.until_ms > now_ms);
        let until_ms = match known {
            Some(known) if known.born_ms > cold.born_ms => return false,
            Some(known) if known.born_ms == cold.born_ms => known.until_ms.max(cold.until_ms),
            Some(_) | None => cold.until_ms,
        };
        limit.cold = Some(ColdLimit { until_ms, ..cold });
        limit.update(now_ms);
        known.is_none()
    }

    /// Adds the tokens since the last call, and drops limits that ended.
    ///
    /// `share` is the part of all entries that this arbiter serves: others may be
    /// connected to another arbiter.
    pub fn refill(&mut self, now_ms: u64, share: f64) {
        let before = self.by_id.len();
        self.by_id.retain(|_, limit| {
            limit.update(now_ms);
            let Some(per_second) = limit.per_second else {
                return limit.observed.is_in_force(now_ms);
            };
            let per_second = per_second * (1.0 - FALLBACK_SHARE) * share;
            let elapsed_s = now_ms.saturating_sub(limit.filled_ms) as f64 / 1_000.0;
            let most = (per_second * BURST_S).max(1.0);
            limit.tokens = (limit.tokens + elapsed_s * per_second).min(most);
            limit.filled_ms = now_ms;
            true
        });
        self.version += u64::from(self.by_id.len() != before);
        self.next_free_ms.retain(|_, at_ms| *at_ms > now_ms as f64);
    }

    /// Returns a number that increases when a limit begins, changes or ends.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the upstream has a limit.
    pub fn is_limited(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|limit| limit.per_second.is_some())
    }

    /// Returns how many requests one of the upstreams may reject in a second; `None` if
    /// none of them is brittle.
    pub fn max_rejections<'a>(
        &self,
        ids: impl Iterator<Item = &'a str>,
        now_ms: u64,
    ) -> Option<u32> {
        ids.filter_map(|id| self.by_id.get(id)?.observed.max_rejections(now_ms)).min()
    }

    /// Returns whether the upstream may get one more request now.
    pub fn has_token(&self, id: &str) -> bool {
        let limit = self.by_id.get(id).filter(|limit| limit.per_second.is_some());
        limit.is_none_or(|limit| limit.tokens >= 1.0)
    }

    /// Counts a request that is granted to the upstream.
    pub fn take(&mut self, id: &str) {
        if let Some(limit) = self.by_id.get_mut(id) {
            limit.tokens -= 1.0;
            limit.granted += 1;
        }
    }

    /// Returns the time until one of the upstreams has a token for a request behind
    /// `ahead` others; `None` if one of them has no limit.
    pub fn expected_wait_ms<'a>(
        &self,
        ids: impl Iterator<Item = &'a str>,
        ahead: usize,
    ) -> Option<f64> {
        let (mut per_second, mut tokens) = (0.0, 0.0);
        for id in ids {
            let limit = self.by_id.get(id)?;
            per_second += limit.per_second? * (1.0 - FALLBACK_SHARE);
            tokens += limit.tokens.min(1.0);
        }
        let missing = (ahead + 1) as f64 - tokens;
        (per_second > 0.0).then(|| (missing / per_second * 1_000.0).max(0.0))
    }

    /// Refuses a request of `service` for the limits of the upstreams; returns when to
    /// come back, in milliseconds from now. Callers that are refused one after the other
    /// come back at the rate at which they can be served.
    pub fn refuse<'a>(
        &mut self,
        service: &str,
        ids: impl Iterator<Item = &'a str>,
        now_ms: u64,
    ) -> u64 {
        let mut per_second = 0.0;
        for id in ids {
            if let Some(limit) = self.by_id.get_mut(id) {
                limit.refused += 1;
                per_second += limit.per_second.unwrap_or_default();
            }
        }
        let now_ms = now_ms as f64;
        let interval_ms = 1_000.0 / per_second.max(MIN_PER_SECOND);
        let next_ms = self.next_free_ms.entry(service.into()).or_insert(now_ms);
        *next_ms = (next_ms.max(now_ms) + interval_ms).min(now_ms + MAX_RETRY_AFTER_MS);
        (*next_ms - now_ms) as u64
    }

    /// Returns the limits in force, by upstream.
    pub fn iter(&self) -> impl Iterator<Item = (&str, ObservedLimit, LimitStatus)> {
        self.by_id.iter().map(|(id, limit)| {
            let named = limit.observed.rate.unwrap_or_default().per_second();
            let in_force = limit.per_second.unwrap_or_default();
            let per_second = if limit.cold.is_some() { in_force } else { named };
            let Limit { granted, refused, .. } = *limit;
            (id.as_str(), limit.observed, LimitStatus { per_second, granted, refused })
        })
    }
}

impl Limit {
    fn new(observed: ObservedLimit, cold: Option<ColdLimit>, now_ms: u64) -> Self {
        let per_second = observed.per_second(now_ms);
        let filled_ms = now_ms;
        Limit { observed, cold, per_second, tokens: 0.0, filled_ms, granted: 0, refused: 0 }
    }

    /// Updates the requests per second in force: the fewer of those that the upstream names and
    /// those that it takes while it is cold.
    fn update(&mut self, now_ms: u64) {
        self.cold = self.cold.filter(|cold| now_ms < cold.until_ms);
        let named = self.observed.per_second(now_ms);
        let cold = self.cold.map(|cold| cold.rate.per_second().max(MIN_PER_SECOND));
        self.per_second = match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        };
    }
}

/// Tokens of an entry that has no arbiter, for one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FallbackTokens {
    tokens: f64,
    filled_ms: Option<u64>,
}

/// Time for which tokens without an arbiter collect, in seconds.
const FALLBACK_BURST_S: f64 = 4.0;

impl FallbackTokens {
    /// Returns whether one request may be sent to an upstream with this limit, which
    /// `entries` share without an arbiter.
    ///
    /// Fractions of a token are the chance of a request, `draw` in 0 to 1 decides: so
    /// that many entries with little each do not all send one at the same moment.
    ///
    /// ```
    /// let mut tokens = balance::FallbackTokens::default();
    /// assert!(!tokens.try_take(10.0, 2, 0, 0.0));
    /// assert!(tokens.try_take(10.0, 2, 1_000, 0.4));
    /// assert!(!tokens.try_take(10.0, 2, 1_000, 0.4));
    /// ```
    pub fn try_take(&mut self, per_second: f64, entries: u32, now_ms: u64, draw: f64) -> bool {
        let per_second = per_second * FALLBACK_SHARE / f64::from(entries.max(1));
        let since_ms = self.filled_ms.replace(now_ms).unwrap_or(now_ms);
        let elapsed_s = now_ms.saturating_sub(since_ms) as f64 / 1_000.0;
        let most = per_second * FALLBACK_BURST_S;
        self.tokens = (self.tokens + elapsed_s * per_second).min(most);
        let chance = self.tokens.min(1.0);
        self.tokens -= chance;
        draw < chance
    }
}
