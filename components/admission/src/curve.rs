//! Survival curves of output lengths.

/// Buckets for each doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Buckets up to 2^17 tokens.
pub(crate) const BUCKETS: usize = 69;

/// Returns the bucket of a length in tokens.
pub(crate) fn bucket(tokens: u64) -> usize {
    let octaves = ((tokens + 1) as f64).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

/// Returns the shortest length of a bucket.
fn lower_edge(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2() - 1.0
}

/// Probability that an output is longer than a number of tokens.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Probability of reaching the lower edge of each bucket.
    survival: [f64; BUCKETS + 1],
}

impl Curve {
    /// Builds a curve from the weight of each bucket; a small weight on every
    /// bucket keeps unseen lengths possible.
    pub(crate) fn from_weights(weights: &[f64; BUCKETS]) -> Self {
        let total: f64 = weights.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        let mut left = total;
        for (bucket, weight) in weights.iter().enumerate() {
            survival[bucket] = if total > 0.0 { left / total } else { 0.0 };
            left = (left - weight).max(0.0);
        }
        Curve { survival }
    }

    /// Returns the probability of more than `tokens` tokens.
    pub fn survival(&self, tokens: u64) -> f64 {
        let bucket = bucket(tokens);
        let (low, high) = (lower_edge(bucket), lower_edge(bucket + 1));
        let share = ((tokens as f64 - low) / (high - low)).clamp(0.0, 1.0);
        let (at, next) = (self.survival[bucket], self.survival[bucket + 1]);
        at + (next - at) * share
    }

    /// Returns the probability of at least `more` further tokens after
    /// `produced` ones.
    pub fn survival_after(&self, produced: u64, more: u64) -> f64 {
        let reached = self.survival(produced);
        if reached <= 0.0 {
            return 0.0;
        }
        (self.survival(produced + more) / reached).clamp(0.0, 1.0)
    }

    /// Returns the mean number of further tokens after `produced` ones.
    pub fn mean_after(&self, produced: u64) -> f64 {
        let reached = self.survival(produced);
        if reached <= 0.0 {
            return 0.0;
        }
        let mut mean = 0.0;
        let mut low = produced as f64;
        for bucket in bucket(produced)..BUCKETS {
            let high = lower_edge(bucket + 1).max(low);
            let (at, next) = (self.survival(low as u64), self.survival[bucket + 1]);
            mean += (high - low) * (at + next) / 2.0;
            low = high;
        }
        mean / reached
    }
}
