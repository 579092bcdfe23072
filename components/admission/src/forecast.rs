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

/// Share of the capacity below which a generation does not matter at a horizon.
const NEGLIGIBLE_SHARE: f64 = 0.001;

/// Expected tokens and their variance at one horizon.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    mean: f64,
    variance: f64,
}

impl Demand {
    fn add(&mut self, generation: &Running, horizon: u64) {
        let survival = generation.survival(horizon);
        let tokens = (generation.held_tokens + horizon) as f64;
        self.mean += tokens * survival;
        self.variance += tokens * tokens * survival * (1.0 - survival);
    }

    fn upper(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.variance.sqrt()
    }
}

/// Returns the most tokens of cache that the generations are expected to hold
/// at any later step, plus `deviations` standard deviations.
///
/// All streams advance in step, as under continuous batching: after `h` steps
/// a stream holds `h` more tokens if it still runs and none if it ended. The
/// ends are independent, so means and variances add up.
pub fn peak_tokens<'a>(running: impl Iterator<Item = &'a Running> + Clone, deviations: f64) -> f64 {
    let upper = |horizon: &u64| demand(running.clone(), *horizon).upper(deviations);
    HORIZONS_TOKENS.iter().map(upper).fold(0.0, f64::max)
}

/// Returns whether one more generation fits beside those that run.
///
/// Only horizons count at which the new one is likely to hold memory still:
/// a short answer may start although long ones will fill the cache later.
pub fn fits<'a>(
    running: impl Iterator<Item = &'a Running> + Clone,
    new: &Running,
    deviations: f64,
    capacity_tokens: f64,
) -> bool {
    HORIZONS_TOKENS.iter().all(|horizon| {
        let mut own = Demand::default();
        own.add(new, *horizon);
        if own.mean < NEGLIGIBLE_SHARE * capacity_tokens && *horizon > 0 {
            return true;
        }
        let mut all = demand(running.clone(), *horizon);
        all.add(new, *horizon);
        all.upper(deviations) <= capacity_tokens
    })
}

fn demand<'a>(running: impl Iterator<Item = &'a Running>, horizon: u64) -> Demand {
    let mut demand = Demand::default();
    running.for_each(|generation| demand.add(generation, horizon));
    demand
}
