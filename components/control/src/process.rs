//! Startup and shutdown of a control process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use actix::{Actor as _, Addr};
use actix_web::dev::ServerHandle;
use credentials::{Identity, Role, TlsConfigs};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use journal::{Disk, Journal, RecoveredState, SystemDisk};
use schema::{ConsensusMessage, ErrorCode, Reply, Request};
use settings::{ControlConfig, PeerTls};
use telemetry::Spans;
use tokio::sync::watch;
use tokio::time::sleep;
use wire::{Endpoint, Handler, error_reply};

use crate::error::StartError;
use crate::handle::Handle;
use crate::http;
use crate::metrics::Metrics;
use crate::replica::{PeerMessage, PeerRequest, Replica, Stop, TransferLeadership, UpdateSeeds};

const LEADERSHIP_TRANSFER_ATTEMPTS: u32 = 50;
const LEADERSHIP_TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the data folder is opened again on a disk that refused it.
const JOURNAL_OPEN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Running control process.
#[derive(Debug)]
pub struct Control {
    config: ControlConfig,
    replica: Addr<Replica>,
    endpoint: Endpoint,
    http: ServerHandle,
    http_address: SocketAddr,
    spans: Spans,
    failure: watch::Receiver<bool>,
}

impl Control {
    /// Starts a control process inside a running [`actix::System`], once the disk
    /// accepts writes: a new data folder needs them, and a full one is read only.
    pub async fn start(config: ControlConfig) -> Result<Control, StartError> {
        Control::start_on(config, || Box::new(SystemDisk)).await
    }

    /// The same on another disk than the system's.
    pub async fn start_on(
        config: ControlConfig,
        disk: impl Fn() -> Box<dyn Disk>,
    ) -> Result<Control, StartError> {
        let journal = open_journal(&config.data_path, disk).await?;
        let tls = peer_tls(&config)?;
        let process = format!("control/{}", config.vm);
        let spans = Spans::start(&process, &config.telemetry).map_err(StartError::Spans)?;
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let listen = |address| move |error| StartError::Listen(address, error);
        let endpoint =
            Endpoint::bind(config.peer_address, &tls).map_err(listen(config.peer_address))?;
        let http_address = config.http_address;
        let (on_failure, failure) = watch::channel(false);
        let replica = Replica::new(
            config.clone(),
            journal,
            endpoint.clone(),
            metrics.clone(),
            spans.clone(),
            on_failure,
        )?;
        let replica = replica.start();
        let (server, http_address) =
            http::serve(http_address, replica.clone(), metrics).map_err(listen(http_address))?;
        let http = server.handle();
        actix_rt::spawn(server);
        let service = Service { replica: replica.clone() };
        let serving = endpoint.clone();
        actix_rt::spawn(async move { serving.serve(service).await });
        Ok(Control { config, replica, endpoint, http, http_address, spans, failure })
    }

    /// Returns a handle for adapters in the same OS process.
    pub fn handle(&self) -> Handle {
        Handle::new(self.replica.clone())
    }

    /// Returns the address that serves metrics and health checks.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Completes after an error that makes it unsafe to continue, such as a failed
    /// disk write.
    pub async fn wait_for_failure(&mut self) {
        // The replica holds the sender while it runs; `wait_for` fails only once it
        // was dropped.
        let _ = self.failure.wait_for(|failed| *failed).await;
    }

    /// Tries to transfer leadership to another replica, then stops.
    pub async fn stop(self) {
        self.transfer_leadership().await;
        self.kill().await;
    }

    /// Transfers leadership to another replica, as part of a planned shutdown;
    /// gives up after a few seconds.
    pub async fn transfer_leadership(&self) {
        for _ in 0..LEADERSHIP_TRANSFER_ATTEMPTS {
            if self.replica.send(TransferLeadership).await.unwrap_or(true) {
                break;
            }
            sleep(LEADERSHIP_TRANSFER_POLL_INTERVAL).await;
        }
    }

    /// Applies the settings that can change at run time: the seed addresses of
    /// the control processes.
    pub fn reload(&self, config: ControlConfig) {
        let restart_needed = self.config.restart_needed(&config).join(",");
        log::info!(seeds = config.control_addresses.len(), restart_needed = restart_needed.as_str(); "settings reloaded; seed addresses applied");
        self.replica.do_send(UpdateSeeds(config.control_addresses));
    }

    /// Stops without transferring leadership.
    pub async fn kill(self) {
        self.endpoint.close();
        self.replica.do_send(Stop);
        self.http.stop(false).await;
        self.spans.shutdown();
    }
}

/// Opens the data folder, and repeats that while the disk is full or returns errors.
async fn open_journal(
    path: &Path,
    disk: impl Fn() -> Box<dyn Disk>,
) -> Result<(Journal, RecoveredState), StartError> {
    let mut reported = false;
    loop {
        match Journal::open_on(path, disk()) {
            Err(error) if error.is_transient() => {
                if !std::mem::replace(&mut reported, true) {
                    log::error!(error = error.to_string().as_str(); "cannot open the data folder yet; trying again until the disk accepts writes");
                }
                sleep(JOURNAL_OPEN_RETRY_DELAY).await;
            }
            opened => return opened.map_err(StartError::Journal),
        }
    }
}

fn peer_tls(config: &ControlConfig) -> Result<TlsConfigs, StartError> {
    let identity = Identity { role: Role::Control, name: config.vm.clone() };
    let tls = match &config.tls {
        PeerTls::MutualTls(files) => TlsConfigs::load(files, wire::PROTOCOL),
        PeerTls::Unverified => TlsConfigs::unverified(identity, wire::PROTOCOL),
    }
    .map_err(StartError::Credentials)?;
    check_identity(&tls.identity, config)?;
    Ok(tls)
}

fn check_identity(identity: &Identity, config: &ControlConfig) -> Result<(), StartError> {
    if identity.role == Role::Control && identity.name == config.vm {
        return Ok(());
    }
    Err(StartError::WrongIdentity { found: identity.to_string(), vm: config.vm.to_string() })
}

/// Forwards requests and consensus messages from peers to the replica.
struct Service {
    replica: Addr<Replica>,
}

impl Handler for Service {
    fn handle(&self, peer: Identity, request: Request) -> BoxFuture<'static, Reply> {
        let reply = self.replica.send(PeerRequest(peer, request));
        reply
            .map(|reply| {
                reply.unwrap_or_else(|error| error_reply(ErrorCode::Overloaded, error.to_string()))
            })
            .boxed()
    }

    fn handle_message(&self, peer: &Identity, message: ConsensusMessage) {
        if peer.role == Role::Control {
            self.replica.do_send(PeerMessage(peer.clone(), message));
        }
    }
}
