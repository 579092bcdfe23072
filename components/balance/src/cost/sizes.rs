//! Work of the requests of each route, and how large one is among them.

use std::collections::HashMap;

use compact_str::CompactString;

use super::Work;

/// Requests over which the mean is taken.
const MEMORY_REQUESTS: f64 = 64.0;
/// One request counts as at most so many times the mean, so that none shifts it far.
const MAX_OF_MEAN: f64 = 4.0;
/// Relative step by which the bounds of the size classes follow the requests.
const BOUND_STEP: f64 = 0.05;
/// Shares of requests below the largest tenth, and below the fifth before it.
const LARGEST_QUANTILE: f64 = 0.9;
const LARGE_QUANTILE: f64 = 0.7;
/// Routes that are remembered; more than any deployment has.
const MAX_ROUTES: usize = 20_000;

/// Size of a request among those of its route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SizeClass {
    /// The smaller seven tenths.
    Usual,
    /// The fifth above them.
    Large,
    /// The largest tenth.
    Largest,
}

#[derive(Clone, Copy, Debug)]
struct RouteSize {
    mean_ms: f64,
    large_ms: f64,
    largest_ms: f64,
}

/// Sizes of the requests of all routes.
#[derive(Clone, Debug, Default)]
pub struct RouteSizes(HashMap<CompactString, RouteSize>);

impl RouteSizes {
    /// Records the work of a request; returns the mean of its route, and its class.
    ///
    /// ```
    /// use balance::{RouteSizes, SizeClass, Work};
    /// let mut sizes = RouteSizes::default();
    /// for number in 0..2_000 {
    ///     sizes.record("plans", Work::from_ms(f64::from(number * 37 % 100)));
    /// }
    /// let (mean, class) = sizes.record("plans", Work::from_ms(99.0));
    /// assert!((35.0..65.0).contains(&mean.as_ms()));
    /// assert_eq!(class, SizeClass::Largest);
    /// assert_eq!(sizes.record("plans", Work::from_ms(40.0)).1, SizeClass::Usual);
    /// ```
    pub fn record(&mut self, route: &str, work: Work) -> (Work, SizeClass) {
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(route) {
            self.0.clear();
        }
        let work_ms = work.as_ms();
        let new = RouteSize { mean_ms: work_ms, large_ms: work_ms, largest_ms: work_ms };
        let size = self.0.entry(route.into()).or_insert(new);
        let counted_ms = work_ms.min(size.mean_ms.max(1.0) * MAX_OF_MEAN);
        size.mean_ms += (counted_ms - size.mean_ms) / MEMORY_REQUESTS;
        let class = if work_ms > size.largest_ms {
            SizeClass::Largest
        } else if work_ms > size.large_ms {
            SizeClass::Large
        } else {
            SizeClass::Usual
        };
        size.large_ms = follow(size.large_ms, work_ms, LARGE_QUANTILE);
        size.largest_ms = follow(size.largest_ms, work_ms, LARGEST_QUANTILE);
        (Work::from_ms(size.mean_ms), class)
    }
}

/// Moves a bound so that a share of `quantile` of the requests stays below it.
fn follow(bound_ms: f64, work_ms: f64, quantile: f64) -> f64 {
    let step = if work_ms > bound_ms { quantile } else { quantile - 1.0 };
    (bound_ms * (1.0 + BOUND_STEP * step)).max(1.0)
}
