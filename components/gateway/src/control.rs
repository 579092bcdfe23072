//! State synchronisation with the control processes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::UpstreamLoad;
use schema::{Request, SyncReply, SyncRequest, UpstreamLimit, reply, request};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use wire::{CallError, Endpoint, Link};

use crate::cold;
use crate::evacuations;
use crate::health;
use crate::origins;
use crate::quarantine;
use crate::shared::Shared;
use crate::state::{AnsweredFeatures, MemberLists, RegistryPosition};
use crate::vm_load;

/// Longest time for which the control process that aggregates upstream load
/// holds a sync reply back (long poll); limits the age of other gateways' load.
const LOAD_SYNC_WAIT_MS: u32 = 80;
/// The same for the other control processes, which only report changes.
const SYNC_WAIT_MS: u32 = 500;
/// Timeout of a sync request, including the time for which its reply is held
/// back.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before the next sync request after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Most upstreams in one sync request that ended as another control process was told.
const MAX_ENDED_REPORTS: usize = 256;
/// Minimum interval between two sync requests to one control process.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(15);

/// Keeps one sync request in flight to each control process.
#[derive(Debug)]
pub(crate) struct ControlLinks {
    shared: Rc<Shared>,
    endpoint: Endpoint,
    tasks: RefCell<BTreeMap<SocketAddr, JoinHandle<()>>>,
    member_lists: RefCell<MemberLists>,
}

impl ControlLinks {
    /// Starts syncing with the seeds; other control processes are discovered
    /// from their replies.
    pub(crate) fn start(shared: Rc<Shared>, endpoint: Endpoint) -> Rc<Self> {
        let links = Rc::new(ControlLinks {
            shared,
            endpoint,
            tasks: RefCell::default(),
            member_lists: RefCell::default(),
        });
        let seeds = links.shared.config.seeds.iter().copied().collect();
        links.add(&seeds);
        links
    }

    /// Starts syncing with the control processes at those addresses that are not
    /// known yet.
    pub(crate) fn add(self: &Rc<Self>, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            let mut tasks = self.tasks.borrow_mut();
            tasks.entry(*address).or_insert_with(|| {
                log::info!(control = address.to_string().as_str(); "control process discovered");
                actix_rt::spawn(sync_loop(self.clone(), *address))
            });
        }
        self.shared.control_count.set(self.tasks.borrow().len());
    }

    /// Returns whether the process at `address` aggregates upstream load: all
    /// gateways use the lowest address that they are connected to. The same
    /// process is the arbiter.
    fn aggregates_load(&self, address: SocketAddr) -> bool {
        self.shared.arbiter_address() == Some(address)
    }

    fn set_connected(&self, address: SocketAddr, link: Option<Link>) {
        let before = self.shared.arbiter_address();
        let mut connected = self.shared.control_links.borrow_mut();
        match link {
            Some(link) => connected.insert(address, link),
            None => connected.remove(&address),
        };
        *self.shared.arbiter.borrow_mut() = connected.values().next().cloned();
        drop(connected);
        if self.shared.arbiter_address() != before {
            self.shared.request_urgent_sync();
        }
    }

    /// Forgets what a control process reported that is no longer connected.
    fn forget(&self, address: SocketAddr) {
        self.set_connected(address, None);
        self.member_lists.borrow_mut().remove(address);
        self.shared.registry.borrow_mut().remove_source(address);
        self.shared.applied_registries.borrow_mut().remove(address);
        self.shared.gateway_counts.borrow_mut().remove(address);
        self.shared.route_offers.send_modify(|offers| offers.remove(address));
    }

    /// Stops syncing with processes that are no longer members of the control
    /// group, except for seeds.
    fn remove_non_members(&self, members: &BTreeSet<SocketAddr>) {
        let seeds = &self.shared.config.seeds;
        self.tasks.borrow_mut().retain(|address, task| {
            let keep = members.contains(address) || seeds.contains(address);
            if !keep {
                log::info!(control = address.to_string().as_str(); "control process left the group");
                self.forget(*address);
                self.shared.quarantine.borrow_mut().remove_source(*address);
                task.abort();
            }
            keep
        });
        self.shared.control_count.set(self.tasks.borrow().len());
    }
}

/// What a sync request reports and has to be sent again if no reply comes.
#[derive(Debug, Default)]
struct SyncReports {
    sent_ms: u64,
    /// Number of the last stream that is reported to have begun.
    last_stream: u64,
    answered: AnsweredFeatures,
    limits: Vec<UpstreamLimit>,
    /// Number of the last finding about upstreams that is reported, to the arbiter only.
    last_finding: Option<u64>,
}

impl SyncReports {
    /// Records that the control process has received the reports.
    fn confirm(&self, shared: &Shared, address: SocketAddr) {
        let mut limits = shared.limits.borrow_mut();
        limits.confirm_reports(address, &self.limits, self.sent_ms);
        if let Some(number) = self.last_finding {
            shared.health.borrow_mut().confirm(address, number);
        }
    }

    fn of(request: &SyncRequest) -> Self {
        SyncReports {
            answered: AnsweredFeatures {
                parts: request.answered_parts.clone(),
                requests: request.answered_requests.clone(),
            },
            limits: request.limits.clone(),
            ..SyncReports::default()
        }
    }
}

async fn sync_loop(links: Rc<ControlLinks>, address: SocketAddr) {
    let shared = links.shared.clone();
    let link = links.endpoint.link(address, credentials::Role::Control);
    let mut phase = shared.phase.subscribe();
    let mut urgent = shared.urgent_syncs.subscribe();
    let mut departures = shared.departures.subscribe();
    let mut cut_off = shared.cut_off.subscribe();
    // Number of the last stream that the process knows to have begun here.
    let mut last_stream = 0;
    let mut connected = false;
    loop {
        let started = Instant::now();
        // The request names all that was urgent before.
        urgent.borrow_and_update();
        let (sync, last_finding) = sync_request(&links, address, last_stream);
        let reports = SyncReports {
            sent_ms: shared.now_ms(),
            last_stream: shared.origins.borrow().last_number(),
            last_finding,
            ..SyncReports::of(&sync)
        };
        let body = Some(request::Body::Sync(sync));
        let request = Request { traceparent: String::new(), body };
        // A phase change cancels the pending request, so that the next one
        // reports it immediately; so does what the arbiter has to know at once, and an upstream
        // that ended as only another process was told.
        let call = link.call(request, SYNC_TIMEOUT);
        tokio::pin!(call);
        let replied = loop {
            tokio::select! {
                replied = &mut call => break Some(replied),
                _ = phase.changed() => break None,
                _ = cut_off.changed() => break None,
                _ = urgent.changed() => {
                    if links.aggregates_load(address) {
                        break None;
                    }
                }
                _ = departures.changed() => {
                    if !shared.registry.borrow().ended_elsewhere(address, 1).is_empty() {
                        break None;
                    }
                }
            }
        };
        match replied {
            Some(Ok(reply::Body::Sync(reply))) => {
                if !connected {
                    log::info!(control = address.to_string().as_str(); "control process connected");
                    connected = true;
                    links.set_connected(address, Some(link.clone()));
                }
                reports.confirm(&shared, address);
                // A process that has started again knows only what this request named.
                let has_started_again = apply_reply(&links, address, reply, reports.sent_ms);
                let knows_earlier = last_stream == 0 || !has_started_again;
                last_stream = if knows_earlier { reports.last_stream } else { 0 };
                sleep_until(started + MIN_SYNC_INTERVAL).await;
            }
            Some(failed) => {
                if connected {
                    let error = failed.err().unwrap_or(CallError::UnexpectedReply).to_string();
                    log::warn!(control = address.to_string().as_str(), error = error.as_str(); "control process disconnected");
                    connected = false;
                    links.forget(address);
                    shared.quarantine.borrow_mut().disconnect(address);
                    last_stream = 0;
                }
                shared.quarantine.borrow_mut().restore_answered(&reports.answered);
                sleep(RETRY_DELAY).await;
            }
            None => {
                shared.quarantine.borrow_mut().restore_answered(&reports.answered);
                sleep_until(started + MIN_SYNC_INTERVAL).await;
            }
        }
    }
}

/// Returns a request, and the number of the last finding about upstreams that it reports.
fn sync_request(
    links: &ControlLinks,
    address: SocketAddr,
    last_stream: u64,
) -> (SyncRequest, Option<u64>) {
    let shared = &links.shared;
    let applied = shared.applied_registries.borrow().position(address);
    let aggregates_load = links.aggregates_load(address);
    let mut quarantine = shared.quarantine.borrow_mut();
    let limits = shared.limits.borrow();
    let now_ms = shared.now_ms();
    let loads = shared.loads.borrow();
    let own = if aggregates_load {
        let mut speeds = shared.speed_log.borrow_mut();
        loads.report(speeds.take_reports(address, applied.epoch, now_ms))
    } else {
        Vec::new()
    };
    let answered =
        if aggregates_load { quarantine.take_answered() } else { AnsweredFeatures::default() };
    let findings = aggregates_load.then(|| health::due_reports(shared, address));
    let last_finding = findings.as_ref().map(|findings| findings.through);
    let config = &shared.config;
    let request = SyncRequest {
        vm: config.vm.to_string(),
        epoch: shared.epoch,
        data_centre: config.data_centre.to_string(),
        caller_address: config.caller_address.to_string(),
        phase: (*shared.phase.borrow()).into(),
        set_number: shared.route_offers.borrow().number(address),
        registry_epoch: applied.epoch,
        registry_version: applied.version,
        r#use: own,
        wait_ms: if aggregates_load { LOAD_SYNC_WAIT_MS } else { SYNC_WAIT_MS },
        wants_use: aggregates_load,
        skip_engine_use: shared.may_skip_engine_loads(),
        placed_through: shared.placed_through(),
        answered_parts: answered.parts,
        answered_requests: answered.requests,
        quarantine_digest: quarantine.digest(address),
        limits: if aggregates_load { limits.due_reports(address, now_ms) } else { Vec::new() },
        limits_digest: limits.digest(),
        leaving: shared.leaving.borrow().reports(),
        ended: shared.registry.borrow().ended_elsewhere(address, MAX_ENDED_REPORTS),
        begun: origins::reports_since(shared, last_stream),
        peer_address: config.peer_address.to_string(),
        cut_off: shared.is_cut_off(),
        evacuations_version: shared.evacuations.borrow().version(),
        evidence: findings.map(|findings| findings.reports).unwrap_or_default(),
        region: config.region.as_ref().map(ToString::to_string).unwrap_or_default(),
        load: config.measure_load.then(|| vm_load::report(shared)),
    };
    (request, last_finding)
}

/// Applies the reply to a request that was sent at `sent_ms`; returns whether the control process
/// has started since the last one.
fn apply_reply(
    links: &Rc<ControlLinks>,
    address: SocketAddr,
    reply: SyncReply,
    sent_ms: u64,
) -> bool {
    let shared = &links.shared;
    let applied = RegistryPosition { epoch: reply.registry_epoch, version: reply.registry_version };
    let before = shared.applied_registries.borrow_mut().record(address, applied);
    let has_started_again = applied.epoch != before.epoch;
    let now_ms = shared.now_ms();
    // The reply may have been delayed, or this process frozen since.
    let made_ms = now_ms.min(sent_ms + u64::from(reply.held_ms));
    let changes =
        shared.registry.borrow_mut().apply(address, has_started_again, reply.upstreams, made_ms);
    shared.apply_changes(&changes);
    evacuations::apply(shared, address, reply.evacuations_version, &reply.evacuated_data_centres);
    cold::refresh(shared);
    quarantine::apply(shared, address, reply.quarantine_digest, &reply.quarantine);
    shared.route_offers.send_if_modified(|offers| {
        offers.record(address, reply.set_number, &reply.data_centre, now_ms)
    });
    if links.aggregates_load(address) {
        let mut limits = shared.limits.borrow_mut();
        limits.apply((reply.limits_digest, &reply.limits), reply.entry_index, now_ms);
        let others = reply.r#use.iter();
        let others = others.map(|load| (load.id.as_str().into(), UpstreamLoad::from_message(load)));
        shared.apply_load_of_others(others, reply.engine_use_skipped);
        health::apply_ejections(shared, address, &reply.ejections);
    }
    shared.gateway_counts.borrow_mut().record(address, reply.entries);
    let members = reply.control_addresses.iter().filter_map(|text| text.parse().ok());
    let members: BTreeSet<SocketAddr> = members.collect();
    let is_newest = links.member_lists.borrow_mut().record(address, reply.configuration_index);
    if is_newest && !members.is_empty() {
        links.add(&members);
        links.remove_non_members(&members);
    }
    has_started_again
}
