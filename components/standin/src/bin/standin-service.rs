//! `standin-service`: stand-in for a plain service.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use bpaf::Bpaf;
use schema::{AnnounceRequest, UpstreamKind};
use standin::announcer::Announcer;
use standin::service::{CallCounter, serve};
use tokio::time::sleep;

/// Stand-in of a plain service that counts what it runs.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Address to serve on
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Name of the upstream
    #[bpaf(argument("NAME"))]
    name: String,
    /// Data centre
    #[bpaf(argument("NAME"))]
    data_centre: String,
    /// Service that is served; may be repeated
    #[bpaf(argument("NAME"), some("at least one --serves is needed"))]
    serves: Vec<String>,
    /// Entry to announce to; may be repeated
    #[bpaf(argument("IP:PORT"), some("at least one --entry is needed"))]
    entry: Vec<String>,
    /// Token for announcements
    #[bpaf(argument("TOKEN"))]
    token: String,
}

fn main() -> ExitCode {
    let options = options().run();
    if let Err(error) = telemetry::start_logs("") {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    actix_rt::System::new().block_on(run(options))
}

async fn run(options: Options) -> ExitCode {
    let (server, address) = match serve(options.listen, CallCounter::default()) {
        Ok(serving) => serving,
        Err(error) => {
            eprintln!("cannot listen on {}: {error}", options.listen);
            return ExitCode::FAILURE;
        }
    };
    let handle = server.handle();
    actix_rt::spawn(server);
    let announcer = Announcer {
        entries: options.entry.clone(),
        token: options.token.clone(),
        announcements_paused: Default::default(),
        leaving: Default::default(),
    };
    let leaving = announcer.leaving.clone();
    let epoch = rand::random();
    let current = move || AnnounceRequest {
        upstream: options.name.clone(),
        kind: UpstreamKind::Plain.into(),
        address: address.to_string(),
        data_centre: options.data_centre.clone(),
        epoch,
        serves: options.serves.clone(),
        load: None,
        leaving: false,
    };
    actix_rt::spawn(announcer.run(current));
    log::info!(address = address.to_string().as_str(); "service started");
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return ExitCode::FAILURE };
    terminate.recv().await;
    leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_secs(3)).await;
    handle.stop(true).await;
    log::info!("service stopped");
    ExitCode::SUCCESS
}
