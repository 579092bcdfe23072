//! Request rates that upstreams name.

use std::fmt;
use std::str::FromStr;

/// Rate in requests per second: finite and not negative.
///
/// ```
/// use balance::RequestRate;
/// assert_eq!("5.20".parse::<RequestRate>().unwrap().to_string(), "5.2");
/// assert!(["", "-1", "NaN", "inf", "1e999", "five"].iter().all(|text| {
///     text.parse::<RequestRate>().is_err()
/// }));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// the rate is not a finite decimal number of at least 0
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct InvalidRate;

impl std::error::Error for InvalidRate {}

impl RequestRate {
    /// Creates a rate from requests per second.
    pub fn new(per_second: f64) -> Result<Self, InvalidRate> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(RequestRate(per_second)).ok_or(InvalidRate)
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        RequestRate::new(text.trim().parse().map_err(|_| InvalidRate)?)
    }
}
