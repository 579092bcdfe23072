//! Latency distributions.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const MAX_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Distribution of latencies.
#[derive(Clone, Debug)]
pub struct Latency {
    histogram: Histogram<u64>,
}

/// Figures of a distribution, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Default for Latency {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, DIGITS);
        Latency { histogram: histogram.expect("constant bounds are valid") }
    }
}

impl Latency {
    /// Adds a value.
    ///
    /// ```
    /// let mut latency = bench::Latency::default();
    /// latency.record(std::time::Duration::from_micros(7));
    /// assert_eq!(latency.summary().p50_us, 7);
    /// ```
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        self.histogram.saturating_record(micros.clamp(1, MAX_US));
    }

    /// Adds all values of another distribution.
    pub fn merge(&mut self, other: &Latency) {
        // Equal bounds always fit.
        let _ = self.histogram.add(&other.histogram);
    }

    /// Returns the figures.
    pub fn summary(&self) -> Summary {
        Summary {
            count: self.histogram.len(),
            p50_us: self.histogram.value_at_quantile(0.50),
            p95_us: self.histogram.value_at_quantile(0.95),
            p99_us: self.histogram.value_at_quantile(0.99),
            max_us: self.histogram.max(),
        }
    }
}
