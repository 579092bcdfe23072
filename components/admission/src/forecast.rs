//! Forecast of an engine's KV cache usage.

use std::sync::Arc;

use crate::curve::SurvivalCurve;

/// Decode steps ahead, in tokens per generation, for which usage is forecast.
const HORIZONS_TOKENS: [u64; 8] = [0, 32, 128, 512, 1_024, 2_048, 4_096, 16_384];

/// Generation that holds KV cache.
#[derive(Clone, Debug)]
pub struct RunningGeneration {
    /// Cache tokens held now: prompt and output so far.
    pub held_tokens: u64,
    /// Output tokens so far.
    pub produced_tokens: u64,
    /// Maximum output tokens of the request.
    pub max_output_tokens: u64,
    /// Estimated distribution of the output length.
    pub curve: Arc<SurvivalCurve>,
}

impl RunningGeneration {
    /// Returns the probability that the generation still runs after `more` tokens.
    fn survival(&self, more: u64) -> f64 {
        if self.produced_tokens + more >= self.max_output_tokens {
            return if more == 0 { 1.0 } else { 0.0 };
        }
        self.curve.conditional_survival(self.produced_tokens, more)
    }
}

/// Share of the capacity: horizons after the first are skipped if a new generation
/// is expected to use less than this there.
const NEGLIGIBLE_SHARE: f64 = 0.001;

/// Mean and variance of the cache tokens in use at one horizon.
#[derive(Clone, Copy, Debug, Default)]
struct UsageForecast {
    mean: f64,
    variance: f64,
}

impl UsageForecast {
    fn add(&mut self, generation: &RunningGeneration, horizon: u64) {
        let survival = generation.survival(horizon);
        let tokens = (generation.held_tokens + horizon) as f64;
        self.mean += tokens * survival;
        self.variance += tokens * tokens * survival * (1.0 - survival);
    }

    fn upper_bound(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.variance.sqrt()
    }
}

/// Returns the maximum over all horizons of the expected cache usage in tokens
/// plus `deviations` standard deviations.
///
/// All generations advance in lockstep, as under continuous batching: after `h`
/// steps a generation holds `h` more tokens if it still runs and none if it
/// ended. Output lengths are assumed independent, so means and variances add up.
pub fn peak_tokens<'a>(
    running: impl Iterator<Item = &'a RunningGeneration> + Clone,
    deviations: f64,
) -> f64 {
    let upper_bound = |horizon: &u64| forecast(running.clone(), *horizon).upper_bound(deviations);
    HORIZONS_TOKENS.iter().map(upper_bound).fold(0.0, f64::max)
}

/// Returns whether a new generation fits into the cache beside the running ones.
///
/// Only horizons count at which the new generation is likely to hold cache: a
/// short output may start although long ones will fill the cache later.
pub fn fits_in_cache<'a>(
    running: impl Iterator<Item = &'a RunningGeneration> + Clone,
    new: &RunningGeneration,
    deviations: f64,
    capacity_tokens: f64,
) -> bool {
    HORIZONS_TOKENS.iter().all(|horizon| {
        let mut own = UsageForecast::default();
        own.add(new, *horizon);
        if own.mean < NEGLIGIBLE_SHARE * capacity_tokens && *horizon > 0 {
            return true;
        }
        let mut all = forecast(running.clone(), *horizon);
        all.add(new, *horizon);
        all.upper_bound(deviations) <= capacity_tokens
    })
}

fn forecast<'a>(
    running: impl Iterator<Item = &'a RunningGeneration>,
    horizon: u64,
) -> UsageForecast {
    let mut forecast = UsageForecast::default();
    running.for_each(|generation| forecast.add(generation, horizon));
    forecast
}
