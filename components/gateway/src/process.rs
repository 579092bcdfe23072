//! Start and stop of a gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use credentials::{Identity, Role, TlsConfigs};
use schema::EntryPhase;
use settings::{GatewayConfig, PeerTls};
use telemetry::Spans;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use wire::Endpoint;

use crate::accept::LATE_CALLERS;
use crate::control::ControlLinks;
use crate::dialect::Dialect;
use crate::error::StartError;
use crate::metrics::Metrics;
use crate::server;
use crate::shared::Shared;
use crate::status::{self, Page};

const STOP_POLL: Duration = Duration::from_millis(50);
/// Time that is kept for closing connections before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
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
        let tls = peer_tls(&config)?;
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let process = format!("gateway/{}", config.vm);
        let spans = Spans::start(&process, &config.telemetry).map_err(StartError::Spans)?;
        let callers = listen(config.caller_address).await?;
        let ready = listen(config.ready_address).await?;
        let metrics_listener = listen(config.metrics_address).await?;
        let endpoint = Endpoint::bind(config.peer_address, &tls)
            .map_err(|error| StartError::Listen(config.peer_address, error))?;
        let shared = Rc::new(Shared::new(config, dialect, metrics, spans));
        let (closing, is_closing) = watch::channel(false);
        let links = ControlLinks::start(shared.clone(), endpoint.clone());
        actix_rt::spawn(server::serve(shared.clone(), callers, is_closing));
        actix_rt::spawn(status::serve(shared.clone(), ready, Page::Readiness));
        actix_rt::spawn(status::serve(shared.clone(), metrics_listener, Page::Metrics));
        actix_rt::spawn(maintain(shared.clone()));
        Ok(Gateway { shared, endpoint, links, closing })
    }

    /// Takes over what can change while the process runs: the control VMs to
    /// begin with.
    pub fn reload(&self, config: &GatewayConfig) {
        let restart_needed = self.shared.config.restart_needed(config).join(",");
        log::info!(seeds = config.seeds.len(), restart_needed = restart_needed.as_str(); "settings read again; the control VMs to begin with are taken over");
        self.links.follow(&config.seeds.iter().copied().collect());
    }

    /// Stops without cutting off a request, as far as the grace period allows:
    /// callers are sent elsewhere, those who still come are served for a
    /// while, and requests in progress end.
    pub async fn stop(self) {
        let started = Instant::now();
        self.shared.stopping_since.set(Some(started));
        self.shared.phase.send_replace(EntryPhase::Stopping);
        let timers = &self.shared.config.timers;
        let grace = Duration::from_secs_f64(timers.grace_period_s).saturating_sub(KILL_MARGIN);
        sleep(LATE_CALLERS.min(grace)).await;
        self.closing.send_replace(true);
        while self.shared.in_flight() > 0 && started.elapsed() < grace {
            sleep(STOP_POLL).await;
        }
        log::info!(in_flight = self.shared.in_flight(); "callers are gone");
        self.endpoint.close();
        self.shared.spans.shutdown();
    }
}

async fn maintain(shared: Rc<Shared>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        shared.pool.expire();
        shared.fleet.borrow_mut().expire(shared.now_ms());
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

fn peer_tls(config: &GatewayConfig) -> Result<TlsConfigs, StartError> {
    let identity = Identity { role: Role::Entry, name: config.vm.clone() };
    match &config.tls {
        PeerTls::Files(files) => TlsConfigs::load(files, wire::PROTOCOL),
        PeerTls::Unverified => TlsConfigs::unverified(identity, wire::PROTOCOL),
    }
    .map_err(StartError::Credentials)
}
