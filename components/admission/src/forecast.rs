//! Forecast of an engine's cache memory.

use std::sync::Arc;

use crate::curve::Curve;

/// Steps ahead, in tokens of each stream, at which memory is forecast.
const HORIZONS_TOKENS: [u64; 8] = [0, 32, 128, 512, 1_024, 2_048, 4_096, 16_384];

/// One generation that holds cache memory.
#[derive(Clone, Debug)]
pub struct Running {
    /// Tokens held now: prompt and output so far.
    pub held_tokens: u64,
    /// Output so far.
    pub produced_tokens: u64,
    /// Longest output allowed.
    pub max_output_tokens: u64,
    /// Length estimate.
    pub curve: Arc<Curve>,
}

impl Running {
    /// Returns the probability of still running after `more` tokens.
    fn survival(&self, more: u64) -> f64 {
        if self.produced_tokens + more >= self.max_output_tokens {
            return if more == 0 { 1.0 } else { 0.0 };
        }
        self.curve.survival_after(self.produced_tokens, more)
    }
}

/// Returns the most tokens of cache that the generations are expected to hold
/// at any later step, plus `deviations` standard deviations.
///
/// All streams advance in step, as under continuous batching: after `h` steps
/// a stream holds `h` more tokens if it still runs and none if it ended. The
/// ends are independent, so means and variances add up.
pub fn peak_tokens<'a>(running: impl Iterator<Item = &'a Running> + Clone, deviations: f64) -> f64 {
    let demand = |horizon: u64| {
        let (mut mean, mut variance) = (0.0, 0.0);
        for generation in running.clone() {
            let survival = generation.survival(horizon);
            let tokens = (generation.held_tokens + horizon) as f64;
            mean += tokens * survival;
            variance += tokens * tokens * survival * (1.0 - survival);
        }
        mean + deviations * variance.sqrt()
    };
    HORIZONS_TOKENS.iter().map(|horizon| demand(*horizon)).fold(0.0, f64::max)
}
