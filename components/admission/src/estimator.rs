//! Online estimation of output lengths.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;

use crate::curve::{BUCKETS, SurvivalCurve, bucket};

/// Share of their weight that all earlier lengths lose with each observed one.
const DECAY_PER_LENGTH: f64 = 0.005;
/// Increment above which all weights are rescaled, which keeps them finite.
const MAX_INCREMENT: f64 = 1e9;
/// Maximum weight of the service's histogram in a workspace's curve, in recent
/// lengths of the workspace.
const SERVICE_PRIOR_LENGTHS: f64 = 20.0;
/// Weight of the uniform prior, in recent lengths of the workspace.
const UNIFORM_PRIOR_LENGTHS: f64 = 5.0;
/// Observed lengths of a workspace after which its cached curve is recomputed.
const REFRESH_LENGTHS: u32 = 16;

/// Exponentially decaying histogram of lengths.
#[derive(Clone, Debug)]
struct Histogram {
    weights: [f64; BUCKETS],
    /// Weight of the next length; grows instead of scaling `weights` down.
    increment: f64,
    curve: Option<Arc<SurvivalCurve>>,
    /// Lengths observed since `curve` was computed.
    observed_since_refresh: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram {
            weights: [0.0; BUCKETS],
            increment: 1.0,
            curve: None,
            observed_since_refresh: 0,
        }
    }
}

impl Histogram {
    fn observe(&mut self, tokens: u64) {
        self.weights[bucket(tokens)] += self.increment;
        self.increment /= 1.0 - DECAY_PER_LENGTH;
        if self.increment > MAX_INCREMENT {
            self.weights.iter_mut().for_each(|weight| *weight /= self.increment);
            self.increment = 1.0;
        }
        self.observed_since_refresh += 1;
    }

    /// Returns the weights scaled so that the next length would weigh 1.
    fn normalized_weights(&self) -> [f64; BUCKETS] {
        self.weights.map(|weight| weight / self.increment)
    }
}

/// Estimates the distribution of output lengths per service and workspace.
#[derive(Debug, Default)]
pub struct Estimator {
    services: HashMap<CompactString, Histogram>,
    workspaces: HashMap<(CompactString, CompactString), Histogram>,
}

impl Estimator {
    /// Records the length of a finished output.
    pub fn observe(&mut self, service: &str, workspace: &str, tokens: u64) {
        self.services.entry(service.into()).or_default().observe(tokens);
        let key = (service.into(), workspace.into());
        self.workspaces.entry(key).or_default().observe(tokens);
    }

    /// Returns the survival curve of the next output of a workspace.
    ///
    /// The workspace's own lengths are combined with those of the whole service
    /// and with a log-uniform prior up to `max_output_tokens`; both priors
    /// dominate only while the workspace has few lengths of its own. The curve is
    /// cached: until it is recomputed, `max_output_tokens` and new lengths have no
    /// effect.
    ///
    /// ```
    /// let mut estimator = admission::Estimator::default();
    /// (0..100).for_each(|_| estimator.observe("coach", "desk", 40));
    /// let curve = estimator.curve("coach", "desk", 4_000);
    /// assert!(curve.survival(1_000) < 0.1);
    /// ```
    pub fn curve(
        &mut self,
        service: &str,
        workspace: &str,
        max_output_tokens: u64,
    ) -> Arc<SurvivalCurve> {
        let service_histogram = self.services.entry(service.into()).or_default();
        let own = self.workspaces.entry((service.into(), workspace.into())).or_default();
        if let Some(curve) =
            own.curve.as_ref().filter(|_| own.observed_since_refresh < REFRESH_LENGTHS)
        {
            return curve.clone();
        }
        let mut weights = own.normalized_weights();
        add_scaled(&mut weights, &service_histogram.normalized_weights(), SERVICE_PRIOR_LENGTHS);
        add_scaled(&mut weights, &uniform_prior(max_output_tokens), UNIFORM_PRIOR_LENGTHS);
        let curve = Arc::new(SurvivalCurve::from_weights(&weights));
        own.curve = Some(curve.clone());
        own.observed_since_refresh = 0;
        curve
    }
}

/// Adds `other`, scaled down to a total weight of at most `max_total`.
fn add_scaled(weights: &mut [f64; BUCKETS], other: &[f64; BUCKETS], max_total: f64) {
    let total: f64 = other.iter().sum();
    if total <= 0.0 {
        return;
    }
    let scale = (max_total / total).min(1.0);
    weights.iter_mut().zip(other).for_each(|(weight, other)| *weight += other * scale);
}

/// Returns a prior of equal weight for each bucket up to `max_output_tokens`.
fn uniform_prior(max_output_tokens: u64) -> [f64; BUCKETS] {
    let mut weights = [0.0; BUCKETS];
    let last = bucket(max_output_tokens);
    weights[..=last].fill(UNIFORM_PRIOR_LENGTHS / (last + 1) as f64);
    weights
}
