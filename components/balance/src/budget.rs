//! Budget of requests that are sent once more.

use std::collections::VecDeque;

/// Bounds on requests that are sent once more in each window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Requests sent once more for each first one.
    pub ratio: f64,
    /// Requests of all entries together that may be sent once more beside the
    /// ratio.
    pub allowance: u32,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// Budget of one service at one entry.
///
/// The allowance is shared evenly between the entries, so that all together
/// keep to it without an exchange.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    firsts: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(limits: RetryLimits) -> Self {
        RetryBudget { limits, firsts: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn count_first(&mut self, now_ms: u64) {
        self.expire(now_ms);
        self.firsts.push_back(now_ms);
    }

    /// Takes the right to send one request once more; `entries` share the
    /// allowance.
    ///
    /// ```
    /// use balance::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.5, allowance: 4, window_ms: 1_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.take(2, 0) && budget.take(2, 0));
    /// assert!(!budget.take(2, 0));
    /// assert!(budget.take(2, 1_000));
    /// ```
    pub fn take(&mut self, entries: u32, now_ms: u64) -> bool {
        self.expire(now_ms);
        let share = f64::from(self.limits.allowance) / f64::from(entries.max(1));
        let allowed = self.limits.ratio * self.firsts.len() as f64 + share;
        let granted = (self.repeats.len() as f64) + 1.0 <= allowed;
        if granted {
            self.repeats.push_back(now_ms);
        }
        granted
    }

    /// Returns the requests of callers per millisecond.
    pub fn rate_per_ms(&mut self, now_ms: u64) -> f64 {
        self.expire(now_ms);
        self.firsts.len() as f64 / self.limits.window_ms.max(1) as f64
    }

    fn expire(&mut self, now_ms: u64) {
        let window_ms = self.limits.window_ms;
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at_ms| at_ms + window_ms <= now_ms) {
                times.pop_front();
            }
        }
    }
}
