//! Start-up and shutdown of a gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use credentials::{Identity, Role, TlsConfigs};
use schema::EntryPhase;
use settings::{GatewayConfig, PeerTls};
use telemetry::Spans;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use wire::Endpoint;

use crate::accept::DRAIN_ACCEPT_PERIOD;
use crate::control::ControlLinks;
use crate::dialect::Dialect;
use crate::dialer::{Dialer, SystemDialer};
use crate::error::StartError;
use crate::metrics::Metrics;
use crate::peer::{self, PeerService, Peers};
use crate::reach;
use crate::route_sets;
use crate::server;
use crate::shared::Shared;
use crate::status::{self, Page};
use crate::vm_load;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the last answers are sent, after the grace period.
const ANSWER_DELAY: Duration = Duration::from_millis(100);
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Running gateway.
#[derive(Debug)]
pub struct Gateway {
    shared: Rc<Shared>,
    endpoint: Endpoint,
    links: Rc<ControlLinks>,
    closing: watch::Sender<bool>,
}

impl Gateway {
    /// Starts a gateway inside a running [`actix_rt::System`].
    pub async fn start(
        config: GatewayConfig,
        dialect: Box<dyn Dialect>,
    ) -> Result<Gateway, StartError> {
        Gateway::start_on(config, dialect, Box::new(SystemDialer)).await
    }

    /// The same on another network than the system's.
    pub async fn start_on(
        config: GatewayConfig,
        dialect: Box<dyn Dialect>,
        dialer: Box<dyn Dialer>,
    ) -> Result<Gateway, StartError> {
        let tls = peer_tls(&config)?;
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let process = format!("gateway/{}", config.vm);
        let spans = Spans::start(&process, &config.telemetry).map_err(StartError::Spans)?;
        let caller_listener = listen(config.caller_address).await?;
        let ready_listener = listen(config.ready_address).await?;
        let metrics_listener = listen(config.metrics_address).await?;
        let endpoint = Endpoint::bind(config.peer_address, &tls)
            .map_err(|error| StartError::Listen(config.peer_address, error))?;
        let peers = Peers::new(endpoint.clone());
        let shared = Rc::new(Shared::new(config, (dialect, dialer), metrics, spans, peers));
        let (closing, is_closing) = watch::channel(false);
        let links = ControlLinks::start(shared.clone(), endpoint.clone());
        actix_rt::spawn(server::serve(shared.clone(), caller_listener, is_closing));
        actix_rt::spawn(status::serve(shared.clone(), ready_listener, Page::Readiness));
        actix_rt::spawn(status::serve(shared.clone(), metrics_listener, Page::Metrics));
        actix_rt::spawn(route_sets::fetch_sets(shared.clone()));
        actix_rt::spawn(run_maintenance(shared.clone()));
        if shared.config.measure_load {
            actix_rt::spawn(vm_load::measure(shared.clone()));
        }
        actix_rt::spawn(reach::watch_links(shared.clone()));
        let (service, calls) = PeerService::new();
        let serving = endpoint.clone();
        actix_rt::spawn(async move { serving.serve(service).await });
        actix_rt::spawn(peer::serve_calls(shared.clone(), calls));
        Ok(Gateway { shared, endpoint, links, closing })
    }

    /// Starts syncing with new seed control processes. All other changes to the
    /// settings need a restart, including the removal of a seed.
    pub fn reload(&self, config: &GatewayConfig) {
        let restart_needed = self.shared.config.restart_needed(config).join(",");
        log::info!(seeds = config.seeds.len(), restart_needed = restart_needed.as_str(); "settings reloaded; new control seeds applied");
        self.links.add(&config.seeds.iter().copied().collect());
    }

    /// Shuts down gracefully within the grace period: reports that it is not
    /// ready, so that callers use other gateways, still serves new requests for a
    /// while, except streams that cannot be resumed and what may outlast the grace period,
    /// then drains the requests in flight, and waits until callers have read the answers.
    /// What is still in flight at the end is answered as
    /// of unknown outcome, or broken off if its response has begun.
    pub async fn stop(self) {
        let started = Instant::now();
        self.shared.stopping_since.set(Some(started));
        self.shared.phase.send_replace(EntryPhase::Stopping);
        let grace_end = self.shared.grace_end().unwrap_or(started);
        sleep_until((started + DRAIN_ACCEPT_PERIOD).min(grace_end)).await;
        self.closing.send_replace(true);
        let is_serving = || self.shared.in_flight() > 0 || self.shared.peer_calls.get() > 0;
        // A request is no longer in flight once its answer is buffered for its caller.
        let is_draining = || is_serving() || self.shared.open_connections() > 0;
        while is_draining() && Instant::now() < grace_end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        if is_serving() {
            self.shared.ending.send_replace(true);
            sleep(ANSWER_DELAY).await;
        }
        log::info!(in_flight = self.shared.in_flight(); "drain ended; closing peer connections");
        self.endpoint.close();
        self.shared.spans.shutdown();
    }
}

async fn run_maintenance(shared: Rc<Shared>) {
    let mut near_limit = false;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        near_limit = vm_load::publish(&shared, near_limit);
        shared.pool.close_expired();
        shared.registry.borrow_mut().expire(shared.now_ms());
        shared.quarantine.borrow_mut().expire();
        shared.limits.borrow_mut().expire(shared.now_ms());
        shared.health.borrow_mut().expire(shared.now_ms());
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

fn peer_tls(config: &GatewayConfig) -> Result<TlsConfigs, StartError> {
    let identity = Identity { role: Role::Entry, name: config.vm.clone() };
    match &config.tls {
        PeerTls::MutualTls(files) => TlsConfigs::load(files, wire::PROTOCOL),
        PeerTls::Unverified => TlsConfigs::unverified(identity, wire::PROTOCOL),
    }
    .map_err(StartError::Credentials)
}
