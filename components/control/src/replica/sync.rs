//! Sync of gateways by long polling: upstreams, their load and the number of the set of
//! routes.
//!
//! A gateway keeps one sync request open with each control process. The reply is
//! held until an upstream or the set of routes changes or the wait times out, so
//! such a change reaches all gateways within a round trip; their next sync
//! confirms it. A change of the load alone does not end the wait. The set itself is fetched
//! in chunks, from one control process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use actix::ResponseFuture;
use balance::{Arbiter, EntryWeights, SpeedReport, UpstreamLoad};
use compact_str::CompactString;
use credentials::Identity;
use lineage::{Origin, Origins, StreamId};
use rand::seq::SliceRandom as _;
use registry::Registry;
use schema::{
    EntryPhase, ErrorCode, FetchRoutesRequest, FindGatewaysReply, FindGatewaysRequest, GatewayPeer,
    Reply, SyncReply, SyncRequest, UpstreamUse, reply,
};
use smallvec::SmallVec;
use tokio::sync::oneshot;
use wire::error_reply;

use super::Replica;
use super::confirmations::PendingConfirmation;
use super::limits::LimitList;
use super::places::WaitingPlacement;
use super::requests::ready;

/// Longest time for which a reply is held.
const MAX_HOLD_MS: u32 = 2_000;
/// Time without a sync after which a gateway counts as lost; several times the
/// interval between syncs.
const GATEWAY_TIMEOUT_MS: u64 = 1_500;
/// Most records of upstreams in one reply, so that many gateways that connect at once do not
/// have the complete registry encoded for each of them.
const MAX_REPLY_UPSTREAMS: usize = 256;

/// Most gateways in a reply to one that looks for others to hand requests to.
const MAX_PEERS: usize = 8;

/// State of one gateway as of its last sync.
#[derive(Debug)]
pub(super) struct GatewayState {
    epoch: u64,
    pub(super) data_centre: CompactString,
    pub(super) caller_address: SocketAddr,
    peer_address: CompactString,
    pub(super) phase: EntryPhase,
    /// It reaches no upstream.
    pub(super) cut_off: bool,
    /// This process is its arbiter.
    uses_arbiter: bool,
    /// Version of the upstream registry that the gateway has applied.
    pub(super) confirmed_version: u64,
    /// Version of the evacuated data centres that the gateway has applied.
    pub(super) evacuations_version: u64,
    synced_ms: u64,
}

impl GatewayState {
    /// Returns whether its last sync is recent.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.synced_ms + GATEWAY_TIMEOUT_MS
    }
}

struct OpenSync {
    request: SyncRequest,
    received_ms: u64,
    deadline_ms: u64,
    result: oneshot::Sender<Reply>,
}

/// State of the syncs. Kept in memory only: after a restart, the next syncs
/// rebuild it.
pub(crate) struct GatewaySyncs {
    /// Random number drawn at each start. A gateway whose sync request has another
    /// epoch receives the complete registry rather than the changes.
    pub(super) registry_epoch: u64,
    pub(super) registry: Registry,
    pub(super) gateways: BTreeMap<CompactString, GatewayState>,
    open_syncs: Vec<OpenSync>,
    pub(super) confirmations: Vec<PendingConfirmation>,
    /// Version of the evacuated data centres that the arbiter has applied.
    pub(super) evacuations_version: u64,
    pub(super) arbiter: Arbiter<WaitingPlacement>,
    pub(super) origins: Origins,
    pub(super) next_scheduling_ms: u64,
    pub(super) next_limit_metrics_ms: u64,
    pub(super) limit_list: LimitList,
    pub(super) next_limits_ms: u64,
    /// When each gateway was last live.
    pub(super) last_live_ms: BTreeMap<CompactString, u64>,
    /// Ejections since the metrics were last updated.
    pub(super) ejections: u64,
    /// Whether the addresses that callers get depend on [`Self::entry_weights`].
    pub(super) weighted_addresses: bool,
    pub(super) entry_weights: EntryWeights,
}

impl GatewaySyncs {
    pub(super) fn new(weighted_addresses: bool) -> Self {
        GatewaySyncs {
            registry_epoch: rand::random_range(1..=u64::MAX >> 11),
            registry: Registry::default(),
            gateways: BTreeMap::new(),
            open_syncs: Vec::new(),
            confirmations: Vec::new(),
            evacuations_version: 0,
            arbiter: Arbiter::default(),
            origins: Origins::default(),
            next_scheduling_ms: 0,
            next_limit_metrics_ms: 0,
            limit_list: LimitList::default(),
            next_limits_ms: 0,
            last_live_ms: BTreeMap::new(),
            ejections: 0,
            weighted_addresses,
            entry_weights: EntryWeights::default(),
        }
    }

    pub(super) fn live_gateways(&self, now_ms: u64) -> impl Iterator<Item = &GatewayState> {
        self.gateways.values().filter(move |gateway| gateway.is_live(now_ms))
    }

    /// Returns the time since which every live gateway has synced.
    pub(super) fn reported_ms(&self, now_ms: u64) -> u64 {
        self.live_gateways(now_ms).map(|gateway| gateway.synced_ms).min().unwrap_or(now_ms)
    }

    /// Returns the number of gateways of which this process is the arbiter.
    pub(super) fn served_gateways(&self) -> usize {
        self.gateways.values().filter(|gateway| gateway.uses_arbiter).count()
    }

    /// Returns whether any gateway can receive changes from this process.
    pub(super) fn has_live_gateway(&self, now_ms: u64) -> bool {
        self.live_gateways(now_ms).next().is_some()
    }

    /// Returns gateways that take requests of the one at `vm`: those in its data centre first,
    /// else in random order.
    fn peers_of(&self, vm: &str, data_centre: &str, now_ms: u64) -> Vec<GatewayPeer> {
        let mut peers: Vec<_> = self
            .gateways
            .iter()
            .filter(|(name, gateway)| {
                name.as_str() != vm
                    && gateway.is_live(now_ms)
                    && gateway.phase == EntryPhase::Ready
                    && !gateway.cut_off
                    && !gateway.peer_address.is_empty()
            })
            .collect();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|(_, gateway)| gateway.data_centre != data_centre);
        let peers = peers.into_iter().take(MAX_PEERS);
        let to_peer = |(name, gateway): (&CompactString, &GatewayState)| GatewayPeer {
            vm: name.to_string(),
            peer_address: gateway.peer_address.to_string(),
        };
        peers.map(to_peer).collect()
    }

    fn record_sync(&mut self, request: &SyncRequest, address: SocketAddr, now_ms: u64) {
        let vm = CompactString::from(request.vm.as_str());
        let known = self.gateways.get(&vm).is_some_and(|gateway| gateway.epoch == request.epoch);
        if !known {
            log::info!(vm = request.vm.as_str(), epoch = request.epoch, address = request.caller_address.as_str(); "gateway connected");
        }
        let confirmed_version = if request.registry_epoch == self.registry_epoch {
            request.registry_version
        } else {
            0
        };
        let gateway = GatewayState {
            epoch: request.epoch,
            data_centre: request.data_centre.as_str().into(),
            caller_address: address,
            peer_address: request.peer_address.as_str().into(),
            phase: request.phase(),
            cut_off: request.cut_off,
            uses_arbiter: request.wants_use,
            confirmed_version,
            evacuations_version: request.evacuations_version,
            synced_ms: now_ms,
        };
        let loads = request.r#use.iter().filter(|load| load.running > 0);
        let loads = loads.map(|load| (load.id.as_str().into(), UpstreamLoad::from_message(load)));
        for load in &request.r#use {
            self.arbiter.report_speed(&load.id, SpeedReport::from_message(load), now_ms);
        }
        if !known {
            self.arbiter.remove_entry(&vm);
        }
        self.arbiter.report_load(&vm, loads.collect(), request.placed_through);
        for limit in &request.limits {
            self.record_limit(&vm, limit, now_ms);
        }
        self.record_evidence(request, now_ms);
        self.record_entry_load(request, now_ms);
        for begun in &request.begun {
            let origin = Origin {
                service: begun.service.as_str().into(),
                version: begun.version.as_str().into(),
            };
            for stream in &begun.streams {
                self.origins.record_begun(StreamId(*stream), &origin, now_ms);
            }
        }
        for leaving in &request.leaving {
            if self.registry.mark_draining(&leaving.id, leaving.born_ms) {
                log::info!(upstream = leaving.id.as_str(), born_ms = leaving.born_ms, vm = request.vm.as_str(); "upstream leaves, as it said to a gateway");
            }
        }
        for ended in &request.ended {
            if self.registry.mark_ended(ended) {
                log::info!(upstream = ended.id.as_str(), phase = ended.phase().as_str_name(), born_ms = ended.born_ms, vm = request.vm.as_str(); "upstream ended, as another control process was told");
            }
        }
        self.last_live_ms.insert(vm.clone(), now_ms);
        self.gateways.insert(vm, gateway);
    }

    fn expire(&mut self, now_ms: u64) {
        self.gateways.retain(|vm, gateway| {
            let live = gateway.is_live(now_ms);
            if !live {
                self.arbiter.remove_entry(vm);
                log::warn!(vm = vm.as_str(), epoch = gateway.epoch, silent_ms = now_ms - gateway.synced_ms; "gateway lost: no sync received in time");
            }
            live
        });
    }

    /// Returns the position of a gateway among those that are connected.
    fn position_of(&self, vm: &str) -> u32 {
        let before = self.gateways.keys().take_while(|known| known.as_str() < vm).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Returns the load that other gateways reported, without that of upstreams of the
    /// `skipped` services.
    fn load_of_other_gateways(&self, vm: &str, skipped: &[&str]) -> Vec<UpstreamUse> {
        let is_wanted = |id: &str| {
            let service = self.registry.get(id).map(|record| record.service.as_str());
            service.is_none_or(|service| !skipped.contains(&service))
        };
        let loads = self.arbiter.load_of_others(vm).into_iter();
        loads.filter(|(id, _)| is_wanted(id)).map(|(id, load)| load.to_message(id)).collect()
    }
}

impl Replica {
    pub(super) fn sync(&mut self, peer: &Identity, request: SyncRequest) -> ResponseFuture<Reply> {
        if request.vm != peer.name.as_str() {
            return ready(error_reply(ErrorCode::Forbidden, "a gateway speaks for itself only"));
        }
        let Ok(address) = request.caller_address.parse() else {
            return ready(error_reply(ErrorCode::Invalid, "caller_address is no address"));
        };
        let now_ms = self.clock.now_ms();
        self.gateway_syncs.record_sync(&request, address, now_ms);
        self.record_answers(&request.answered_parts, &request.answered_requests, now_ms);
        self.confirm_pending(now_ms);
        let deadline_ms = now_ms + u64::from(request.wait_ms.min(MAX_HOLD_MS));
        let (result, receiver) = oneshot::channel();
        self.gateway_syncs.open_syncs.push(OpenSync {
            request,
            received_ms: now_ms,
            deadline_ms,
            result,
        });
        Box::pin(async move {
            let stopping = || error_reply(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| stopping())
        })
    }

    pub(super) fn find_gateways(&self, find: &FindGatewaysRequest) -> Reply {
        let now_ms = self.clock.now_ms();
        let gateways = self.gateway_syncs.peers_of(&find.vm, &find.data_centre, now_ms);
        let reply = FindGatewaysReply { gateways };
        Reply { body: Some(reply::Body::FindGateways(reply)) }
    }

    /// Replies to the syncs for which something changed or whose wait is over, then
    /// resolves due confirmations and grants slots.
    pub(super) fn serve_gateways(&mut self) {
        let now_ms = self.clock.now_ms();
        self.refresh_evacuations();
        let evacuations_version = self.state.evacuations().version();
        let syncs = &mut self.gateway_syncs;
        syncs.expire(now_ms);
        syncs.expire_ejections(now_ms);
        syncs.refresh_limits(now_ms);
        syncs.refresh_limit_list(now_ms);
        let limits_digest = syncs.limit_list.digest;
        let (version, epoch) = (syncs.registry.version(), syncs.registry_epoch);
        let number = self.state.routes().current().number;
        self.route_source.record(self.state.routes().current());
        let quarantine_digest = self.quarantine.digest();
        let is_due = |sync: &OpenSync| {
            let request = &sync.request;
            now_ms >= sync.deadline_ms
                || request.registry_epoch != epoch
                || request.registry_version != version
                || request.set_number < number
                || request.quarantine_digest != quarantine_digest
                || request.evacuations_version < evacuations_version
                || (request.wants_use && request.limits_digest != limits_digest)
        };
        let (due, open) = std::mem::take(&mut syncs.open_syncs).into_iter().partition(is_due);
        syncs.open_syncs = open;
        let due: Vec<OpenSync> = due;
        for sync in due {
            let reply = self.sync_reply(&sync, now_ms);
            // Fails if the gateway disconnected meanwhile.
            let _ = sync.result.send(Reply { body: Some(reply::Body::Sync(reply)) });
        }
        self.resolve_due_confirmations(now_ms);
        self.grant_slots();
    }

    fn sync_reply(&self, sync: &OpenSync, now_ms: u64) -> SyncReply {
        let request = &sync.request;
        let syncs = &self.gateway_syncs;
        let known_version = if request.registry_epoch == syncs.registry_epoch {
            request.registry_version
        } else {
            0
        };
        let services = self.state.routes().current().services.iter();
        let engines = services.filter(|service| service.engine.is_some());
        let skipped: SmallVec<[&str; 4]> = engines
            .filter(|_| request.skip_engine_use)
            .map(|service| service.name.as_str())
            .collect();
        let others = if request.wants_use {
            syncs.load_of_other_gateways(&request.vm, &skipped)
        } else {
            Vec::new()
        };
        let quarantine = &self.quarantine;
        let evacuations = self.state.evacuations();
        let limits_changed = request.limits_digest != syncs.limit_list.digest;
        let quarantine_changed = request.quarantine_digest != quarantine.digest();
        let configuration_index = self.node.commit_index();
        let configuration = self.node.configuration_at(configuration_index);
        let members = configuration.replicas.iter();
        let changes = syncs.registry.changes_since(known_version, MAX_REPLY_UPSTREAMS);
        SyncReply {
            registry_epoch: syncs.registry_epoch,
            registry_version: changes.version,
            upstreams: changes.records.into_iter().cloned().collect(),
            set_number: self.state.routes().current().number,
            data_centre: self.config.data_centre.to_string(),
            r#use: others,
            entries: u32::try_from(syncs.gateways.len()).unwrap_or(u32::MAX),
            engine_use_skipped: request.skip_engine_use,
            entry_index: syncs.position_of(&request.vm),
            limits_digest: syncs.limit_list.digest,
            limits: if limits_changed { syncs.limit_list.limits.clone() } else { Vec::new() },
            quarantine_digest: quarantine.digest(),
            quarantine: if quarantine_changed { quarantine.to_message() } else { Vec::new() },
            ejections: if request.wants_use { syncs.ejection_messages(now_ms) } else { Vec::new() },
            control_addresses: members.map(|replica| replica.peer_address.clone()).collect(),
            configuration_index,
            held_ms: u32::try_from(now_ms.saturating_sub(sync.received_ms)).unwrap_or(u32::MAX),
            evacuations_version: evacuations.version(),
            evacuated_data_centres: evacuations.names_after(request.evacuations_version),
        }
    }

    /// Returns the next chunk of the change to the set in force.
    pub(super) fn fetch_routes(&mut self, fetch: &FetchRoutesRequest) -> Reply {
        let reply = self.route_source.next_chunk(fetch, self.state.routes().current());
        Reply { body: Some(reply::Body::FetchRoutes(reply)) }
    }
}
