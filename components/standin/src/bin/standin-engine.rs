//! `standin-engine`: stand-in for a model engine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use bpaf::Bpaf;
use standin::announcer::Announcer;
use standin::engine::{Batch, BatchOptions, EngineOptions, serve};
use tokio::time::sleep;

/// Stand-in of a model engine.
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
    /// Version or adapter that is served; may be repeated
    #[bpaf(argument("NAME"), some("at least one --serves is needed"))]
    serves: Vec<String>,
    /// Entry to announce to; may be repeated
    #[bpaf(argument("IP:PORT"), some("at least one --entry is needed"))]
    entry: Vec<String>,
    /// Token for announcements
    #[bpaf(argument("TOKEN"))]
    token: String,
    /// Tokens that the cache holds
    #[bpaf(argument("TOKENS"), fallback(100_000))]
    cache_tokens: u64,
    /// Generations that run at a time
    #[bpaf(argument("COUNT"), fallback(64))]
    max_running: usize,
    /// Microseconds between two tokens
    #[bpaf(argument("MICROSECONDS"), fallback(20_000))]
    step_us: u64,
    /// Prompt tokens that are computed in one step
    #[bpaf(argument("TOKENS"), fallback(2_000))]
    prefill_tokens: u64,
    /// Put the time of sending into each token
    stamp: bool,
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
    let batch = Batch::new(BatchOptions {
        cache_tokens: options.cache_tokens,
        max_running: options.max_running,
        step_duration: Duration::from_micros(options.step_us),
        prefill_tokens_per_step: options.prefill_tokens,
        include_send_time: options.stamp,
    });
    let announcer = Announcer {
        entries: options.entry.clone(),
        token: options.token.clone(),
        announcements_paused: Default::default(),
        leaving: Default::default(),
    };
    let (server, address) =
        match serve(options.listen, batch.clone(), announcer.announcements_paused.clone()) {
            Ok(serving) => serving,
            Err(error) => {
                eprintln!("cannot listen on {}: {error}", options.listen);
                return ExitCode::FAILURE;
            }
        };
    actix_rt::spawn(batch.clone().run());
    actix_rt::spawn(server);
    let engine = EngineOptions {
        name: options.name,
        data_centre: options.data_centre,
        serves: options.serves,
    };
    let epoch = rand::random();
    let leaving = announcer.leaving.clone();
    let current = {
        let batch = batch.clone();
        move || engine.announcement(address, epoch, &batch)
    };
    actix_rt::spawn(announcer.run(current));
    log::info!(address = address.to_string().as_str(); "engine started");
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return ExitCode::FAILURE };
    terminate.recv().await;
    leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    sleep(Duration::from_secs(1)).await;
    while batch.counters().open > 0 {
        sleep(Duration::from_millis(50)).await;
    }
    log::info!("engine stopped");
    ExitCode::SUCCESS
}
