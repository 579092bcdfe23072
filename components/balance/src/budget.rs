//! Retry budgets.

use std::collections::VecDeque;

/// Limits on retries in a sliding window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, for all entries together.
    pub allowance: u32,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// Retry budget of one service at one entry.
///
/// The allowance is split evenly between the entries, so that their total stays
/// within it without coordination.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Times of first attempts in the window.
    first_attempts_ms: VecDeque<u64>,
    /// Times of retries in the window.
    retries_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    pub fn new(limits: RetryLimits) -> Self {
        RetryBudget { limits, first_attempts_ms: VecDeque::new(), retries_ms: VecDeque::new() }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now_ms: u64) {
        self.expire(now_ms);
        self.first_attempts_ms.push_back(now_ms);
    }

    /// Takes one retry from the budget, if it allows one; `entries` split the
    /// allowance.
    ///
    /// ```
    /// use balance::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.5, allowance: 4, window_ms: 1_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_retry(2, 0) && budget.try_retry(2, 0));
    /// assert!(!budget.try_retry(2, 0));
    /// assert!(budget.try_retry(2, 1_000));
    /// ```
    pub fn try_retry(&mut self, entries: u32, now_ms: u64) -> bool {
        self.expire(now_ms);
        let share = f64::from(self.limits.allowance) / f64::from(entries.max(1));
        let allowed = self.limits.ratio * self.first_attempts_ms.len() as f64 + share;
        let granted = (self.retries_ms.len() as f64) + 1.0 <= allowed;
        if granted {
            self.retries_ms.push_back(now_ms);
        }
        granted
    }

    /// Returns the rate of first attempts per millisecond.
    pub fn first_attempts_per_ms(&mut self, now_ms: u64) -> f64 {
        self.expire(now_ms);
        self.first_attempts_ms.len() as f64 / self.limits.window_ms.max(1) as f64
    }

    fn expire(&mut self, now_ms: u64) {
        let window_ms = self.limits.window_ms;
        for times_ms in [&mut self.first_attempts_ms, &mut self.retries_ms] {
            while times_ms.front().is_some_and(|at_ms| at_ms + window_ms <= now_ms) {
                times_ms.pop_front();
            }
        }
    }
}
