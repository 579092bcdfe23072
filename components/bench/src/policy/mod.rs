//! Measurement of the placement decisions under load.
//!
//! The same [`placement::Placer`] that runs in the entries drives small engine
//! fakes in simulated time; there is no network, control plane or process.
//! Baselines and switched-off mechanisms run on the same arrivals.

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

/// Options of a policy run.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// Mixes of requests.
    pub mixes: Vec<MixName>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Offered load, as shares of the engines' capacity.
    pub loads: Vec<f64>,
    /// Seeds; each gives one run.
    pub seeds: u64,
    /// Simulated time of one run, without its warm-up.
    pub seconds: u64,
    /// Runs at a time.
    pub threads: usize,
    /// Faults during the runs.
    pub disturbance: Disturbance,
}

/// What goes wrong during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// Nothing.
    None,
    /// One engine is lost a third into the run.
    EngineLost,
    /// One engine is four times slower from a third of the run on.
    EngineSlow,
    /// The arrival rate doubles for five seconds, every thirty.
    Bursts,
}

/// Result of all seeds of one policy at one load.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRow {
    /// Mix of requests.
    pub mix: MixName,
    /// Policy.
    pub policy: Policy,
    /// Offered load, as a share of capacity.
    pub load: f64,
    /// Means over the seeds.
    pub score: Score,
}

/// Runs all combinations and returns them in order; `progress` is told after
/// each one how many of all are done.
pub fn run_policies(
    options: &PolicyOptions,
    progress: impl Fn(usize, usize) + Sync,
) -> Vec<PolicyRow> {
    let mut cells = Vec::new();
    for mix in &options.mixes {
        for load in &options.loads {
            for policy in &options.policies {
                cells.push((*mix, *policy, *load));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((mix, policy, load)) = cells.get(index) else { return };
                    let row = run_cell(options, *mix, *policy, *load);
                    if let Ok(mut rows) = rows.lock() {
                        rows.push((index, row));
                        progress(rows.len(), cells.len());
                    }
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_default();
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn run_cell(options: &PolicyOptions, mix: MixName, policy: Policy, load: f64) -> PolicyRow {
    let seeds = 1..=options.seeds;
    let scores: Vec<Score> = seeds
        .map(|seed| {
            let mix = Mix::new(mix);
            Simulation::new(mix, policy, load, seed, options.seconds, options.disturbance).run()
        })
        .collect();
    PolicyRow { mix, policy, load, score: Score::mean(&scores) }
}

/// Renders rows as a table for people.
pub fn table(rows: &[PolicyRow]) -> String {
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
