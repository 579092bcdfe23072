//! Exchanges with gateways: upstreams, use of upstreams, the set of routes.
//!
//! A gateway keeps one exchange open with each control process. The reply is
//! held back until there is something to tell, so a change reaches all
//! gateways within a round trip, and the next exchange confirms it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use actix::ResponseFuture;
use balance::{Arbiter, Use};
use compact_str::CompactString;
use credentials::Identity;
use registry::Registry;
use schema::{EntryPhase, ErrorCode, Reply, SyncReply, SyncRequest, UpstreamUse, reply};
use tokio::sync::oneshot;
use wire::refuse;

use super::Replica;
use super::requests::ready;

/// Longest time for which a reply is held back.
const MAX_WAIT_MS: u32 = 2_000;
/// Time without an exchange after which a gateway counts as lost; several
/// times the interval of exchanges.
const ENTRY_LIFE_MS: u64 = 1_500;
/// Longest wait for gateways to confirm the end of an upstream; upstreams
/// turn to another control process after a second.
const CONFIRM_TIMEOUT_MS: u64 = 600;

/// What one gateway told in its last exchange.
#[derive(Debug)]
struct EntryView {
    epoch: u64,
    data_centre: CompactString,
    caller_address: SocketAddr,
    phase: EntryPhase,
    confirmed_version: u64,
    synced_ms: u64,
}

struct HeldReply {
    request: SyncRequest,
    deadline_ms: u64,
    result: oneshot::Sender<Reply>,
}

struct HeldConfirmation {
    version: u64,
    deadline_ms: u64,
    result: oneshot::Sender<bool>,
}

/// State of the exchanges; lost at a restart, and rebuilt by them.
pub(crate) struct Syncs {
    epoch: u64,
    pub(super) registry: Registry,
    entries: BTreeMap<CompactString, EntryView>,
    replies: Vec<HeldReply>,
    confirmations: Vec<HeldConfirmation>,
    pub(super) arbiter: Arbiter<oneshot::Sender<Reply>>,
    pub(super) next_decision_ms: u64,
}

impl Default for Syncs {
    fn default() -> Self {
        Syncs {
            epoch: rand::random_range(1..=u64::MAX >> 11),
            registry: Registry::default(),
            entries: BTreeMap::new(),
            replies: Vec::new(),
            confirmations: Vec::new(),
            arbiter: Arbiter::default(),
            next_decision_ms: 0,
        }
    }
}

impl Syncs {
    fn live_entries(&self, now_ms: u64) -> impl Iterator<Item = &EntryView> {
        let is_live = move |view: &&EntryView| now_ms < view.synced_ms + ENTRY_LIFE_MS;
        self.entries.values().filter(is_live)
    }

    /// Returns whether any gateway can learn of a change here.
    pub(super) fn reaches_entries(&self, now_ms: u64) -> bool {
        self.live_entries(now_ms).next().is_some()
    }

    /// Returns caller addresses of gateways that are ready, those of
    /// `data_centre` alone if there are at least `enough` of them.
    pub(super) fn caller_addresses(
        &self,
        data_centre: &str,
        enough: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let ready = || self.live_entries(now_ms).filter(|view| view.phase == EntryPhase::Ready);
        let near = ready().filter(|view| view.data_centre == data_centre);
        let near: Vec<SocketAddr> = near.map(|view| view.caller_address).collect();
        if near.len() >= enough {
            return near;
        }
        ready().map(|view| view.caller_address).collect()
    }

    /// Returns a receiver that yields true once every live gateway has taken
    /// over `version` or had the time to.
    pub(super) fn confirmation(&mut self, version: u64, now_ms: u64) -> oneshot::Receiver<bool> {
        let (result, receiver) = oneshot::channel();
        let deadline_ms = now_ms + CONFIRM_TIMEOUT_MS;
        self.confirmations.push(HeldConfirmation { version, deadline_ms, result });
        receiver
    }

    fn take_over(&mut self, request: &SyncRequest, address: SocketAddr, now_ms: u64) {
        let vm = CompactString::from(request.vm.as_str());
        let known = self.entries.get(&vm).is_some_and(|view| view.epoch == request.epoch);
        if !known {
            log::info!(vm = request.vm.as_str(), epoch = request.epoch, address = request.caller_address.as_str(); "gateway connected");
        }
        let confirmed_version =
            if request.registry_epoch == self.epoch { request.registry_version } else { 0 };
        let view = EntryView {
            epoch: request.epoch,
            data_centre: request.data_centre.as_str().into(),
            caller_address: address,
            phase: request.phase(),
            confirmed_version,
            synced_ms: now_ms,
        };
        let told = request.r#use.iter();
        let told = told.map(|used| (used.id.as_str().into(), Use::from_message(used)));
        if !known {
            self.arbiter.forget(&vm);
        }
        self.arbiter.tell(&vm, told.collect(), request.placed_through);
        self.entries.insert(vm, view);
    }

    fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|vm, view| {
            let live = now_ms < view.synced_ms + ENTRY_LIFE_MS;
            if !live {
                self.arbiter.forget(vm);
                log::warn!(vm = vm.as_str(), epoch = view.epoch, silent_ms = now_ms - view.synced_ms; "gateway lost");
            }
            live
        });
    }

    fn use_by_others(&self, vm: &str) -> Vec<UpstreamUse> {
        let told = self.arbiter.told_by_others(vm).into_iter();
        told.map(|(id, used)| used.to_message(id)).collect()
    }
}

impl Replica {
    pub(super) fn sync(&mut self, peer: &Identity, request: SyncRequest) -> ResponseFuture<Reply> {
        if request.vm != peer.name.as_str() {
            return ready(refuse(ErrorCode::Forbidden, "a gateway speaks for itself only"));
        }
        let Ok(address) = request.caller_address.parse() else {
            return ready(refuse(ErrorCode::Invalid, "caller_address is no address"));
        };
        let now_ms = self.clock.now_ms();
        self.syncs.take_over(&request, address, now_ms);
        let deadline_ms = now_ms + u64::from(request.wait_ms.min(MAX_WAIT_MS));
        let (result, receiver) = oneshot::channel();
        self.syncs.replies.push(HeldReply { request, deadline_ms, result });
        Box::pin(async move {
            let stopping = || refuse(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| stopping())
        })
    }

    /// Sends replies that have something to tell or waited long enough.
    pub(super) fn serve_syncs(&mut self) {
        let now_ms = self.clock.now_ms();
        let syncs = &mut self.syncs;
        syncs.expire(now_ms);
        let (version, epoch) = (syncs.registry.version(), syncs.epoch);
        let number = self.state.routes().current().number;
        let is_due = |held: &HeldReply| {
            let request = &held.request;
            now_ms >= held.deadline_ms
                || request.registry_epoch != epoch
                || request.registry_version != version
                || request.set_number < number
        };
        let (due, held) = std::mem::take(&mut syncs.replies).into_iter().partition(is_due);
        syncs.replies = held;
        let due: Vec<HeldReply> = due;
        for held in due {
            let reply = self.sync_reply(&held.request);
            // A gateway that went away reads no reply.
            let _ = held.result.send(Reply { body: Some(reply::Body::Sync(reply)) });
        }
        self.serve_confirmations(now_ms);
        self.decide_places();
    }

    fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        let syncs = &self.syncs;
        let known_version =
            if request.registry_epoch == syncs.epoch { request.registry_version } else { 0 };
        let set = Some(self.state.routes().current()).filter(|set| set.number > request.set_number);
        let others = if request.wants_use { syncs.use_by_others(&request.vm) } else { Vec::new() };
        let members = self.node.configuration().replicas.iter();
        SyncReply {
            registry_epoch: syncs.epoch,
            registry_version: syncs.registry.version(),
            upstreams: syncs.registry.changes_since(known_version).cloned().collect(),
            set: set.cloned(),
            r#use: others,
            entries: u32::try_from(syncs.entries.len()).unwrap_or(u32::MAX),
            control_addresses: members.map(|replica| replica.peer_address.clone()).collect(),
        }
    }

    fn serve_confirmations(&mut self, now_ms: u64) {
        let syncs = &mut self.syncs;
        if syncs.confirmations.is_empty() {
            return;
        }
        let confirmed = syncs.live_entries(now_ms).map(|view| view.confirmed_version).min();
        let (done, held) = std::mem::take(&mut syncs.confirmations)
            .into_iter()
            .partition(|held| confirmed >= Some(held.version) || now_ms >= held.deadline_ms);
        syncs.confirmations = held;
        let done: Vec<HeldConfirmation> = done;
        for held in done {
            let _ = held.result.send(confirmed.is_some());
        }
    }
}
