//! Connections to upstreams, behind a trait.

use std::net::SocketAddr;

use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use tokio::net::TcpStream;

use crate::socket;

/// Opens connections to upstreams; tests replace it to cut a gateway off.
pub trait Dialer: std::fmt::Debug {
    /// Connects to an upstream. The caller limits the time.
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>>;
}

/// Network of the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDialer;

impl Dialer for SystemDialer {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>> {
        socket::connect(address).boxed_local()
    }
}
