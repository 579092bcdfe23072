//! `shallottray-entry`: serves callers and relays to upstreams.

use std::path::PathBuf;
use std::process::ExitCode;

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use bpaf::Bpaf;
use entry::Entry;
use tokio::time::{Duration, sleep};

const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 1;

/// Serves callers and relays to upstreams.
///
/// SIGTERM or SIGINT stops it gracefully; a second one sets a deadline.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Only check the settings and exit
    check_settings: bool,
    /// Seconds that streams get after a second signal
    #[bpaf(argument("SECONDS"), fallback(10))]
    stop_deadline_s: u64,
    /// File with the settings
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    let config = match settings::load_entry(&options.settings) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check_settings {
        println!("{}: settings are valid", options.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = telemetry::start_logs(&config.telemetry.log_level) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_USAGE);
    }
    let system = actix_rt::System::new();
    system.block_on(run(config, Duration::from_secs(options.stop_deadline_s)))
}

async fn run(config: settings::EntryConfig, deadline: Duration) -> ExitCode {
    let vm = config.vm.to_string();
    let entry = match Entry::start(config) {
        Ok(entry) => entry,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "cannot start");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    log::info!(vm = vm.as_str(), http_address = entry.http_address().to_string().as_str(); "entry started");
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("cannot listen for signals");
        return ExitCode::from(EXIT_FAILURE);
    };
    next_signal(&mut terminate, &mut interrupt).await;
    log::info!("stopping after the last request");
    let cut_off = async {
        next_signal(&mut terminate, &mut interrupt).await;
        log::warn!(seconds = deadline.as_secs(); "second signal: stopping at the deadline");
        sleep(deadline).await;
    };
    tokio::select! {
        () = entry.stop() => {}
        () = cut_off => entry.kill().await,
    }
    log::info!("stopped");
    ExitCode::SUCCESS
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
