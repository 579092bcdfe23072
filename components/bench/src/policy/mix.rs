//! Mixes of requests.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use rand::rngs::SmallRng;
use rand::{Rng, RngExt as _};
use schema::{Priority, Weights};
use serde::Serialize;

/// Name of a mix.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MixName {
    /// Many quick questions and some monthly plans.
    Stride,
    /// Compatibility queries and many long dossiers.
    Lidworks,
}

impl fmt::Display for MixName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MixName::Stride => "stride",
            MixName::Lidworks => "lidworks",
        })
    }
}

/// the mix is none of stride and lidworks
#[derive(Clone, Copy, Debug, Display)]
pub struct InvalidMix;

impl FromStr for MixName {
    type Err = InvalidMix;

    fn from_str(text: &str) -> Result<Self, InvalidMix> {
        match text {
            "stride" => Ok(MixName::Stride),
            "lidworks" => Ok(MixName::Lidworks),
            _ => Err(InvalidMix),
        }
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Quick,
    Long,
}

/// One request of a mix.
#[derive(Clone, Debug)]
pub(crate) struct Drawn {
    pub(crate) kind: Kind,
    pub(crate) workspace: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) prefix: u64,
}

/// Log-normal distribution of lengths.
#[derive(Clone, Copy, Debug)]
struct Lengths {
    median: f64,
    sigma: f64,
    max: u64,
}

impl Lengths {
    fn draw(&self, rng: &mut SmallRng) -> u64 {
        let length = self.median * (self.sigma * normal(rng)).exp();
        (length as u64).clamp(1, self.max)
    }
}

/// Mix of requests and what is published for it.
#[derive(Clone, Debug)]
pub(crate) struct Mix {
    pub(crate) quick: Priority,
    pub(crate) long: Priority,
    pub(crate) weights: Weights,
    pub(crate) shares: Vec<u32>,
    pub(crate) max_output_tokens: u64,
    long_share: f64,
    quick_output: Lengths,
    long_output: Lengths,
    quick_prompt: Lengths,
    long_prompt: Lengths,
    prefixes: u64,
}

/// Workspaces, of which a few are large.
const DEMAND: [f64; 10] = [6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
const MAX_OUTPUT_TOKENS: u64 = 16_384;

impl Mix {
    pub(crate) fn new(name: MixName) -> Self {
        let quick = Priority {
            name: "quick".to_string(),
            rank: 0,
            reserved_share: 0.15,
            first_token_ms: 370,
            between_tokens_ms: 50,
            stall_ms: 2_000,
            max_wait_ms: 300,
            goodput_weight: 2.0,
        };
        let long = Priority {
            name: "long".to_string(),
            rank: 2,
            reserved_share: 0.0,
            first_token_ms: 2_000,
            max_wait_ms: 30_000,
            goodput_weight: 1.0,
            ..quick.clone()
        };
        match name {
            MixName::Stride => Mix {
                quick,
                long,
                weights: Weights { stall: 2.0, preemption: 1.0, token_tail: 2.0, goodput: 2.0 },
                shares: vec![1; DEMAND.len()],
                max_output_tokens: MAX_OUTPUT_TOKENS,
                long_share: 0.15,
                quick_output: Lengths { median: 60.0, sigma: 0.9, max: 2_048 },
                long_output: Lengths { median: 900.0, sigma: 0.9, max: MAX_OUTPUT_TOKENS },
                quick_prompt: Lengths { median: 300.0, sigma: 0.5, max: 4_000 },
                long_prompt: Lengths { median: 800.0, sigma: 0.5, max: 8_000 },
                prefixes: 40,
            },
            MixName::Lidworks => Mix {
                quick: Priority { reserved_share: 0.1, goodput_weight: 1.0, ..quick },
                long: Priority { rank: 1, reserved_share: 0.3, goodput_weight: 3.0, ..long },
                weights: Weights { stall: 2.0, preemption: 4.0, token_tail: 1.0, goodput: 1.0 },
                shares: vec![1; DEMAND.len()],
                max_output_tokens: MAX_OUTPUT_TOKENS,
                long_share: 0.4,
                quick_output: Lengths { median: 40.0, sigma: 0.8, max: 2_048 },
                long_output: Lengths { median: 1_100.0, sigma: 1.0, max: MAX_OUTPUT_TOKENS },
                quick_prompt: Lengths { median: 200.0, sigma: 0.5, max: 4_000 },
                long_prompt: Lengths { median: 1_500.0, sigma: 0.5, max: 12_000 },
                prefixes: 25,
            },
        }
    }

    pub(crate) fn priority(&self, kind: Kind) -> &Priority {
        match kind {
            Kind::Quick => &self.quick,
            Kind::Long => &self.long,
        }
    }

    pub(crate) fn draw(&self, rng: &mut SmallRng) -> Drawn {
        let kind = if rng.random_bool(self.long_share) { Kind::Long } else { Kind::Quick };
        let (prompt, output) = match kind {
            Kind::Quick => (self.quick_prompt, self.quick_output),
            Kind::Long => (self.long_prompt, self.long_output),
        };
        Drawn {
            kind,
            workspace: weighted(rng, &DEMAND),
            prompt_tokens: prompt.draw(rng),
            output_tokens: output.draw(rng),
            // Low numbers are drawn far more often.
            prefix: (self.prefixes as f64 * rng.random::<f64>().powi(3)) as u64,
        }
    }
}

fn weighted(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Draws from the standard normal distribution.
fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
