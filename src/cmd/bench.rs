//! `shallottray bench`

use std::time::Duration;

use bench::{
    BenchError, Disturbance, LoadOptions, MixName, OverheadOptions, Policy, PolicyOptions,
    measure_slopes, run_load, run_overhead, run_policies, table, write_plots,
};
use serde::Serialize;
use units::Millis;

use crate::cli::Bench;
use crate::error::CommandError;

/// Shares of capacity that are offered unless others are named.
const LOADS: [f64; 4] = [0.7, 0.9, 1.1, 1.5];

/// Measures a running system.
pub async fn run(bench: Bench) -> Result<(), CommandError> {
    match bench {
        Bench::Load {
            entry,
            pin,
            key,
            model,
            service,
            rate,
            duration,
            mean_tokens,
            bookings,
            first_token,
            between_tokens,
            seed,
        } => {
            let options = LoadOptions {
                entry,
                pin,
                api_key: key,
                model,
                service,
                rate_per_s: rate,
                duration: to_duration(duration),
                mean_tokens,
                bookings,
                first_token: to_duration(first_token),
                between_tokens: to_duration(between_tokens),
                seed,
            };
            print(&run_load(options).await.map_err(unavailable)?)
        }
        Bench::Policy {
            mix,
            policy,
            load,
            seeds,
            seconds,
            threads,
            engine_lost,
            engine_slow,
            bursts,
            json,
            plots,
        } => {
            let disturbance = match (engine_lost, engine_slow, bursts) {
                (true, _, _) => Disturbance::EngineLost,
                (_, true, _) => Disturbance::EngineSlow,
                (_, _, true) => Disturbance::Bursts,
                _ => Disturbance::None,
            };
            let options = PolicyOptions {
                mixes: or_all(mix, &[MixName::Stride, MixName::Lidworks]),
                policies: or_all(policy, &Policy::all()),
                loads: or_all(load, &LOADS),
                seeds,
                seconds,
                threads,
                disturbance,
            };
            let rows = run_policies(&options, |done, all| {
                eprint!("\r{done} of {all} combinations");
                if done == all {
                    eprintln!();
                }
            });
            if let Some(folder) = plots {
                write_plots(&rows, &folder).map_err(CommandError::Invalid)?;
            }
            if json {
                return print(&rows);
            }
            print!("{}", table(&rows));
            Ok(())
        }
        Bench::Slopes { folder } => {
            let slopes = measure_slopes(&folder)
                .map_err(|error| CommandError::Invalid(error.to_string()))?;
            print(&slopes)
        }
        Bench::Overhead { entry, engine, upstream, key, rounds, tokens } => {
            let options = OverheadOptions {
                entry,
                engine,
                upstream,
                api_key: key,
                model: "coach-llm".to_string(),
                version: "coach-7".to_string(),
                service: "booking-app".to_string(),
                rounds,
                tokens,
            };
            print(&run_overhead(options).await.map_err(unavailable)?)
        }
    }
}

/// Returns the named values, or all of them if none is named.
fn or_all<T: Clone>(named: Vec<T>, all: &[T]) -> Vec<T> {
    if named.is_empty() { all.to_vec() } else { named }
}

fn to_duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

fn unavailable(error: BenchError) -> CommandError {
    CommandError::Unavailable(error.to_string())
}

fn print(report: &impl Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(report);
    println!("{}", text.map_err(|error| CommandError::Invalid(error.to_string()))?);
    Ok(())
}
