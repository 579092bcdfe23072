//! Callers that come back after a refusal, told by the deadline that they state.

use std::collections::HashMap;

use compact_str::CompactString;

/// Share of the longest deadline on a route that callers state in their first
/// attempt, at least; first deadlines differ between callers.
const FIRST_ATTEMPT_SHARE: f64 = 0.85;
/// Requests over which the longest deadline approaches that of current callers, once
/// these state shorter ones.
const DECAY_REQUESTS: f64 = 64.0;

/// Longest deadlines stated by the callers of each route.
///
/// A caller that was refused waits, and then has less time left than others: its
/// response is due earlier than its target latency after this attempt.
#[derive(Clone, Debug, Default)]
pub struct DeadlineHistory {
    longest_ms: HashMap<CompactString, f64>,
}

impl DeadlineHistory {
    /// Records a request whose caller waits for `deadline_ms`, and returns the time
    /// that the caller has spent in earlier attempts, in milliseconds. Deadlines
    /// beyond the timeout of the route say nothing, so that no caller can make others
    /// look late.
    ///
    /// ```
    /// let mut history = balance::DeadlineHistory::default();
    /// assert_eq!(history.time_spent_ms("quotes", 40_000, u64::MAX), 0);
    /// assert_eq!(history.time_spent_ms("quotes", 40_000, 36_000), 0);
    /// assert!((3_000..4_000).contains(&history.time_spent_ms("quotes", 40_000, 30_000)));
    /// assert_eq!(history.time_spent_ms("plans", 6_000, 6_000), 0);
    /// ```
    pub fn time_spent_ms(&mut self, route: &str, timeout_ms: u64, deadline_ms: u64) -> u64 {
        let deadline_ms = deadline_ms.min(timeout_ms) as f64;
        let longest_ms = self.longest_ms.entry(route.into()).or_insert(deadline_ms);
        *longest_ms -= (*longest_ms - deadline_ms) / DECAY_REQUESTS;
        *longest_ms = longest_ms.max(deadline_ms);
        (*longest_ms * FIRST_ATTEMPT_SHARE - deadline_ms).max(0.0) as u64
    }

    /// Forgets routes that are no longer published with the same timeout.
    pub fn retain_routes(&mut self, is_unchanged: impl Fn(&str) -> bool) {
        self.longest_ms.retain(|route, _| is_unchanged(route));
    }
}
