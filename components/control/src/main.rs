//! `shallottray-control`: holds the replicated state.

use std::path::PathBuf;
use std::process::ExitCode;

use actix_rt::signal::unix::{SignalKind, signal};
use bpaf::Bpaf;
use control::Control;

const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 1;

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
    let options = options().run();
    let config = match settings::load_control(&options.settings) {
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
    system.block_on(run(config))
}

async fn run(config: settings::ControlConfig) -> ExitCode {
    let vm = config.vm.to_string();
    let mut control = match Control::start(config) {
        Ok(control) => control,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "cannot start");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    log::info!(vm = vm.as_str(), http_address = control.http_address().to_string().as_str(); "control started");
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("cannot listen for signals");
        return ExitCode::from(EXIT_FAILURE);
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = control.failed() => {
            control.kill().await;
            return ExitCode::from(EXIT_FAILURE);
        }
    }
    log::info!("stopping");
    control.stop().await;
    log::info!("stopped");
    ExitCode::SUCCESS
}
