//! Fetches sets of routes from the control processes, in chunks, and puts them in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use distribution::{ChangeError, Received, RouteReceiver};
use routing::RouteTable;
use schema::{EntryPhase, FetchRoutesReply, FetchRoutesRequest, Request, RouteSet, reply, request};
use tokio::sync::watch;
use tokio::time::timeout;
use wire::CallError;

use crate::cold;
use crate::shared::Shared;
use crate::state::{NextFetch, RouteOffers};

/// Timeout of the request for one chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Why a chunk could not be fetched or applied.
#[derive(Debug, Display)]
enum FetchError {
    /// the control process is not connected
    NotConnected,
    /// the request failed: {0}
    Call(CallError),
    /// the control process has no newer set
    NothingNewer,
    /// the change is not usable: {0}
    Change(ChangeError),
}

/// Fetches each newer set that a control process reports.
pub(crate) async fn fetch_sets(shared: Rc<Shared>) {
    let mut offers = shared.route_offers.subscribe();
    let mut receiver = RouteReceiver::default();
    loop {
        let address = next_source(&shared, &mut offers).await;
        if let Some((id, received_bytes)) = receiver.progress() {
            log::info!(number = id.number, base = id.base_number, bytes = id.size_bytes, received_bytes, control = address.to_string().as_str(); "transfer of the set of routes resumed");
        }
        if let Err(error) = fetch_set(&shared, &mut receiver, address).await {
            log::warn!(control = address.to_string().as_str(), error = error.to_string().as_str(); "set of routes not fetched");
            let now_ms = shared.now_ms();
            shared.route_offers.send_modify(|offers| offers.suspend(address, now_ms));
        }
    }
}

/// Waits until a newer set is to be fetched; returns the control process to fetch it from.
async fn next_source(shared: &Shared, offers: &mut watch::Receiver<RouteOffers>) -> SocketAddr {
    let config = &shared.config;
    loop {
        let now_ms = shared.now_ms();
        let next = offers.borrow_and_update().next_fetch(
            config.vm.as_str(),
            config.data_centre.as_str(),
            now_ms,
        );
        match next {
            NextFetch::From(address) => return address,
            NextFetch::Nothing => {
                mark_ready(shared);
                // `changed` fails only once the gateway has ended.
                let _ = offers.changed().await;
            }
            NextFetch::WaitUntil(at_ms) => {
                let wait = Duration::from_millis(at_ms.saturating_sub(now_ms));
                let _ = timeout(wait, offers.changed()).await;
            }
        }
    }
}

/// Fetches a newer set and puts it in force.
async fn fetch_set(
    shared: &Shared,
    receiver: &mut RouteReceiver,
    address: SocketAddr,
) -> Result<(), FetchError> {
    loop {
        let reply = fetch_chunk(shared, receiver.next_request(), address).await?;
        let table = shared.table();
        match receiver.receive(reply, table.set()).map_err(FetchError::Change)? {
            Received::NothingNewer => return Err(FetchError::NothingNewer),
            Received::Chunk => {}
            Received::Set(set, id) => {
                log::info!(number = set.number, base = id.base_number, bytes = id.size_bytes; "set of routes fetched");
                activate_set(shared, set, address);
                return Ok(());
            }
        }
    }
}

async fn fetch_chunk(
    shared: &Shared,
    fetch: FetchRoutesRequest,
    address: SocketAddr,
) -> Result<FetchRoutesReply, FetchError> {
    let link = shared.control_links.borrow().get(&address).cloned();
    let link = link.ok_or(FetchError::NotConnected)?;
    let body = Some(request::Body::FetchRoutes(fetch));
    let request = Request { traceparent: String::new(), body };
    match link.call(request, CHUNK_TIMEOUT).await {
        Ok(reply::Body::FetchRoutes(reply)) => Ok(reply),
        Ok(_) => Err(FetchError::Call(CallError::UnexpectedReply)),
        Err(error) => Err(FetchError::Call(error)),
    }
}

fn timeouts_by_route(set: &RouteSet) -> HashMap<String, u64> {
    set.routes.iter().map(|route| (route.name.clone(), route.timeout_ms)).collect()
}

/// Puts a set of routes in force.
fn activate_set(shared: &Shared, set: RouteSet, address: SocketAddr) {
    let number = set.number;
    let replaced = shared.table().number();
    log::info!(number, replaced, routes = set.routes.len(), control = address.to_string().as_str(); "set of routes activated");
    let timeouts_ms = timeouts_by_route(&set);
    let previous_ms = timeouts_by_route(shared.table().set());
    let is_unchanged = |route: &str| timeouts_ms.get(route) == previous_ms.get(route);
    shared.route_histories.borrow_mut().retain_routes(is_unchanged);
    *shared.table.borrow_mut() = Rc::new(RouteTable::new(set));
    shared.metrics.set_number.set(i64::try_from(number).unwrap_or(i64::MAX));
    shared.route_offers.send_modify(|offers| offers.set_served(number));
    cold::refresh(shared);
}

/// Ends the start of a gateway that serves the newest set which its control processes report.
fn mark_ready(shared: &Shared) {
    let has_set = shared.table.borrow().number() > 0;
    shared.phase.send_if_modified(|phase| {
        let starting = *phase == EntryPhase::Starting && has_set;
        if starting {
            *phase = EntryPhase::Ready;
            shared.ready_ms.set(Some(shared.now_ms()));
        }
        starting
    });
}
