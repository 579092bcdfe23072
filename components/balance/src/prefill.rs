//! Prefill backlog: how long a prompt waits for those before it at an engine.

use crate::recent::RecentWork;

/// Rate that is assumed before any prompt was observed.
const INITIAL_TOKENS_PER_MS: f64 = 7.0;
/// Prompt tokens for which the initial rate counts, and of which observations are
/// remembered: some ten prompts.
const MEMORY_TOKENS: f64 = 30_000.0;

/// Rate at which engines prefill prompts, learned from the time between a reservation
/// and the first event.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate(RecentWork);

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate(RecentWork {
            units: MEMORY_TOKENS,
            elapsed_ms: MEMORY_TOKENS / INITIAL_TOKENS_PER_MS,
        })
    }
}

impl PrefillRate {
    /// Records that a first event came `elapsed_ms` after a reservation that left
    /// `tokens` prompt tokens awaiting prefill at the engine, its own included.
    pub fn record(&mut self, tokens: u64, elapsed_ms: u64) {
        self.0.record(tokens as f64, elapsed_ms as f64, MEMORY_TOKENS);
    }

    /// Returns the rate in prompt tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.0.units / self.0.elapsed_ms.max(1.0)
    }
}

/// When a request's first event is due, and how fast engines prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventTarget {
    /// Time at which the first event is due.
    pub due_ms: u64,
    /// Prompt tokens that an engine prefills per millisecond.
    pub tokens_per_ms: f64,
}

impl FirstEventTarget {
    /// Returns how many prompt tokens may await prefill at an engine, with the
    /// `prompt_tokens` of the request, if its first event is to come in time.
    /// `None` if it cannot: then no engine is better than another.
    ///
    /// ```
    /// let target = balance::FirstEventTarget { due_ms: 1_000, tokens_per_ms: 8.0 };
    /// assert_eq!(target.max_prefill_tokens(3_000, 0), Some(8_000));
    /// assert_eq!(target.max_prefill_tokens(3_000, 500), Some(4_000));
    /// assert_eq!(target.max_prefill_tokens(3_000, 700), None);
    /// ```
    pub fn max_prefill_tokens(&self, prompt_tokens: u64, now_ms: u64) -> Option<u64> {
        let left_ms = self.due_ms.saturating_sub(now_ms) as f64;
        let tokens = (left_ms * self.tokens_per_ms) as u64;
        (tokens >= prompt_tokens).then_some(tokens)
    }
}
