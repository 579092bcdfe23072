//! Online estimate of output lengths.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;

use crate::curve::{BUCKETS, Curve, bucket};

/// Share by which each new length outweighs the one before.
const DECAY_PER_LENGTH: f64 = 0.005;
/// Weight above which all weights are scaled down.
const MAX_INCREMENT: f64 = 1e9;
/// Lengths of the whole service that weigh as much as one workspace's own.
const PRIOR_LENGTHS: f64 = 20.0;
/// Lengths that the starting guess weighs as much as.
const GUESS_LENGTHS: f64 = 5.0;
/// Lengths after which a curve is worked out anew.
const REFRESH_LENGTHS: u32 = 16;

/// Decaying histogram of lengths.
#[derive(Clone, Debug)]
struct Histogram {
    weights: [f64; BUCKETS],
    increment: f64,
    curve: Option<Arc<Curve>>,
    unseen: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { weights: [0.0; BUCKETS], increment: 1.0, curve: None, unseen: 0 }
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
        self.unseen += 1;
    }

    /// Returns bucket weights in units of one recent length.
    fn lengths(&self) -> [f64; BUCKETS] {
        self.weights.map(|weight| weight / self.increment)
    }
}

/// Online estimate of output lengths, by service and workspace.
#[derive(Debug, Default)]
pub struct Estimator {
    services: HashMap<CompactString, Histogram>,
    workspaces: HashMap<(CompactString, CompactString), Histogram>,
}

impl Estimator {
    /// Learns the length of a finished output.
    pub fn observe(&mut self, service: &str, workspace: &str, tokens: u64) {
        self.services.entry(service.into()).or_default().observe(tokens);
        let key = (service.into(), workspace.into());
        self.workspaces.entry(key).or_default().observe(tokens);
    }

    /// Returns the curve for the next output of a workspace.
    ///
    /// The workspace's own lengths are mixed with those of the whole service,
    /// and with a guess that spreads evenly over all orders of magnitude up to
    /// `max_output_tokens` while there are few.
    ///
    /// ```
    /// let mut estimator = admission::Estimator::default();
    /// (0..100).for_each(|_| estimator.observe("coach", "desk", 40));
    /// let curve = estimator.curve("coach", "desk", 4_000);
    /// assert!(curve.survival(1_000) < 0.1);
    /// ```
    pub fn curve(&mut self, service: &str, workspace: &str, max_output_tokens: u64) -> Arc<Curve> {
        let service_histogram = self.services.entry(service.into()).or_default();
        let own = self.workspaces.entry((service.into(), workspace.into())).or_default();
        if let Some(curve) = own.curve.as_ref().filter(|_| own.unseen < REFRESH_LENGTHS) {
            return curve.clone();
        }
        let mut weights = own.lengths();
        add_scaled(&mut weights, &service_histogram.lengths(), PRIOR_LENGTHS);
        add_scaled(&mut weights, &guess(max_output_tokens), GUESS_LENGTHS);
        let curve = Arc::new(Curve::from_weights(&weights));
        own.curve = Some(curve.clone());
        own.unseen = 0;
        curve
    }
}

/// Adds `other`, scaled down to a total of at most `most`.
fn add_scaled(weights: &mut [f64; BUCKETS], other: &[f64; BUCKETS], most: f64) {
    let total: f64 = other.iter().sum();
    if total <= 0.0 {
        return;
    }
    let scale = (most / total).min(1.0);
    weights.iter_mut().zip(other).for_each(|(weight, other)| *weight += other * scale);
}

fn guess(max_output_tokens: u64) -> [f64; BUCKETS] {
    let mut weights = [0.0; BUCKETS];
    let last = bucket(max_output_tokens);
    weights[..=last].fill(GUESS_LENGTHS / (last + 1) as f64);
    weights
}
