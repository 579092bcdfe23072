//! Figures of one run.

use serde::Serialize;

use super::mix::{Kind, Mix};

/// Gap beyond which a stream counts as stalled.
const STALL_US: u64 = 200_000;
const US_PER_MS: f64 = 1_000.0;
const US_PER_S: f64 = 1_000_000.0;
/// Share of gaps that must be in time.
const GAPS_IN_TIME: f64 = 0.95;

/// What happened to one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) kind: Kind,
    pub(crate) workspace: usize,
    pub(crate) arrived_us: u64,
    pub(crate) wanted_tokens: u64,
    pub(crate) last_us: u64,
    pub(crate) tokens: u64,
    pub(crate) first_us: Option<u64>,
    pub(crate) gaps_us: Vec<u32>,
    pub(crate) preemptions: u64,
    pub(crate) refused: bool,
    pub(crate) whole: bool,
}

impl Outcome {
    fn is_on_time(&self, mix: &Mix) -> bool {
        let priority = mix.priority(self.kind);
        let first_in_time =
            self.first_us.is_some_and(|first| first <= priority.first_token_ms * 1_000);
        let bound_us = priority.between_tokens_ms * 1_000;
        let late = self.gaps_us.iter().filter(|gap| u64::from(**gap) > bound_us).count();
        let in_time = late as f64 <= (1.0 - GAPS_IN_TIME) * self.gaps_us.len() as f64;
        self.whole && first_in_time && in_time
    }

    fn longest_gap_us(&self) -> u64 {
        u64::from(self.gaps_us.iter().copied().max().unwrap_or_default())
    }

    fn stall_us(&self) -> u64 {
        let beyond = |gap: &u32| u64::from(*gap).saturating_sub(STALL_US);
        self.gaps_us.iter().map(beyond).sum()
    }
}

/// Figures of one kind of request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct KindScore {
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// Requests that were delivered whole and on time, of all that arrived.
    pub on_time_share: f64,
    /// Requests that were refused, of all that arrived.
    pub refused_share: f64,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Score {
    /// Quick requests.
    pub quick: KindScore,
    /// Long requests.
    pub long: KindScore,
    /// 95th percentile of the time between two tokens.
    pub gap_p95_ms: f64,
    /// 95th percentile of each stream's longest gap.
    pub longest_gap_p95_ms: f64,
    /// Time beyond 200 ms without a token, in seconds per 1000 requests.
    pub stall_s_per_1000: f64,
    /// Preemptions per 1000 requests.
    pub preemptions_per_1000: f64,
    /// Requests that were refused, of all that arrived.
    pub refused_share: f64,
    /// Weighted requests delivered whole and on time, per second.
    pub goodput_per_s: f64,
    /// Tokens delivered, per second.
    pub tokens_per_s: f64,
    /// Smallest ratio of delivered tokens to the fair share of a workspace.
    pub fairness: f64,
}

impl Score {
    pub(crate) fn of(outcomes: &[Outcome], mix: &Mix, seconds: f64) -> Self {
        let count = outcomes.len().max(1) as f64;
        let mut gaps: Vec<u64> =
            outcomes.iter().flat_map(|o| o.gaps_us.iter().map(|gap| u64::from(*gap))).collect();
        let started = outcomes.iter().filter(|outcome| outcome.tokens > 1);
        let mut longest: Vec<u64> = started.map(Outcome::longest_gap_us).collect();
        let goodput: f64 = outcomes
            .iter()
            .filter(|outcome| outcome.is_on_time(mix))
            .map(|outcome| mix.priority(outcome.kind).goodput_weight)
            .sum();
        let stall_us: u64 = outcomes.iter().map(Outcome::stall_us).sum();
        let preemptions: u64 = outcomes.iter().map(|outcome| outcome.preemptions).sum();
        let refused = outcomes.iter().filter(|outcome| outcome.refused).count();
        let tokens: u64 = outcomes.iter().map(|outcome| outcome.tokens).sum();
        Score {
            quick: kind_score(outcomes, mix, Kind::Quick),
            long: kind_score(outcomes, mix, Kind::Long),
            gap_p95_ms: p95(&mut gaps) / US_PER_MS,
            longest_gap_p95_ms: p95(&mut longest) / US_PER_MS,
            stall_s_per_1000: stall_us as f64 / US_PER_S / count * 1_000.0,
            preemptions_per_1000: preemptions as f64 / count * 1_000.0,
            refused_share: refused as f64 / count,
            goodput_per_s: goodput / seconds,
            tokens_per_s: tokens as f64 / seconds,
            fairness: fairness(outcomes, mix),
        }
    }

    /// Returns the means of several scores.
    pub(crate) fn mean(scores: &[Score]) -> Self {
        let count = scores.len().max(1) as f64;
        let mean = |value: fn(&Score) -> f64| scores.iter().map(value).sum::<f64>() / count;
        Score {
            quick: KindScore {
                first_token_p95_ms: mean(|s| s.quick.first_token_p95_ms),
                on_time_share: mean(|s| s.quick.on_time_share),
                refused_share: mean(|s| s.quick.refused_share),
            },
            long: KindScore {
                first_token_p95_ms: mean(|s| s.long.first_token_p95_ms),
                on_time_share: mean(|s| s.long.on_time_share),
                refused_share: mean(|s| s.long.refused_share),
            },
            gap_p95_ms: mean(|s| s.gap_p95_ms),
            longest_gap_p95_ms: mean(|s| s.longest_gap_p95_ms),
            stall_s_per_1000: mean(|s| s.stall_s_per_1000),
            preemptions_per_1000: mean(|s| s.preemptions_per_1000),
            refused_share: mean(|s| s.refused_share),
            goodput_per_s: mean(|s| s.goodput_per_s),
            tokens_per_s: mean(|s| s.tokens_per_s),
            fairness: mean(|s| s.fairness),
        }
    }
}

fn kind_score(outcomes: &[Outcome], mix: &Mix, kind: Kind) -> KindScore {
    let of_kind: Vec<&Outcome> = outcomes.iter().filter(|o| o.kind == kind).collect();
    let count = of_kind.len().max(1) as f64;
    let mut first: Vec<u64> = of_kind.iter().filter_map(|o| o.first_us).collect();
    let on_time = of_kind.iter().filter(|o| o.is_on_time(mix)).count();
    let refused = of_kind.iter().filter(|o| o.refused).count();
    KindScore {
        first_token_p95_ms: p95(&mut first) / US_PER_MS,
        on_time_share: on_time as f64 / count,
        refused_share: refused as f64 / count,
    }
}

fn p95(values: &mut [u64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let index = (values.len() - 1) * 95 / 100;
    let (_, value, _) = values.select_nth_unstable(index);
    *value as f64
}

/// Returns the smallest ratio of what a workspace got to what a max-min fair
/// division of all delivered tokens would have given it.
fn fairness(outcomes: &[Outcome], mix: &Mix) -> f64 {
    let workspaces = mix.shares.len();
    let (mut wanted, mut delivered) = (vec![0.0; workspaces], vec![0.0; workspaces]);
    for outcome in outcomes {
        // What is still running has got all that it could so far.
        let running = !outcome.whole && !outcome.refused;
        let tokens = if running { outcome.tokens } else { outcome.wanted_tokens };
        wanted[outcome.workspace] += tokens as f64;
        delivered[outcome.workspace] += outcome.tokens as f64;
    }
    let fair = max_min_fair(&wanted, &mix.shares, delivered.iter().sum());
    let ratios = delivered.iter().zip(&fair).filter(|(_, fair)| **fair > 0.0);
    ratios.map(|(delivered, fair)| delivered / fair).fold(f64::INFINITY, f64::min)
}

fn max_min_fair(wanted: &[f64], shares: &[u32], total: f64) -> Vec<f64> {
    let mut fair = vec![0.0; wanted.len()];
    let mut left = total;
    let mut open: Vec<usize> = (0..wanted.len()).collect();
    while !open.is_empty() && left > 1e-9 {
        let share_sum: f64 = open.iter().map(|i| f64::from(shares[*i])).sum();
        let level = left / share_sum;
        let (full, rest): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|i| wanted[**i] - fair[**i] <= level * f64::from(shares[**i]));
        if full.is_empty() {
            open.iter().for_each(|i| fair[*i] += level * f64::from(shares[*i]));
            return fair;
        }
        for i in full {
            left -= wanted[i] - fair[i];
            fair[i] = wanted[i];
        }
        open = rest;
    }
    fair
}
