//! Exchanges with the control processes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Use;
use routing::RouteTable;
use schema::{EntryPhase, Request, RouteSet, SyncReply, SyncRequest, reply, request};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use wire::{CallError, Endpoint, Link};

use crate::shared::Shared;

/// Longest time for which the control process that gathers the use of upstreams
/// holds its reply back: how old the use by other gateways may be.
const USE_WAIT_MS: u32 = 80;
/// The same for the others, which only tell changes.
const WAIT_MS: u32 = 500;
/// Longest wait for a reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after an exchange that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Shortest interval between two exchanges with one control process.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Keeps one exchange open with each control process.
#[derive(Debug)]
pub(crate) struct ControlLinks {
    shared: Rc<Shared>,
    endpoint: Endpoint,
    tasks: RefCell<BTreeMap<SocketAddr, JoinHandle<()>>>,
    connected: RefCell<BTreeMap<SocketAddr, Link>>,
}

impl ControlLinks {
    /// Starts exchanges with the seeds; others are learned from them.
    pub(crate) fn start(shared: Rc<Shared>, endpoint: Endpoint) -> Rc<Self> {
        let links = Rc::new(ControlLinks {
            shared,
            endpoint,
            tasks: RefCell::default(),
            connected: RefCell::default(),
        });
        let seeds = links.shared.config.seeds.iter().copied().collect();
        links.follow(&seeds);
        links
    }

    /// Starts exchanges with processes that are new.
    pub(crate) fn follow(self: &Rc<Self>, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            let mut tasks = self.tasks.borrow_mut();
            tasks.entry(*address).or_insert_with(|| {
                log::info!(control = address.to_string().as_str(); "control process known");
                actix_rt::spawn(run(self.clone(), *address))
            });
        }
    }

    /// Returns whether the process at `address` gathers the use of upstreams:
    /// all gateways take the lowest address that they reach.
    fn gathers_use(&self, address: SocketAddr) -> bool {
        self.connected.borrow().first_key_value().is_some_and(|(first, _)| *first == address)
    }

    fn set_connected(&self, address: SocketAddr, link: Option<Link>) {
        let mut connected = self.connected.borrow_mut();
        match link {
            Some(link) => connected.insert(address, link),
            None => connected.remove(&address),
        };
        *self.shared.arbiter.borrow_mut() = connected.values().next().cloned();
    }

    /// Ends exchanges with processes that left the group.
    fn retire(&self, members: &BTreeSet<SocketAddr>) {
        let seeds = &self.shared.config.seeds;
        self.tasks.borrow_mut().retain(|address, task| {
            let keep = members.contains(address) || seeds.contains(address);
            if !keep {
                log::info!(control = address.to_string().as_str(); "control process left");
                self.shared.fleet.borrow_mut().forget_source(*address);
                self.set_connected(*address, None);
                task.abort();
            }
            keep
        });
    }
}

/// What this gateway last took over from one control process.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    registry_epoch: u64,
    registry_version: u64,
}

async fn run(links: Rc<ControlLinks>, address: SocketAddr) {
    let shared = links.shared.clone();
    let link = links.endpoint.link(address, credentials::Role::Control);
    let mut phase = shared.phase.subscribe();
    let mut known = Known::default();
    let mut connected = false;
    loop {
        let started = Instant::now();
        let body = request::Body::Sync(sync_request(&shared, known, links.gathers_use(address)));
        let request = Request { traceparent: String::new(), body: Some(body) };
        // A change of phase is told at once, in an exchange of its own.
        let replied = tokio::select! {
            replied = link.call(request, CALL_TIMEOUT) => Some(replied),
            _ = phase.changed() => None,
        };
        match replied {
            Some(Ok(reply::Body::Sync(reply))) => {
                if !connected {
                    log::info!(control = address.to_string().as_str(); "control process connected");
                    connected = true;
                    links.set_connected(address, Some(link.clone()));
                }
                known = take_over(&links, address, known, reply);
                sleep_until(started + MIN_INTERVAL).await;
            }
            Some(failed) => {
                if connected {
                    let error = failed.err().unwrap_or(CallError::UnexpectedReply).to_string();
                    log::warn!(control = address.to_string().as_str(), error = error.as_str(); "control process lost");
                    connected = false;
                    links.set_connected(address, None);
                    shared.fleet.borrow_mut().forget_source(address);
                    known = Known::default();
                }
                sleep(RETRY_DELAY).await;
            }
            None => {}
        }
    }
}

fn sync_request(shared: &Shared, known: Known, gathers_use: bool) -> SyncRequest {
    let loads = shared.loads.borrow();
    let used = loads.own().filter(|_| gathers_use).map(|(id, load)| load.to_message(id));
    let config = &shared.config;
    SyncRequest {
        vm: config.vm.to_string(),
        epoch: shared.epoch,
        data_centre: config.data_centre.to_string(),
        caller_address: config.caller_address.to_string(),
        phase: (*shared.phase.borrow()).into(),
        set_number: shared.table.borrow().number(),
        registry_epoch: known.registry_epoch,
        registry_version: known.registry_version,
        r#use: used.collect(),
        wait_ms: if gathers_use { USE_WAIT_MS } else { WAIT_MS },
        wants_use: gathers_use,
        placed_through: shared.placed_through(),
    }
}

fn take_over(
    links: &Rc<ControlLinks>,
    address: SocketAddr,
    known: Known,
    reply: SyncReply,
) -> Known {
    let shared = &links.shared;
    let whole = reply.registry_epoch != known.registry_epoch;
    let now_ms = shared.now_ms();
    let changes = shared.fleet.borrow_mut().apply(address, whole, reply.upstreams, now_ms);
    shared.apply_changes(&changes);
    if let Some(set) = reply.set {
        take_set(shared, set, address);
    }
    if links.gathers_use(address) {
        let others = reply.r#use.iter();
        let others = others.map(|used| (used.id.as_str().into(), Use::from_message(used)));
        shared.loads.borrow_mut().set_others(others);
    }
    shared.entries.set(reply.entries.max(1));
    let members = reply.control_addresses.iter().filter_map(|text| text.parse().ok());
    let members: BTreeSet<SocketAddr> = members.collect();
    if !members.is_empty() {
        links.follow(&members);
        links.retire(&members);
    }
    Known { registry_epoch: reply.registry_epoch, registry_version: reply.registry_version }
}

/// Puts a set of routes in force if it is newer than the one that is.
fn take_set(shared: &Shared, set: RouteSet, address: SocketAddr) {
    let number = set.number;
    if number <= shared.table.borrow().number() {
        return;
    }
    log::info!(number, routes = set.routes.len(), control = address.to_string().as_str(); "set of routes in force");
    *shared.table.borrow_mut() = Rc::new(RouteTable::new(set));
    shared.metrics.set_number.set(i64::try_from(number).unwrap_or(i64::MAX));
    shared.phase.send_if_modified(|phase| {
        let starting = *phase == EntryPhase::Starting;
        if starting {
            *phase = EntryPhase::Ready;
        }
        starting
    });
}
