//! Lengths of answers, learned from those that ended.

use std::collections::HashMap;

use compact_str::CompactString;

/// Share of the length that callers state which is assumed of a new route.
const INITIAL_SHARE: f64 = 0.8;
/// Answers over which the share is averaged.
const MEMORY_ANSWERS: f64 = 32.0;

/// How much of the output length that callers state their answers have, by route.
///
/// ```
/// let mut lengths = balance::OutputLengths::default();
/// assert_eq!(lengths.expected_tokens("plans", 1_000), 800);
/// (0..1_000).for_each(|_| lengths.record("plans", 1_000, 250));
/// assert_eq!(lengths.expected_tokens("plans", 2_000), 500);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    shares: HashMap<CompactString, f64>,
}

impl OutputLengths {
    /// Records the length of a complete answer whose caller stated `max_tokens`.
    pub fn record(&mut self, route: &str, max_tokens: u64, tokens: u64) {
        if max_tokens == 0 {
            return;
        }
        let share = (tokens as f64 / max_tokens as f64).min(1.0);
        let known = self.shares.entry(route.into()).or_insert(INITIAL_SHARE);
        *known += (share - *known) / MEMORY_ANSWERS;
    }

    /// Returns the length to expect of an answer whose caller states `max_tokens`.
    pub fn expected_tokens(&self, route: &str, max_tokens: u64) -> u64 {
        let share = self.shares.get(route).copied().unwrap_or(INITIAL_SHARE);
        (max_tokens as f64 * share).round() as u64
    }

    /// Forgets routes that are no longer published.
    pub fn retain_routes(&mut self, is_published: impl Fn(&str) -> bool) {
        self.shares.retain(|route, _| is_published(route));
    }
}
