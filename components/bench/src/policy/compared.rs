//! Placement policies that the benchmark compares.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use placement::Mechanisms;
use serde::{Serialize, Serializer};

/// Placement policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Baseline: each entry uses the engines in turn.
    RoundRobin,
    /// Baseline: engine with the fewest in-flight requests of the same entry.
    LeastInFlight,
    /// Baseline: the less loaded of two random engines, by their last load
    /// reports (power of two choices).
    TwoChoices,
    /// The placer with the given mechanisms enabled.
    Placer(Mechanisms),
}

/// the policy is none of those that `--help` lists
#[derive(Clone, Copy, Debug, Display)]
pub struct InvalidPolicy;

impl Policy {
    /// Returns the baselines, the placer with all mechanisms, and the placer
    /// with each single mechanism disabled.
    pub fn all() -> Vec<Policy> {
        let all_enabled = Mechanisms::default();
        vec![
            Policy::RoundRobin,
            Policy::LeastInFlight,
            Policy::TwoChoices,
            Policy::Placer(all_enabled),
            Policy::Placer(Mechanisms { forecast: false, ..all_enabled }),
            Policy::Placer(Mechanisms { affinity: false, ..all_enabled }),
            Policy::Placer(Mechanisms { fairness: false, ..all_enabled }),
            Policy::Placer(Mechanisms { reservations: false, ..all_enabled }),
            Policy::Placer(Mechanisms { early_refusal: false, ..all_enabled }),
            Policy::Placer(Mechanisms { deadlines: false, ..all_enabled }),
            Policy::Placer(Mechanisms { jitter: false, ..all_enabled }),
        ]
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all_enabled = Mechanisms::default();
        f.write_str(match self {
            Policy::RoundRobin => "round-robin",
            Policy::LeastInFlight => "least-in-flight",
            Policy::TwoChoices => "two-choices",
            Policy::Placer(mechanisms) if *mechanisms == all_enabled => "placer",
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
