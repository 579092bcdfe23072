//! Tokens of a generation, and the KV cache that it commits while it runs.

/// Output tokens by which a generation may grow before the cache that other
/// generations of its engine free is counted on.
pub const GROWTH_RESERVE_TOKENS: u64 = 400;

/// Prompt length and output length that a caller states.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
}

impl TokenCounts {
    /// Returns the KV cache tokens to commit for a generation that has produced
    /// `output_tokens`: what it holds, and room to grow.
    ///
    /// Generations at one engine are at different stages: while some grow, others end
    /// and free more than that. Committing the expected final size of each would leave
    /// a fifth of the cache unused.
    ///
    /// ```
    /// # use balance::{GROWTH_RESERVE_TOKENS, TokenCounts};
    /// let counts = TokenCounts { prompt_tokens: 3_000, max_output_tokens: 1_000 };
    /// assert_eq!(counts.committed_tokens(0), 3_000 + GROWTH_RESERVE_TOKENS);
    /// assert_eq!(counts.committed_tokens(500), 3_500 + GROWTH_RESERVE_TOKENS);
    /// assert_eq!(counts.committed_tokens(990), 4_000);
    /// ```
    pub fn committed_tokens(&self, output_tokens: u64) -> u64 {
        let grown = output_tokens.saturating_add(GROWTH_RESERVE_TOKENS);
        self.prompt_tokens.saturating_add(grown.min(self.max_output_tokens))
    }
}
