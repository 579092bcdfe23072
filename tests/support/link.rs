//! UDP relay in front of a process, which can be cut.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

const DATAGRAM_BYTES: usize = 65_536;

/// What a link does not pass on.
#[derive(Debug, Default)]
struct Cuts {
    inbound: bool,
    outbound: bool,
    sources: BTreeSet<SocketAddr>,
}

/// UDP relay in front of one process.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    cuts: Arc<Mutex<Cuts>>,
}

impl Link {
    /// Relays between `address` and the process at `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Link {
        let cuts: Arc<Mutex<Cuts>> = Arc::default();
        let socket = Arc::new(UdpSocket::bind(address).await.expect("a free address"));
        actix_rt::spawn(relay(socket, target, cuts.clone()));
        Link { address, cuts }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts, or heals, what others send to the process and its replies.
    pub fn cut(&self, cut: bool) {
        let mut cuts = self.cuts.lock().expect("no panic holds the lock");
        cuts.inbound = cut;
        cuts.outbound = cut;
    }

    /// Cuts, or heals, only what others send to the process.
    pub fn cut_inbound(&self, cut: bool) {
        self.cuts.lock().expect("no panic holds the lock").inbound = cut;
    }

    /// Cuts, or heals, the path from another process to this one.
    pub fn cut_from(&self, source: SocketAddr, cut: bool) {
        let mut cuts = self.cuts.lock().expect("no panic holds the lock");
        if cut {
            cuts.sources.insert(source);
        } else {
            cuts.sources.remove(&source);
        }
    }
}

async fn relay(socket: Arc<UdpSocket>, target: SocketAddr, cuts: Arc<Mutex<Cuts>>) {
    let mut upstreams: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let is_cut = {
            let cuts = cuts.lock().expect("no panic holds the lock");
            cuts.inbound || cuts.sources.contains(&source)
        };
        if is_cut {
            continue;
        }
        let upstream = match upstreams.entry(source) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(open(&socket, target, source, &cuts).await),
        };
        let _ = upstream.send(&buffer[..length]).await;
    }
}

/// Opens the socket that stands for one source towards the process.
async fn open(
    socket: &Arc<UdpSocket>,
    target: SocketAddr,
    source: SocketAddr,
    cuts: &Arc<Mutex<Cuts>>,
) -> Arc<UdpSocket> {
    let any = SocketAddr::new(socket.local_addr().expect("a bound socket").ip(), 0);
    let upstream = Arc::new(UdpSocket::bind(any).await.expect("a free port"));
    upstream.connect(target).await.expect("a loopback address");
    actix_rt::spawn(back(upstream.clone(), socket.clone(), source, cuts.clone()));
    upstream
}

async fn back(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    source: SocketAddr,
    cuts: Arc<Mutex<Cuts>>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        // A refused datagram shows up as an error of the socket.
        let Ok(length) = upstream.recv(&mut buffer).await else { continue };
        let is_cut = {
            let cuts = cuts.lock().expect("no panic holds the lock");
            cuts.outbound || cuts.sources.contains(&source)
        };
        if !is_cut {
            let _ = socket.send_to(&buffer[..length], source).await;
        }
    }
}
