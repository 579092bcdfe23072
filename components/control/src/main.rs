//! `shallottray-control`: control daemon that holds the replicated state.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use control::Control;
use daemon::Signals;

/// Holds the replicated state: published sets, at-most-once records and the
/// membership of entries.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Only check the settings and exit
    check_settings: bool,
    /// File with the settings
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let Options { check_settings, settings: path } = options().run();
    let loaded = settings::load_control(&path);
    daemon::run(&path, check_settings, loaded, |config| &config.telemetry.log_level, run)
}

async fn run(config: settings::ControlConfig) -> Result<(), ()> {
    let vm = config.vm.to_string();
    let mut signals = Signals::listen().map_err(|error| {
        log::error!(error = error.to_string().as_str(); "cannot listen for signals");
    })?;
    let Some(started) = signals.unless_stopped(Control::start(config)).await else {
        return Ok(());
    };
    let mut control = started.map_err(|error| {
        log::error!(error = error.to_string().as_str(); "cannot start");
    })?;
    log::info!(vm = vm.as_str(), http_address = control.http_address().to_string().as_str(); "control started");
    tokio::select! {
        () = signals.stop_requested() => {}
        () = control.wait_for_failure() => {
            control.kill().await;
            return Err(());
        }
    }
    log::info!("stopping");
    control.stop().await;
    log::info!("stopped");
    Ok(())
}
