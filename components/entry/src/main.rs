//! `shallottray-entry`: accepts requests of callers and relays them to upstreams.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use daemon::Signals;
use entry::Entry;
use tokio::time::{Duration, sleep};

/// Serves callers and relays to upstreams.
///
/// SIGTERM or SIGINT stops it gracefully; a second one sets a deadline.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Only check the settings and exit
    check_settings: bool,
    /// Seconds that open streams may continue after a second signal
    #[bpaf(argument("SECONDS"), fallback(10))]
    stop_deadline_s: u64,
    /// File with the settings
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let Options { check_settings, stop_deadline_s, settings: path } = options().run();
    let loaded = settings::load_entry(&path);
    let deadline = Duration::from_secs(stop_deadline_s);
    let start = |config| run(config, deadline);
    daemon::run(&path, check_settings, loaded, |config| &config.telemetry.log_level, start)
}

async fn run(config: settings::EntryConfig, deadline: Duration) -> Result<(), ()> {
    let vm = config.vm.to_string();
    let entry = Entry::start(config).map_err(|error| {
        log::error!(error = error.to_string().as_str(); "cannot start");
    })?;
    let mut signals = Signals::listen().map_err(|error| {
        log::error!(error = error.to_string().as_str(); "cannot listen for signals");
    })?;
    log::info!(vm = vm.as_str(), http_address = entry.http_address().to_string().as_str(); "entry started");
    signals.stop_requested().await;
    log::info!("graceful shutdown started; draining in-flight requests");
    let forced_stop = async {
        signals.stop_requested().await;
        log::warn!(seconds = deadline.as_secs(); "second signal received; open streams are cut off at the deadline");
        sleep(deadline).await;
    };
    tokio::select! {
        () = entry.stop() => {}
        () = forced_stop => entry.kill().await,
    }
    log::info!("stopped");
    Ok(())
}
