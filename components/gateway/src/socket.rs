//! Sockets of connections to upstreams, which end when the peer falls silent for good.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::{TcpSocket, TcpStream};

/// Time after which the kernel ends a connection whose peer acknowledges neither data nor
/// keep-alive probes. It also replaces the number of probes, so it has to be longer than a
/// sound upstream may be silent plus [`PROBE_IDLE`] and one [`PROBE_INTERVAL`].
const USER_TIMEOUT_MS: u32 = 3_500;
/// Time without a packet after which the kernel probes the peer; Linux counts whole seconds.
const PROBE_IDLE: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects to an upstream. The options are set before the handshake, so they bound it too.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(&socket, USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(&socket, true)?;
    sockopt::set_tcp_keepidle(&socket, PROBE_IDLE)?;
    sockopt::set_tcp_keepintvl(&socket, PROBE_INTERVAL)?;
    socket.connect(address).await
}

#[cfg(test)]
#[path = "../tests/unit/socket.rs"]
mod tests;
