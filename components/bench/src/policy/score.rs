//! Metrics of one simulated run.

use serde::Serialize;

use super::mix::{Mix, RequestKind};

/// Gap between tokens beyond which a stream counts as stalled.
const STALL_THRESHOLD_US: u64 = 200_000;
const US_PER_MS: f64 = 1_000.0;
const US_PER_S: f64 = 1_000_000.0;
/// Fraction of the gaps between tokens that must be within the priority's target
/// for a request to count as on time.
const MIN_ON_TIME_GAP_SHARE: f64 = 0.95;

/// Observations of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) kind: RequestKind,
    pub(crate) workspace: usize,
    pub(crate) arrived_us: u64,
    /// Length of the complete output.
    pub(crate) full_output_tokens: u64,
    /// Time of the last token, or of the arrival before the first token.
    pub(crate) last_token_us: u64,
    pub(crate) delivered_tokens: u64,
    pub(crate) time_to_first_token_us: Option<u64>,
    pub(crate) gaps_us: Vec<u32>,
    pub(crate) preemptions: u64,
    pub(crate) refused: bool,
    pub(crate) completed: bool,
}

impl RequestOutcome {
    fn is_on_time(&self, mix: &Mix) -> bool {
        let priority = mix.priority(self.kind);
        let first_on_time = self
            .time_to_first_token_us
            .is_some_and(|elapsed_us| elapsed_us <= priority.first_token_ms * 1_000);
        let target_us = priority.between_tokens_ms * 1_000;
        let late_gaps = self.gaps_us.iter().filter(|gap| u64::from(**gap) > target_us).count();
        let gaps_on_time =
            late_gaps as f64 <= (1.0 - MIN_ON_TIME_GAP_SHARE) * self.gaps_us.len() as f64;
        self.completed && first_on_time && gaps_on_time
    }

    fn longest_gap_us(&self) -> u64 {
        u64::from(self.gaps_us.iter().copied().max().unwrap_or_default())
    }

    fn stall_us(&self) -> u64 {
        let excess = |gap: &u32| u64::from(*gap).saturating_sub(STALL_THRESHOLD_US);
        self.gaps_us.iter().map(excess).sum()
    }
}

/// Metrics of one kind of request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct KindScore {
    /// 95th percentile of the time to first token.
    pub first_token_p95_ms: f64,
    /// Fraction of the arrived requests that completed on time.
    pub on_time_share: f64,
    /// Fraction of the arrived requests that were refused.
    pub refused_share: f64,
}

/// Metrics of one simulated run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Score {
    /// Quick requests.
    pub quick: KindScore,
    /// Long requests.
    pub long: KindScore,
    /// 95th percentile of the time between tokens.
    pub gap_p95_ms: f64,
    /// 95th percentile, over the streams, of the longest gap between tokens.
    pub longest_gap_p95_ms: f64,
    /// Stall time (the part of each gap beyond 200 ms), in seconds per 1000
    /// requests.
    pub stall_s_per_1000: f64,
    /// Preemptions per 1000 requests.
    pub preemptions_per_1000: f64,
    /// Fraction of the arrived requests that were refused.
    pub refused_share: f64,
    /// Requests completed on time, weighted by the goodput weight of their
    /// priority, per second.
    pub goodput_per_s: f64,
    /// Tokens delivered per second.
    pub tokens_per_s: f64,
    /// Smallest ratio, over the workspaces, of the delivered tokens to the
    /// max-min fair share.
    pub fairness: f64,
}

impl Score {
    pub(crate) fn from_outcomes(outcomes: &[RequestOutcome], mix: &Mix, seconds: f64) -> Self {
        let count = outcomes.len().max(1) as f64;
        let mut gaps: Vec<u64> =
            outcomes.iter().flat_map(|o| o.gaps_us.iter().map(|gap| u64::from(*gap))).collect();
        let with_gaps = outcomes.iter().filter(|outcome| outcome.delivered_tokens > 1);
        let mut longest_gaps: Vec<u64> = with_gaps.map(RequestOutcome::longest_gap_us).collect();
        let goodput: f64 = outcomes
            .iter()
            .filter(|outcome| outcome.is_on_time(mix))
            .map(|outcome| mix.priority(outcome.kind).goodput_weight)
            .sum();
        let stall_us: u64 = outcomes.iter().map(RequestOutcome::stall_us).sum();
        let preemptions: u64 = outcomes.iter().map(|outcome| outcome.preemptions).sum();
        let refused = outcomes.iter().filter(|outcome| outcome.refused).count();
        let tokens: u64 = outcomes.iter().map(|outcome| outcome.delivered_tokens).sum();
        Score {
            quick: kind_score(outcomes, mix, RequestKind::Quick),
            long: kind_score(outcomes, mix, RequestKind::Long),
            gap_p95_ms: p95(&mut gaps) / US_PER_MS,
            longest_gap_p95_ms: p95(&mut longest_gaps) / US_PER_MS,
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

fn kind_score(outcomes: &[RequestOutcome], mix: &Mix, kind: RequestKind) -> KindScore {
    let of_kind: Vec<&RequestOutcome> = outcomes.iter().filter(|o| o.kind == kind).collect();
    let count = of_kind.len().max(1) as f64;
    let mut first_token_us: Vec<u64> =
        of_kind.iter().filter_map(|o| o.time_to_first_token_us).collect();
    let on_time = of_kind.iter().filter(|o| o.is_on_time(mix)).count();
    let refused = of_kind.iter().filter(|o| o.refused).count();
    KindScore {
        first_token_p95_ms: p95(&mut first_token_us) / US_PER_MS,
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

/// Returns the smallest ratio, over the workspaces, of the delivered tokens to
/// those that a max-min fair allocation of all delivered tokens would give.
fn fairness(outcomes: &[RequestOutcome], mix: &Mix) -> f64 {
    let workspaces = mix.shares.len();
    let (mut demand, mut delivered) = (vec![0.0; workspaces], vec![0.0; workspaces]);
    for outcome in outcomes {
        // A request that still waits or runs demands only what it has received so
        // far, because it could not have received more yet. The same applies to
        // requests that were lost with their engine.
        let unfinished = !outcome.completed && !outcome.refused;
        let tokens = if unfinished { outcome.delivered_tokens } else { outcome.full_output_tokens };
        demand[outcome.workspace] += tokens as f64;
        delivered[outcome.workspace] += outcome.delivered_tokens as f64;
    }
    let fair = max_min_fair(&demand, &mix.shares, delivered.iter().sum());
    let ratios = delivered.iter().zip(&fair).filter(|(_, fair)| **fair > 0.0);
    ratios.map(|(delivered, fair)| delivered / fair).fold(f64::INFINITY, f64::min)
}

/// Allocates `total` by weighted max-min fairness (progressive filling).
fn max_min_fair(demand: &[f64], shares: &[u32], total: f64) -> Vec<f64> {
    let mut fair = vec![0.0; demand.len()];
    let mut remaining = total;
    let mut unsatisfied: Vec<usize> = (0..demand.len()).collect();
    while !unsatisfied.is_empty() && remaining > 1e-9 {
        let total_share: f64 = unsatisfied.iter().map(|i| f64::from(shares[*i])).sum();
        let per_share = remaining / total_share;
        let (satisfied, rest): (Vec<usize>, Vec<usize>) = unsatisfied
            .iter()
            .partition(|i| demand[**i] - fair[**i] <= per_share * f64::from(shares[**i]));
        if satisfied.is_empty() {
            unsatisfied.iter().for_each(|i| fair[*i] += per_share * f64::from(shares[*i]));
            return fair;
        }
        for i in satisfied {
            remaining -= demand[i] - fair[i];
            fair[i] = demand[i];
        }
        unsatisfied = rest;
    }
    fair
}
