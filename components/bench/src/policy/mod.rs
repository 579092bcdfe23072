//! Benchmark of placement policies under load.
//!
//! The same [`placement::Placer`] that runs in the entries places requests on
//! simulated engines in simulated time, without a real network, a control group
//! or other processes. The placer, the placer with single mechanisms disabled and
//! the baselines run on the same arrivals. The exception is
//! [`Policy::TwoChoices`]: it draws engines from the random number generator of
//! the arrivals, so its arrivals only have the same distribution.

mod capacity;
mod compared;
mod engine;
mod mix;
mod names;
mod plot;
mod score;
mod simulation;

pub use compared::Policy;
pub use mix::MixName;
pub use plot::write_plots;
pub use score::Score;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;

use mix::Mix;
use simulation::Simulation;

/// Options of a policy benchmark.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// Request mixes to run.
    pub mixes: Vec<MixName>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Offered loads, as multiples of the engines' total capacity.
    pub loads: Vec<f64>,
    /// Number of random seeds; each combination runs once per seed.
    pub seeds: u64,
    /// Simulated seconds of one run, without its warm-up.
    pub seconds: u64,
    /// Number of combinations that run in parallel.
    pub threads: usize,
    /// Disturbance during each run.
    pub disturbance: Disturbance,
}

/// Disturbance that is injected into a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// One engine fails a third of the way into the run, its warm-up not counted.
    EngineLost,
    /// The steps of one engine take four times as long from a third of the way into
    /// the run, its warm-up not counted.
    EngineSlow,
    /// The arrival rate doubles for 5 s in every 30 s.
    Bursts,
}

/// Result of one policy at one load, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRow {
    /// Request mix.
    pub mix: MixName,
    /// Policy.
    pub policy: Policy,
    /// Offered load, as a multiple of the engines' total capacity.
    pub load: f64,
    /// Means over the seeds.
    pub score: Score,
}

/// Runs all combinations of mix, load and policy and returns their results in
/// that order. Calls `progress` with the number of finished and of all
/// combinations after each one.
pub fn run_policies(
    options: &PolicyOptions,
    progress: impl Fn(usize, usize) + Sync,
) -> Vec<PolicyRow> {
    let mut combinations = Vec::new();
    for mix in &options.mixes {
        for load in &options.loads {
            for policy in &options.policies {
                combinations.push((*mix, *policy, *load));
            }
        }
    }
    let next_index = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    let Some((mix, policy, load)) = combinations.get(index) else { return };
                    let row = run_combination(options, *mix, *policy, *load);
                    if let Ok(mut rows) = rows.lock() {
                        rows.push((index, row));
                        progress(rows.len(), combinations.len());
                    }
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_default();
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn run_combination(options: &PolicyOptions, mix: MixName, policy: Policy, load: f64) -> PolicyRow {
    let seeds = 1..=options.seeds;
    let scores: Vec<Score> = seeds
        .map(|seed| {
            let mix = Mix::new(mix);
            Simulation::new(mix, policy, load, seed, options.seconds, options.disturbance).run()
        })
        .collect();
    PolicyRow { mix, policy, load, score: Score::mean(&scores) }
}

/// Renders rows as a plain-text table.
pub fn render_table(rows: &[PolicyRow]) -> String {
    let mut text = format!(
        "{:<9} {:<22} {:>4} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7}\n",
        "mix",
        "policy",
        "load",
        "quick95",
        "long95",
        "gap95",
        "maxgap95",
        "stall_s",
        "preempt",
        "refused",
        "goodput",
        "fair"
    );
    for PolicyRow { mix, policy, load, score } in rows {
        text += &format!(
            "{:<9} {:<22} {:>4.1} {:>8.0} {:>8.0} {:>8.1} {:>8.0} {:>8.2} {:>8.2} {:>8.3} {:>8.2} {:>7.2}\n",
            mix.to_string(),
            policy.to_string(),
            load,
            score.quick.first_token_p95_ms,
            score.long.first_token_p95_ms,
            score.gap_p95_ms,
            score.longest_gap_p95_ms,
            score.stall_s_per_1000,
            score.preemptions_per_1000,
            score.refused_share,
            score.goodput_per_s,
            score.fairness,
        );
    }
    text
}
