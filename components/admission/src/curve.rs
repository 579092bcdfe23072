//! Survival functions of output lengths.

/// Histogram buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Covers lengths up to 2^17 tokens; the last bucket counts all longer ones.
pub(crate) const BUCKETS: usize = 69;

/// Returns the histogram bucket of a length in tokens.
pub(crate) fn bucket(tokens: u64) -> usize {
    let octaves = ((tokens + 1) as f64).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

/// Returns the lower bound of a bucket in tokens.
fn lower_bound(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2() - 1.0
}

/// Probability that an output is longer than a given number of tokens.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    /// Probability that an output reaches the lower bound of each bucket.
    survival: [f64; BUCKETS + 1],
}

impl SurvivalCurve {
    /// Builds a curve from bucket weights. Callers give every possible bucket a
    /// weight, so that lengths not observed yet keep a probability above 0.
    pub(crate) fn from_weights(weights: &[f64; BUCKETS]) -> Self {
        let total: f64 = weights.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        let mut remaining = total;
        for (bucket, weight) in weights.iter().enumerate() {
            survival[bucket] = if total > 0.0 { remaining / total } else { 0.0 };
            remaining = (remaining - weight).max(0.0);
        }
        SurvivalCurve { survival }
    }

    /// Returns the probability that an output is longer than `tokens`, interpolated
    /// linearly within a bucket.
    pub fn survival(&self, tokens: u64) -> f64 {
        let bucket = bucket(tokens);
        let (low, high) = (lower_bound(bucket), lower_bound(bucket + 1));
        let fraction = ((tokens as f64 - low) / (high - low)).clamp(0.0, 1.0);
        let (at, next) = (self.survival[bucket], self.survival[bucket + 1]);
        at + (next - at) * fraction
    }

    /// Returns the probability that more than `more` further tokens follow, given
    /// that the output is longer than `produced`.
    pub fn conditional_survival(&self, produced: u64, more: u64) -> f64 {
        let reached = self.survival(produced);
        if reached <= 0.0 {
            return 0.0;
        }
        (self.survival(produced + more) / reached).clamp(0.0, 1.0)
    }

    /// Returns the expected number of further tokens, given that the output is
    /// longer than `produced`.
    pub fn mean_remaining(&self, produced: u64) -> f64 {
        let reached = self.survival(produced);
        if reached <= 0.0 {
            return 0.0;
        }
        let mut mean = 0.0;
        let mut low = produced as f64;
        for bucket in bucket(produced)..BUCKETS {
            let high = lower_bound(bucket + 1).max(low);
            let (at, next) = (self.survival(low as u64), self.survival[bucket + 1]);
            mean += (high - low) * (at + next) / 2.0;
            low = high;
        }
        mean / reached
    }
}
