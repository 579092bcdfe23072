//! UDP relay in front of a process, to simulate network partitions.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Datagrams that a relay drops.
#[derive(Debug, Default)]
struct DropRules {
    inbound: bool,
    outbound: bool,
    sources: BTreeSet<SocketAddr>,
}

/// UDP relay in front of one process. Its address is the advertised address of
/// the process.
#[derive(Clone, Debug)]
pub struct UdpRelay {
    address: SocketAddr,
    rules: Arc<Mutex<DropRules>>,
}

impl UdpRelay {
    /// Starts a relay from `address` to the process at `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> UdpRelay {
        let rules: Arc<Mutex<DropRules>> = Arc::default();
        let socket = Arc::new(UdpSocket::bind(address).await.expect("a free address"));
        actix_rt::spawn(relay_requests(socket, target, rules.clone()));
        UdpRelay { address, rules }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts or stops dropping datagrams to the process and its replies.
    pub fn set_blocked(&self, blocked: bool) {
        let mut rules = self.rules.lock().expect("not poisoned");
        rules.inbound = blocked;
        rules.outbound = blocked;
    }

    /// Starts or stops dropping datagrams to the process, but not its replies.
    pub fn set_inbound_blocked(&self, blocked: bool) {
        self.rules.lock().expect("not poisoned").inbound = blocked;
    }

    /// Starts or stops dropping datagrams from `source` and the replies to it.
    pub fn set_source_blocked(&self, source: SocketAddr, blocked: bool) {
        let mut rules = self.rules.lock().expect("not poisoned");
        if blocked {
            rules.sources.insert(source);
        } else {
            rules.sources.remove(&source);
        }
    }
}

async fn relay_requests(socket: Arc<UdpSocket>, target: SocketAddr, rules: Arc<Mutex<DropRules>>) {
    let mut forward_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let is_blocked = {
            let rules = rules.lock().expect("not poisoned");
            rules.inbound || rules.sources.contains(&source)
        };
        if is_blocked {
            continue;
        }
        let forward_socket = match forward_sockets.entry(source) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(open_socket(&socket, target, source, &rules).await),
        };
        let _ = forward_socket.send(&buffer[..length]).await;
    }
}

/// Opens the socket through which datagrams of one source reach the process, and
/// relays the replies to that source.
async fn open_socket(
    socket: &Arc<UdpSocket>,
    target: SocketAddr,
    source: SocketAddr,
    rules: &Arc<Mutex<DropRules>>,
) -> Arc<UdpSocket> {
    let any_port = SocketAddr::new(socket.local_addr().expect("a bound socket").ip(), 0);
    let forward_socket = Arc::new(UdpSocket::bind(any_port).await.expect("a free port"));
    forward_socket.connect(target).await.expect("a loopback address");
    actix_rt::spawn(relay_replies(forward_socket.clone(), socket.clone(), source, rules.clone()));
    forward_socket
}

async fn relay_replies(
    forward_socket: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    source: SocketAddr,
    rules: Arc<Mutex<DropRules>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // ICMP "port unreachable" is reported as a receive error while the process
        // is down.
        let Ok(length) = forward_socket.recv(&mut buffer).await else { continue };
        let is_blocked = {
            let rules = rules.lock().expect("not poisoned");
            rules.outbound || rules.sources.contains(&source)
        };
        if !is_blocked {
            let _ = socket.send_to(&buffer[..length], source).await;
        }
    }
}
