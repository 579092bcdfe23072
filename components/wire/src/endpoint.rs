//! QUIC endpoint of a process, shared by all of its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use credentials::{Identity, Role, TlsConfigs};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig, VarInt};

use crate::link::Link;
use crate::server::{self, Handler};

/// Time without a packet after which a connection counts as lost. A restarted
/// peer does not respond on connections opened before its restart, so this limits
/// how long it stays unreachable on them.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Round-trip time assumed until one is measured. With quinn's default, a first
/// packet that is lost because the peer is still starting costs a second.
const INITIAL_RTT: Duration = Duration::from_millis(30);
/// Maximum concurrent requests that a peer may send on one connection, which
/// allocates memory for all of them when it is opened.
const MAX_CONCURRENT_REQUESTS: u32 = 512;
const STREAM_RECEIVE_WINDOW_BYTES: u32 = 512 << 10;

/// QUIC endpoint of a process, shared by all of its connections.
#[derive(Clone, Debug)]
pub struct Endpoint {
    endpoint: quinn::Endpoint,
    identity: Identity,
}

impl Endpoint {
    /// Binds a UDP address; must be called within a Tokio runtime.
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

    /// Returns the identity in the certificate of this process.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Serves requests until the endpoint is closed.
    pub async fn serve(&self, handler: impl Handler) {
        server::serve(&self.endpoint, Arc::new(handler)).await;
    }

    /// Returns a link to the process with `role` at `address`. It connects on
    /// first use, and again on the next use after a connection loss.
    pub fn link(&self, address: SocketAddr, role: Role) -> Link {
        Link::new(self.endpoint.clone(), address, role)
    }

    /// Closes all connections immediately.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_REQUESTS.into());
    transport.stream_receive_window(STREAM_RECEIVE_WINDOW_BYTES.into());
    transport.initial_rtt(INITIAL_RTT);
    transport
}
