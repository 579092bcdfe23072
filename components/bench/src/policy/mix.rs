//! Request mixes of the policy benchmark.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use rand::rngs::SmallRng;
use rand::{Rng, RngExt as _};
use schema::{Priority, Weights};
use serde::Serialize;

/// Name of a request mix.
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

/// Priority class of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    Quick,
    Long,
}

/// Random request drawn from a mix.
#[derive(Clone, Debug)]
pub(crate) struct SampledRequest {
    pub(crate) kind: RequestKind,
    pub(crate) workspace: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) prefix: u64,
}

/// Log-normal distribution of lengths in tokens.
#[derive(Clone, Copy, Debug)]
struct TokenDistribution {
    median: f64,
    sigma: f64,
    max: u64,
}

impl TokenDistribution {
    fn sample(&self, rng: &mut SmallRng) -> u64 {
        let tokens = self.median * (self.sigma * sample_standard_normal(rng)).exp();
        (tokens as u64).clamp(1, self.max)
    }
}

/// Request mix, with the priorities, weights and workspace shares that are
/// published for it.
#[derive(Clone, Debug)]
pub(crate) struct Mix {
    pub(crate) quick: Priority,
    pub(crate) long: Priority,
    pub(crate) weights: Weights,
    pub(crate) shares: Vec<u32>,
    pub(crate) max_output_tokens: u64,
    long_share: f64,
    quick_output: TokenDistribution,
    long_output: TokenDistribution,
    quick_prompt: TokenDistribution,
    long_prompt: TokenDistribution,
    prefix_count: u64,
}

/// Relative demand of the workspaces; a few are large.
const WORKSPACE_DEMAND: [f64; 10] = [6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
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
                shares: vec![1; WORKSPACE_DEMAND.len()],
                max_output_tokens: MAX_OUTPUT_TOKENS,
                long_share: 0.15,
                quick_output: TokenDistribution { median: 60.0, sigma: 0.9, max: 2_048 },
                long_output: TokenDistribution {
                    median: 900.0,
                    sigma: 0.9,
                    max: MAX_OUTPUT_TOKENS,
                },
                quick_prompt: TokenDistribution { median: 300.0, sigma: 0.5, max: 4_000 },
                long_prompt: TokenDistribution { median: 800.0, sigma: 0.5, max: 8_000 },
                prefix_count: 40,
            },
            MixName::Lidworks => Mix {
                quick: Priority { reserved_share: 0.1, goodput_weight: 1.0, ..quick },
                long: Priority { rank: 1, reserved_share: 0.3, goodput_weight: 3.0, ..long },
                weights: Weights { stall: 2.0, preemption: 4.0, token_tail: 1.0, goodput: 1.0 },
                shares: vec![1; WORKSPACE_DEMAND.len()],
                max_output_tokens: MAX_OUTPUT_TOKENS,
                long_share: 0.4,
                quick_output: TokenDistribution { median: 40.0, sigma: 0.8, max: 2_048 },
                long_output: TokenDistribution {
                    median: 1_100.0,
                    sigma: 1.0,
                    max: MAX_OUTPUT_TOKENS,
                },
                quick_prompt: TokenDistribution { median: 200.0, sigma: 0.5, max: 4_000 },
                long_prompt: TokenDistribution { median: 1_500.0, sigma: 0.5, max: 12_000 },
                prefix_count: 25,
            },
        }
    }

    pub(crate) fn priority(&self, kind: RequestKind) -> &Priority {
        match kind {
            RequestKind::Quick => &self.quick,
            RequestKind::Long => &self.long,
        }
    }

    pub(crate) fn sample(&self, rng: &mut SmallRng) -> SampledRequest {
        let kind =
            if rng.random_bool(self.long_share) { RequestKind::Long } else { RequestKind::Quick };
        let (prompt, output) = match kind {
            RequestKind::Quick => (self.quick_prompt, self.quick_output),
            RequestKind::Long => (self.long_prompt, self.long_output),
        };
        SampledRequest {
            kind,
            workspace: sample_weighted_index(rng, &WORKSPACE_DEMAND),
            prompt_tokens: prompt.sample(rng),
            output_tokens: output.sample(rng),
            // The cube makes low prefix numbers far more frequent.
            prefix: (self.prefix_count as f64 * rng.random::<f64>().powi(3)) as u64,
        }
    }
}

fn sample_weighted_index(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Samples the standard normal distribution (Box-Muller transform).
fn sample_standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
