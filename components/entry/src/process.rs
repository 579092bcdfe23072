//! Startup and shutdown of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::{Actor as _, Addr};
use actix_web::dev::ServerHandle;
use clock::Clock;
use credentials::{Identity, Role, TlsConfigs};
use schema::EntryMember;
use settings::EntryConfig;
use telemetry::Spans;
use tokio::sync::watch;
use tokio::time::sleep;
use wire::Endpoint;

use crate::broker::Broker;
use crate::control::ControlClient;
use crate::error::StartError;
use crate::http;
use crate::membership::{Leave, Membership, StartDraining, StartLeaving};
use crate::metrics::Metrics;
use crate::peer_service::PeerService;
use crate::peers::Peers;
use crate::shared::Shared;
use crate::stop::Stop;
use crate::view::{Mode, View};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a changed address list to reach the other entries, added to the
/// time for which callers cache the list.
const ADDRESS_LIST_MARGIN: Duration = Duration::from_secs(2);

/// Running entry process.
#[derive(Debug)]
pub struct Entry {
    shared: Shared,
    membership: Addr<Membership>,
    endpoint: Endpoint,
    http: ServerHandle,
    http_address: SocketAddr,
}

impl Entry {
    /// Starts an entry inside a running [`actix::System`].
    pub fn start(config: EntryConfig) -> Result<Entry, StartError> {
        let tls = TlsConfigs::load(&config.tls, wire::PROTOCOL).map_err(StartError::Credentials)?;
        check_identity(&tls.identity, &config)?;
        let process = format!("entry/{}", config.vm);
        let spans = Spans::start(&process, &config.telemetry).map_err(StartError::Spans)?;
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let listen_error = |address| move |error| StartError::Listen(address, error);
        let endpoint =
            Endpoint::bind(config.peer_address, &tls).map_err(listen_error(config.peer_address))?;
        let config = Arc::new(config);
        let clock = Clock::start();
        let epoch = rand::random_range(1..=u64::MAX >> 11);
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let peers = Peers::new(endpoint.clone());
        let control = ControlClient::new(&endpoint, &config.control_addresses, metrics.clone());
        let broker =
            Broker::new(&config, clock, epoch, peers.clone(), metrics.clone(), spans.clone())
                .start();
        let shared = Shared {
            config: config.clone(),
            epoch,
            view: view.clone(),
            broker: broker.clone(),
            control: control.clone(),
            metrics: metrics.clone(),
            spans: spans.clone(),
            in_flight: Default::default(),
            killed: Default::default(),
        };
        let (server, http_address) = http::serve(config.http_address, shared.clone())
            .map_err(listen_error(config.http_address))?;
        let membership = Membership {
            member: own_member(&config, epoch, http_address),
            config,
            clock,
            control,
            peers,
            broker: broker.clone(),
            metrics,
            view: view_sender,
            draining: false,
            heartbeat_in_flight: false,
            next_heartbeat_ms: 0,
            peer_poll_in_flight: false,
            needs_full_set: false,
            expired_lease_mode: Mode::Unconfirmed,
        }
        .start();
        let http = server.handle();
        actix_rt::spawn(server);
        let service = PeerService { broker, view, clock, spans };
        let peer_server = endpoint.clone();
        actix_rt::spawn(async move { peer_server.serve(service).await });
        Ok(Entry { shared, membership, endpoint, http, http_address })
    }

    /// Returns the address on which the HTTP server listens.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Shuts down without cutting off a request: leaves the address list,
    /// accepts requests until every caller's cached list has expired, waits
    /// without a time limit for in-flight requests, leaves the membership, and
    /// waits until callers have read their answers.
    pub async fn stop(&self) {
        self.membership.do_send(StartLeaving);
        let max_age = Duration::from_millis(self.shared.config.timers.address_max_age_ms);
        sleep(max_age + ADDRESS_LIST_MARGIN).await;
        self.membership.do_send(StartDraining);
        while self.shared.in_flight.count() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        if self.membership.send(Leave).await.is_err() {
            log::warn!("membership actor stopped before it left the membership");
        }
        // A request is no longer in flight once its answer is buffered for its caller.
        self.http.stop(true).await;
        self.kill().await;
    }

    /// Shuts down immediately and cuts off open requests: none of them is answered,
    /// as if the process had been killed.
    pub async fn kill(&self) {
        self.shared.killed.store(true, Ordering::SeqCst);
        self.http.stop(false).await;
        self.endpoint.close();
        self.membership.do_send(Stop);
        self.shared.broker.do_send(Stop);
        self.shared.spans.shutdown();
    }
}

fn own_member(config: &EntryConfig, epoch: u64, http_address: SocketAddr) -> EntryMember {
    // Port 0 in the settings means that the operating system chooses one.
    let advertised = match config.advertised_http_address.port() {
        0 => http_address,
        _ => config.advertised_http_address,
    };
    EntryMember {
        vm: config.vm.to_string(),
        epoch,
        data_centre: config.data_centre.to_string(),
        region: config.region.to_string(),
        http_address: advertised.to_string(),
        peer_address: config.advertised_peer_address.to_string(),
        leaving: false,
    }
}

fn check_identity(identity: &Identity, config: &EntryConfig) -> Result<(), StartError> {
    if identity.role == Role::Entry && identity.name == config.vm {
        return Ok(());
    }
    Err(StartError::WrongIdentity { found: identity.to_string(), vm: config.vm.to_string() })
}
