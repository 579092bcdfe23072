//! Startup code shared by the daemons: settings, exit codes, signals.

use std::path::Path;
use std::process::ExitCode;

use settings::SettingsError;

mod signals;

pub use signals::{Event, Signals};

const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 1;

/// Writes the queued log lines when the daemon ends, also by a panic. It has to be dropped
/// after the daemon's tasks, which log how they end.
struct FlushGuard;

impl Drop for FlushGuard {
    fn drop(&mut self) {
        telemetry::flush_logs();
    }
}

/// Runs a daemon with the settings `loaded` from `path`.
///
/// Returns exit code 2 if the settings are invalid or logging cannot start, and 1
/// if the daemon failed. With `check_only`, valid settings return 0 before
/// anything is started.
pub fn run<C, F>(
    path: &Path,
    check_only: bool,
    loaded: Result<C, SettingsError>,
    log_level: impl FnOnce(&C) -> &str,
    start: impl FnOnce(C) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), ()>>,
{
    let config = match loaded {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check_only {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = telemetry::start_logs(log_level(&config)) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_USAGE);
    }
    let _flush = FlushGuard;
    match actix_rt::System::new().block_on(start(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(()) => ExitCode::from(EXIT_FAILURE),
    }
}
