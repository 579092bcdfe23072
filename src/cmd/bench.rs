//! `shallottray bench`

use std::time::Duration;

use bench::{BenchError, LoadOptions, OverheadOptions, run_load, run_overhead};
use serde::Serialize;
use units::Millis;

use crate::cli::Bench;
use crate::error::CommandError;

/// Measures a running system.
pub async fn run(bench: Bench) -> Result<(), CommandError> {
    match bench {
        Bench::Load {
            entry,
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
