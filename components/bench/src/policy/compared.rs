//! Policies that are compared.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use placement::Mechanisms;
use serde::{Serialize, Serializer};

/// Policy that is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Baseline: engines in turn.
    RoundRobin,
    /// Baseline: fewest requests of this entry in flight.
    LeastInFlight,
    /// Baseline: better of two random engines by their last report.
    TwoChoices,
    /// The placer with all mechanisms, or without some.
    Placer(Mechanisms),
}

/// the policy is none of those that `--help` lists
#[derive(Clone, Copy, Debug, Display)]
pub struct InvalidPolicy;

impl Policy {
    /// Returns all baselines, the placer, and the placer without each
    /// mechanism.
    pub fn all() -> Vec<Policy> {
        let on = Mechanisms::default();
        vec![
            Policy::RoundRobin,
            Policy::LeastInFlight,
            Policy::TwoChoices,
            Policy::Placer(on),
            Policy::Placer(Mechanisms { forecast: false, ..on }),
            Policy::Placer(Mechanisms { affinity: false, ..on }),
            Policy::Placer(Mechanisms { fairness: false, ..on }),
            Policy::Placer(Mechanisms { reservations: false, ..on }),
            Policy::Placer(Mechanisms { early_refusal: false, ..on }),
            Policy::Placer(Mechanisms { deadlines: false, ..on }),
            Policy::Placer(Mechanisms { jitter: false, ..on }),
        ]
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let on = Mechanisms::default();
        f.write_str(match self {
            Policy::RoundRobin => "round-robin",
            Policy::LeastInFlight => "least-in-flight",
            Policy::TwoChoices => "two-choices",
            Policy::Placer(mechanisms) if *mechanisms == on => "placer",
            Policy::Placer(mechanisms) if !mechanisms.forecast => "without-forecast",
            Policy::Placer(mechanisms) if !mechanisms.affinity => "without-affinity",
            Policy::Placer(mechanisms) if !mechanisms.fairness => "without-fairness",
            Policy::Placer(mechanisms) if !mechanisms.reservations => "without-reservations",
            Policy::Placer(mechanisms) if !mechanisms.early_refusal => "without-early-refusal",
            Policy::Placer(mechanisms) if !mechanisms.deadlines => "without-deadlines",
            Policy::Placer(_) => "without-jitter",
        })
    }
}

impl FromStr for Policy {
    type Err = InvalidPolicy;

    fn from_str(text: &str) -> Result<Self, InvalidPolicy> {
        let all = Policy::all().into_iter();
        all.into_iter().find(|policy| policy.to_string() == text).ok_or(InvalidPolicy)
    }
}

impl Serialize for Policy {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
