//! Token bucket for retries.

/// Capacity of the token bucket.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// Retry tokens added by each first attempt.
const RETRY_TOKENS_PER_ATTEMPT: f64 = 0.1;

/// Token bucket that limits retries to a share of first attempts.
///
/// ```
/// let mut bucket = admission::RetryTokenBucket::default();
/// let allowed = (0..100).filter(|_| bucket.try_spend()).count();
/// assert_eq!(allowed, 10);
/// ```
#[derive(Clone, Debug)]
pub struct RetryTokenBucket {
    retry_tokens: f64,
}

impl Default for RetryTokenBucket {
    fn default() -> Self {
        RetryTokenBucket { retry_tokens: MAX_RETRY_TOKENS }
    }
}

impl RetryTokenBucket {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_ATTEMPT).min(MAX_RETRY_TOKENS);
    }

    /// Takes one retry token; returns false if none is left.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.retry_tokens >= 1.0;
        if allowed {
            self.retry_tokens -= 1.0;
        }
        allowed
    }
}
