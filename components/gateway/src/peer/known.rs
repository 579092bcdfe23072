//! Gateways that take requests of this one, as a control process names them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use schema::{FindGatewaysRequest, GatewayPeer, Request, reply, request};
use smallvec::SmallVec;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::{Endpoint, Link};

use crate::shared::Shared;

/// Time for which the list is used, and an empty one.
const LIST_TTL: Duration = Duration::from_millis(1_000);
const EMPTY_LIST_TTL: Duration = Duration::from_millis(100);
/// Timeout of the request for the list.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);
/// Requests for the list that a caller waits for.
const MAX_FETCHES: usize = 2;
/// Time for which a gateway that took no request is avoided.
const BACKOFF: Duration = Duration::from_millis(500);

/// Another gateway.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) vm: CompactString,
    pub(crate) link: Link,
    /// Requests of this gateway that it serves.
    outstanding: Cell<u32>,
    avoid_until: Cell<Option<Instant>>,
}

impl Peer {
    /// Avoids this gateway for [`BACKOFF`].
    pub(crate) fn back_off(&self) {
        self.avoid_until.set(Some(Instant::now() + BACKOFF));
    }

    fn is_avoided(&self) -> bool {
        self.avoid_until.get().is_some_and(|until| Instant::now() < until)
    }
}

/// Request that another gateway serves; counted until dropped.
#[derive(Debug)]
pub(crate) struct PeerUse(Rc<Peer>);

impl PeerUse {
    pub(crate) fn new(peer: &Rc<Peer>) -> Self {
        peer.outstanding.set(peer.outstanding.get() + 1);
        PeerUse(peer.clone())
    }

    pub(crate) fn vm(&self) -> &CompactString {
        &self.0.vm
    }
}

impl Drop for PeerUse {
    fn drop(&mut self) {
        self.0.outstanding.set(self.0.outstanding.get() - 1);
    }
}

/// Gateways that a request is not handed to again.
pub(crate) type Asked = SmallVec<[CompactString; 4]>;

/// Other gateways.
#[derive(Debug)]
pub(crate) struct Peers {
    endpoint: Endpoint,
    list: Rc<RefCell<PeerList>>,
    /// Closed once the last request for the list has ended.
    in_flight: RefCell<watch::Receiver<()>>,
}

#[derive(Debug, Default)]
struct PeerList {
    peers: Vec<Rc<Peer>>,
    /// When the last request for the list ended with a reply, or began if it failed.
    fetched: Option<Instant>,
}

impl Peers {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        let (_, in_flight) = watch::channel(());
        Peers { endpoint, list: Rc::default(), in_flight: RefCell::new(in_flight) }
    }

    /// Chooses the less used of two gateways drawn at random.
    pub(crate) async fn choose(&self, shared: &Shared, asked: &Asked) -> Option<Rc<Peer>> {
        self.refresh(shared).await;
        let list = self.list.borrow();
        let mut usable: Vec<&Rc<Peer>> =
            list.peers.iter().filter(|peer| !asked.contains(&peer.vm)).collect();
        // If all of them are avoided, that is ignored.
        if usable.iter().any(|peer| !peer.is_avoided()) {
            usable.retain(|peer| !peer.is_avoided());
        }
        let drawn = usable.sample(&mut rand::rng(), 2);
        drawn.min_by_key(|peer| peer.outstanding.get()).map(|peer| Rc::clone(peer))
    }

    /// Forgets the list; links close once nothing is served over them.
    pub(crate) fn forget(&self) {
        *self.list.borrow_mut() = PeerList::default();
    }

    async fn refresh(&self, shared: &Shared) {
        for _ in 0..MAX_FETCHES {
            if self.list.borrow().is_fresh() {
                return;
            }
            if self.in_flight.borrow().has_changed().is_err() {
                self.start_fetch(shared);
            }
            let mut in_flight = self.in_flight.borrow().clone();
            while in_flight.changed().await.is_ok() {}
        }
    }

    /// Requests the list in a task of its own, as the request of a caller that leaves is dropped
    /// while others wait for the reply.
    fn start_fetch(&self, shared: &Shared) {
        let link = shared.control_links.borrow().values().choose(&mut rand::rng()).cloned();
        let find = FindGatewaysRequest {
            vm: shared.config.vm.to_string(),
            data_centre: shared.config.data_centre.to_string(),
        };
        let (list, endpoint) = (self.list.clone(), self.endpoint.clone());
        let (end, in_flight) = watch::channel(());
        *self.in_flight.borrow_mut() = in_flight;
        actix_rt::spawn(async move {
            let _end = end;
            let started = Instant::now();
            let found = match link {
                Some(link) => fetch_list(link, find).await,
                None => {
                    log::info!("no control process to ask for other gateways");
                    None
                }
            };
            let mut list = list.borrow_mut();
            list.fetched = Some(match found {
                Some(found) => {
                    list.replace(&found, &endpoint);
                    Instant::now()
                }
                None => started,
            });
        });
    }
}

async fn fetch_list(link: Link, find: FindGatewaysRequest) -> Option<Vec<GatewayPeer>> {
    let body = Some(request::Body::FindGateways(find));
    match link.call(Request { traceparent: String::new(), body }, FIND_TIMEOUT).await {
        Ok(reply::Body::FindGateways(found)) => return Some(found.gateways),
        Ok(_) => log::warn!("another reply than a list of gateways"),
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "cannot get the list of gateways");
        }
    }
    None
}

impl PeerList {
    fn is_fresh(&self) -> bool {
        let ttl = if self.peers.is_empty() { EMPTY_LIST_TTL } else { LIST_TTL };
        self.fetched.is_some_and(|at| at.elapsed() < ttl)
    }

    /// Replaces the list, and keeps the links to gateways that stay on it.
    fn replace(&mut self, found: &[GatewayPeer], endpoint: &Endpoint) {
        let peers = found.iter().filter_map(|found| {
            let address: SocketAddr = found.peer_address.parse().ok()?;
            let kept = self
                .peers
                .iter()
                .find(|peer| peer.vm == found.vm.as_str() && peer.link.address() == address);
            Some(kept.cloned().unwrap_or_else(|| {
                Rc::new(Peer {
                    vm: found.vm.as_str().into(),
                    link: endpoint.link(address, credentials::Role::Entry),
                    outstanding: Cell::new(0),
                    avoid_until: Cell::new(None),
                })
            }))
        });
        self.peers = peers.collect();
    }
}
