//! `shallottray bench`

use std::time::Duration;

use bench::{
    BenchError, Disturbance, LoadOptions, MixName, OverheadOptions, Policy, PolicyOptions,
    measure_unit_costs, render_table, run_load, run_overhead, run_policies, write_plots,
};
use serde::Serialize;
use units::Millis;

use crate::cli::Bench;
use crate::error::CommandError;

/// Offered loads, as shares of capacity, that are simulated if none is selected.
const DEFAULT_LOADS: [f64; 4] = [0.7, 0.9, 1.1, 1.5];

/// Runs a benchmark and prints its report.
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
                pin_to_entry: pin,
                api_key: key,
                model,
                service,
                rate_per_s: rate,
                duration: to_duration(duration),
                mean_tokens,
                booking_share: bookings,
                max_time_to_first_token: to_duration(first_token),
                max_time_between_tokens: to_duration(between_tokens),
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
                mixes: selected_or_defaults(mix, &[MixName::Stride, MixName::Lidworks]),
                policies: selected_or_defaults(policy, &Policy::all()),
                loads: selected_or_defaults(load, &DEFAULT_LOADS),
                seeds,
                seconds,
                threads,
                disturbance,
            };
            let rows = run_policies(&options, |done, total| {
                eprint!("\r{done} of {total} combinations");
                if done == total {
                    eprintln!();
                }
            });
            if let Some(folder) = plots {
                write_plots(&rows, &folder).map_err(CommandError::Invalid)?;
            }
            if json {
                return print(&rows);
            }
            print!("{}", render_table(&rows));
            Ok(())
        }
        Bench::Slopes { folder } => {
            let unit_costs = measure_unit_costs(&folder)
                .map_err(|error| CommandError::Invalid(error.to_string()))?;
            print(&unit_costs)
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

/// Returns the selected values, or `defaults` if none is selected.
fn selected_or_defaults<T: Clone>(selected: Vec<T>, defaults: &[T]) -> Vec<T> {
    if selected.is_empty() { defaults.to_vec() } else { selected }
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
