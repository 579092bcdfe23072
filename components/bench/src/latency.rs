//! Latency histograms.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies from 1 µs to 10 minutes.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

/// Percentiles of a latency histogram, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
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

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        LatencyHistogram { histogram: histogram.expect("constant bounds are valid") }
    }
}

impl LatencyHistogram {
    /// Records one latency; values out of range are clamped.
    ///
    /// ```
    /// let mut latency = bench::LatencyHistogram::default();
    /// latency.record(std::time::Duration::from_micros(7));
    /// assert_eq!(latency.summary().p50_us, 7);
    /// ```
    pub fn record(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record(latency_us.clamp(1, MAX_LATENCY_US));
    }

    /// Adds all values of another histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        // Cannot fail: all histograms have the same bounds.
        let _ = self.histogram.add(&other.histogram);
    }

    /// Returns the count, percentiles and maximum.
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            count: self.histogram.len(),
            p50_us: self.histogram.value_at_quantile(0.50),
            p95_us: self.histogram.value_at_quantile(0.95),
            p99_us: self.histogram.value_at_quantile(0.99),
            max_us: self.histogram.max(),
        }
    }
}
