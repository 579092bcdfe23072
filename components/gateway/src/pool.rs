//! Pool of idle connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::header::{CONNECTION, HeaderName};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Buffer of a connection, and so the largest head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Idle time after which a connection is not reused, unless the upstream sends
/// another `Keep-Alive` timeout; shorter than the idle timeouts of common
/// servers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the upstream's own idle timeout from which a connection is not
/// reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Connection to an upstream; closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_timeout: Duration,
    reusable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Waits up to `limit` for a connection and starts HTTP/1 on it.
    pub(crate) async fn open(
        connecting: impl Future<Output = std::io::Result<TcpStream>>,
        limit: Duration,
    ) -> std::io::Result<Self> {
        let connecting = timeout(limit, connecting);
        let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            // Errors are reported to the request that uses the connection.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver, idle_timeout: DEFAULT_IDLE_TIMEOUT, reusable: true })
    }

    /// Applies the `Connection` and `Keep-Alive` headers of a response.
    pub(crate) fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
        let mut tokens = values.flat_map(|value| value.split(','));
        if tokens.any(|token| token.trim().eq_ignore_ascii_case("close")) {
            self.reusable = false;
        }
        let keep_alive = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
        if let Some(timeout_s) = keep_alive.and_then(keep_alive_timeout_s) {
            self.idle_timeout = Duration::from_secs(timeout_s).saturating_sub(KEEP_ALIVE_MARGIN);
        }
    }
}

/// Parses the `timeout` parameter of a `Keep-Alive` header.
fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<CompactString, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes the most recently used connection that has not expired and received
    /// no data since its last response.
    pub(crate) fn take(&self, upstream: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(upstream)?;
        while let Some(IdleConnection { connection, since }) = connections.pop() {
            if connection.sender.is_ready() && since.elapsed() < connection.idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely,
    /// unless `max_idle` connections to the upstream are idle already.
    pub(crate) fn put(&self, upstream: &str, connection: Connection, max_idle: u32) {
        if connection.reusable && !connection.sender.is_closed() {
            let mut idle = self.idle.borrow_mut();
            let connections = idle.entry(upstream.into()).or_default();
            if connections.len() < max_idle as usize {
                connections.push(IdleConnection { connection, since: Instant::now() });
            }
        }
    }

    /// Closes all idle connections to an upstream.
    pub(crate) fn close_all(&self, upstream: &str) {
        self.idle.borrow_mut().remove(upstream);
    }

    /// Closes connections that have reached their idle timeout.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.since.elapsed() < idle.connection.idle_timeout);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
