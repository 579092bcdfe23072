//! Probe of the engine of a stalled stream, while the relay waits for its next event.

use std::fmt;
use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::Instant;

use super::{PROBE_AFTER, Relay};
use crate::health::record_unreachable;
use crate::pool::Connection;
use crate::shared::Shared;
use crate::timing::elapsed_ms;

/// Timeout for connecting to the engine of a stalled stream: a lost SYN packet
/// is retransmitted after 1 s.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Connection attempt to the engine of a stalled stream, if one is under way.
#[derive(Default)]
pub(super) struct Probe(Option<Pin<Box<dyn Future<Output = io::Result<Connection>>>>>);

impl fmt::Debug for Probe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Probe").field(&!self.is_idle()).finish()
    }
}

impl Probe {
    pub(super) fn is_idle(&self) -> bool {
        self.0.is_none()
    }

    /// Waits for the result of the attempt; forever if none is under way.
    pub(super) async fn connected(&mut self) -> io::Result<Connection> {
        let Some(connecting) = &mut self.0 else { return pending().await };
        let connected = connecting.await;
        self.0 = None;
        connected
    }
}

/// Connects to the engine of a stalled or interrupted stream.
pub(super) fn connect(
    shared: &Shared,
    address: SocketAddr,
) -> impl Future<Output = io::Result<Connection>> + use<> {
    Connection::open(shared.dialer.connect(address), PROBE_TIMEOUT)
}

impl Relay {
    /// Starts to probe the engine of a stalled stream that could go on without it. An event
    /// ends the probe.
    pub(super) fn start_probe(&mut self) {
        self.probe_at = Instant::now() + PROBE_AFTER;
        if self.is_recoverable()
            && let Some(source) = &mut self.source
        {
            let address = source.reservation.target.address;
            source.probe.0 = Some(Box::pin(connect(&self.shared, address)));
        }
    }

    /// Returns whether the engine of a stalled stream accepts connections, by the result of
    /// its probe.
    pub(super) fn is_reachable(&mut self, connected: io::Result<Connection>) -> bool {
        self.probe_at = Instant::now() + PROBE_AFTER;
        let Some(source) = &self.source else { return false };
        let target = &source.reservation.target;
        match connected {
            Ok(connection) => {
                self.shared.return_connection(target, connection);
                true
            }
            Err(error) => {
                let since_event_ms = elapsed_ms(self.progress.last_event_at);
                log::warn!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), since_event_ms, error = error.to_string().as_str(); "engine of a stalled stream is unreachable");
                record_unreachable(&self.shared, target);
                false
            }
        }
    }
}
