//! Expected wait of a request for capacity, from how fast others got theirs.

use std::collections::VecDeque;

/// Period over which grants are counted.
const WINDOW_MS: u64 = 2_000;
/// Grants in the window that make a rate; fewer say nothing about the next one.
const MIN_GRANTS: usize = 10;
/// A request is shed if its expected wait exceeds the rest of its queue time by this
/// factor: capacity frees in irregular steps.
const SHED_FACTOR: f64 = 1.5;

/// Recent grants of slots at the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct GrantHistory {
    granted_ms: VecDeque<u64>,
}

impl GrantHistory {
    /// Records a grant.
    pub fn record(&mut self, now_ms: u64) {
        self.granted_ms.push_back(now_ms);
        self.expire(now_ms);
    }

    /// Returns whether a request behind `ahead` others will not be granted a slot
    /// within `queue_timeout_ms`, by the recent rate.
    ///
    /// ```
    /// let mut history = balance::GrantHistory::default();
    /// (0..20).for_each(|number| history.record(number * 100));
    /// // Ten grants a second: a request behind 30 others expects to wait for 3 s.
    /// assert!(history.should_shed(30, 700, 2_000));
    /// assert!(!history.should_shed(5, 700, 2_000));
    /// assert!(!balance::GrantHistory::default().should_shed(30, 700, 2_000));
    /// ```
    pub fn should_shed(&mut self, ahead: usize, queue_timeout_ms: u64, now_ms: u64) -> bool {
        self.expire(now_ms);
        if self.granted_ms.len() < MIN_GRANTS {
            return false;
        }
        let wait_ms = (ahead + 1) as f64 * WINDOW_MS as f64 / self.granted_ms.len() as f64;
        wait_ms > queue_timeout_ms as f64 * SHED_FACTOR
    }

    fn expire(&mut self, now_ms: u64) {
        while self.granted_ms.front().is_some_and(|at_ms| at_ms + WINDOW_MS < now_ms) {
            self.granted_ms.pop_front();
        }
    }
}
