//! Retry budgets.

/// Retries that may be saved up.
const MAX_SAVED: f64 = 10.0;
/// Retries earned by each first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Budget that lets retries grow only with successful traffic.
///
/// ```
/// let mut budget = admission::RetryBudget::default();
/// let allowed = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(allowed, 10);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_ATTEMPT).min(MAX_SAVED);
    }

    /// Takes one retry if the budget allows it.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
