//! Local end of all connections of a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use credentials::{Identity, Role, TlsConfigs};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig, VarInt};

use crate::link::Link;
use crate::server::{self, Handler};

/// Time without a packet after which a connection is lost. A restarted peer
/// does not answer on old connections, so this bounds how long it is missed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Round trip assumed before the first is measured: the default of the library
/// costs a second whenever the first packet meets a peer that is starting.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(30);
/// Requests that one peer may have open at a time; each connection holds memory
/// for all of them from its start.
const MAX_CONCURRENT_REQUESTS: u32 = 512;
const WINDOW_BYTES: u32 = 16 << 20;

/// Local end of all connections of a process.
#[derive(Clone, Debug)]
pub struct Endpoint {
    endpoint: quinn::Endpoint,
    identity: Identity,
}

impl Endpoint {
    /// Binds a UDP address; needs a running runtime.
    pub fn bind(address: SocketAddr, tls: &TlsConfigs) -> std::io::Result<Endpoint> {
        let invalid = |error| std::io::Error::new(std::io::ErrorKind::InvalidInput, error);
        let server = QuicServerConfig::try_from(tls.server.clone()).map_err(invalid)?;
        let client = QuicClientConfig::try_from(tls.client.clone()).map_err(invalid)?;
        let transport = Arc::new(transport());
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport);
        let mut endpoint = quinn::Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        Ok(Endpoint { endpoint, identity: tls.identity.clone() })
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Returns who this process is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Serves requests until the endpoint is closed.
    pub async fn serve(&self, handler: impl Handler) {
        server::serve(&self.endpoint, Arc::new(handler)).await;
    }

    /// Returns a link to the process of `role` at `address`; it connects when
    /// it is first used and again after each loss.
    pub fn link(&self, address: SocketAddr, role: Role) -> Link {
        Link::new(self.endpoint.clone(), address, role)
    }

    /// Closes all connections at once.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_REQUESTS.into());
    transport.stream_receive_window(WINDOW_BYTES.into());
    transport.initial_rtt(INITIAL_ROUND_TRIP);
    transport
}
