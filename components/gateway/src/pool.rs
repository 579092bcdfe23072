//! Kept connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
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

/// Idle time after which a connection is not used again, unless the upstream
/// says less: shorter than the idle timeouts of common servers.
const IDLE_LIFE: Duration = Duration::from_secs(10);
/// Time by which a connection is given up before the upstream would close it.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Connection to an upstream; it is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_life: Duration,
    reusable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let connecting = timeout(limit, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            // The exchange that uses the connection reports its error.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver, idle_life: IDLE_LIFE, reusable: true })
    }

    /// Takes over what an answer says about keeping the connection.
    pub(crate) fn note_answer(&mut self, headers: &HeaderMap) {
        let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
        let mut tokens = values.flat_map(|value| value.split(','));
        if tokens.any(|token| token.trim().eq_ignore_ascii_case("close")) {
            self.reusable = false;
        }
        let stated = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
        if let Some(timeout_s) = stated.and_then(keep_alive_timeout_s) {
            self.idle_life = Duration::from_secs(timeout_s).saturating_sub(CLOSE_MARGIN);
        }
    }
}

/// Reads the timeout from a `Keep-Alive` header.
fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Kept connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<CompactString, Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection on which nothing arrived since its last answer.
    pub(crate) fn take(&self, upstream: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(upstream)?;
        while let Some(Idle { connection, since }) = kept.pop() {
            if connection.sender.is_ready() && since.elapsed() < connection.idle_life {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end, unless `most` are
    /// kept already.
    pub(crate) fn keep(&self, upstream: &str, connection: Connection, most: u32) {
        if connection.reusable && !connection.sender.is_closed() {
            let mut idle = self.idle.borrow_mut();
            let kept = idle.entry(upstream.into()).or_default();
            if kept.len() < most as usize {
                kept.push(Idle { connection, since: Instant::now() });
            }
        }
    }

    /// Closes the connections to an upstream.
    pub(crate) fn forget(&self, upstream: &str) {
        self.idle.borrow_mut().remove(upstream);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|idle| idle.since.elapsed() < idle.connection.idle_life);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}
