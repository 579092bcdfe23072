//! What the daemons' programs share: settings, exit codes, signals.

use std::path::Path;
use std::process::ExitCode;

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use settings::SettingsError;

const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 1;

/// Runs a daemon with settings that were loaded from `path`.
///
/// Settings that are wrong end the process with exit code 2; with
/// `check_only`, right ones end it with 0 before anything is started.
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
    let ended = actix_rt::System::new().block_on(start(config));
    telemetry::flush_logs();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(()) => ExitCode::from(EXIT_FAILURE),
    }
}

/// What a signal asks a daemon to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// End without cutting off work.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Signals that a daemon reacts to.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Starts to listen; needs a running runtime.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next SIGTERM, SIGINT or SIGHUP.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
        }
    }

    /// Waits for SIGTERM or SIGINT, in daemons that read their settings at
    /// their start only.
    pub async fn stopped(&mut self) {
        while self.next().await == Event::Reload {
            log::warn!("settings are read at the start only; restart to take them over");
        }
    }
}
