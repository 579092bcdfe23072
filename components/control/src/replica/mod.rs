//! Actor that owns the consensus node and the state machine of one control
//! process.
//!
//! Each handler that changes the consensus node or the state then calls
//! [`Replica::drive`], which processes the output of the node: it sends
//! messages to peers, passes batches to the storage thread, applies committed
//! commands to the state and replies to requests.

mod addresses;
mod confirmations;
mod disk;
mod drive;
mod ends;
mod evacuations;
mod health;
mod heartbeats;
mod join;
mod leases;
mod limits;
mod local;
mod places;
mod proposals;
mod quarantine;
mod reads;
mod reconcile;
mod requests;
mod speeds;
mod status;
mod sync;
mod wait_log;
mod waiters;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{
    Actor, ActorContext as _, Addr, AsyncContext as _, Context, Handler, Message, ResponseFuture,
};
use clock::Clock;
use consensus::{Node, Options, PersistedState};
use credentials::Identity;
use distribution::RouteSource;
use journal::{Journal, RecoveredState};
use schema::{ConsensusMessage, Reply, Request};
use settings::ControlConfig;
use state::{Limits, State};
use telemetry::Spans;
use tokio::sync::watch;
use wire::{Endpoint, Link};

use crate::error::StartError;
use crate::metrics::Metrics;
use crate::storage::{JobResult, Storage};

use heartbeats::SetDeltaCache;
use join::JoinState;
use leases::Leases;
use proposals::Proposals;
use quarantine::QuarantineState;
use reads::Reads;
use reconcile::JoinCandidates;
use speeds::SlowEngines;
use sync::GatewaySyncs;
use wait_log::WaitLog;
use waiters::RecordWaiters;

pub(crate) use evacuations::OrderEvacuation;
pub(crate) use join::UpdateSeeds;
pub(crate) use local::{Announce, GatewayAddresses, LocalRequest, ReadDocument};

const MAILBOX_CAPACITY: usize = 65_536;
/// Divisor of `snapshot_entries` that gives the number of log entries kept in
/// memory at a compaction, so that replicas that lag slightly need no snapshot.
const KEPT_ENTRIES_DIVISOR: u64 = 5;

/// Actor that owns the consensus node and the state machine.
pub(crate) struct Replica {
    config: ControlConfig,
    clock: Clock,
    endpoint: Endpoint,
    metrics: Metrics,
    spans: Spans,
    node: Node,
    state: State,
    journal: Option<Journal>,
    storage: Option<Storage>,
    /// When the job in flight at the storage thread was submitted; at most one is.
    storage_job_since_ms: Option<u64>,
    /// Why the disk refuses writes.
    disk_error: Option<String>,
    snapshot_index: u64,
    links: HashMap<SocketAddr, Link>,
    proposals: Proposals,
    reads: Reads,
    record_waiters: RecordWaiters,
    leases: Leases,
    join_candidates: JoinCandidates,
    set_deltas: RefCell<SetDeltaCache>,
    join_state: JoinState,
    gateway_syncs: GatewaySyncs,
    wait_log: WaitLog,
    route_source: RouteSource,
    quarantine: QuarantineState,
    slow_engines: SlowEngines,
    was_leader: bool,
    next_record_expiry_ms: u64,
    /// Set after an unrecoverable error and on shutdown; `tick` and `drive` then do
    /// nothing.
    failed: bool,
    on_failure: watch::Sender<bool>,
    actor_address: Option<Addr<Replica>>,
}

impl Replica {
    pub(crate) fn new(
        config: ControlConfig,
        (journal, recovered): (Journal, RecoveredState),
        endpoint: Endpoint,
        metrics: Metrics,
        spans: Spans,
        on_failure: watch::Sender<bool>,
    ) -> Result<Self, StartError> {
        if recovered.dropped_bytes > 0 {
            log::warn!(bytes = recovered.dropped_bytes; "truncated an incomplete write at the end of the log");
        }
        let limits = state_limits(&config);
        let state = match &recovered.snapshot {
            Some(snapshot) => {
                State::from_bytes(&snapshot.data, limits).map_err(StartError::State)?
            }
            None => State::new(limits),
        };
        let clock = Clock::start();
        let now_ms = clock.now_ms();
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let node = restore_node(journal.replica_id(), recovered, &config, now_ms);
        let mut replica = Replica {
            clock,
            endpoint,
            metrics,
            spans,
            node,
            state,
            journal: Some(journal),
            storage: None,
            storage_job_since_ms: None,
            disk_error: None,
            snapshot_index,
            links: HashMap::new(),
            proposals: Proposals::new(config.limits.max_queued_proposals as usize),
            reads: Reads::default(),
            record_waiters: RecordWaiters::default(),
            leases: Leases::default(),
            join_candidates: JoinCandidates::default(),
            set_deltas: RefCell::default(),
            join_state: JoinState::default(),
            gateway_syncs: GatewaySyncs::new(config.weighted_addresses),
            wait_log: WaitLog::default(),
            route_source: RouteSource::default(),
            quarantine: QuarantineState::default(),
            slow_engines: SlowEngines::default(),
            was_leader: false,
            next_record_expiry_ms: 0,
            failed: false,
            on_failure,
            actor_address: None,
            config,
        };
        replica.adopt_recorded_ends();
        Ok(replica)
    }

    /// Stops all processing: continuing could acknowledge data that is not
    /// durable, or let the states of replicas diverge.
    fn fail(&mut self, error: &str) {
        log::error!(error; "unrecoverable replica error; stopping");
        self.failed = true;
        self.endpoint.close();
        self.on_failure.send_replace(true);
    }

    fn tick(&mut self) {
        if self.failed {
            return;
        }
        let now_ms = self.clock.now_ms();
        self.check_disk(now_ms);
        self.node.tick(now_ms);
        self.record_waiters.expire(now_ms, &self.state);
        self.bootstrap_at_first_start(now_ms);
        self.join_if_not_member(now_ms);
        self.expire_upstreams(now_ms);
        self.update_limit_metrics(now_ms);
        self.update_speed_metrics(now_ms);
        self.adjust_entry_weights(now_ms);
        self.tick_quarantine(now_ms);
        if self.node.is_leader() {
            self.expire_leases(now_ms);
            self.expire_records(now_ms);
            self.reconcile_members(now_ms);
        }
        self.drive();
    }

    /// Returns the link to a peer address, creating it on first use.
    fn link(&mut self, address: SocketAddr) -> Link {
        let endpoint = &self.endpoint;
        let open = || endpoint.link(address, credentials::Role::Control);
        self.links.entry(address).or_insert_with(open).clone()
    }
}

/// Returns the limits of the state machine from the settings.
fn state_limits(config: &ControlConfig) -> Limits {
    Limits {
        max_records: config.limits.max_records as usize,
        kept_revisions: config.limits.kept_revisions as usize,
    }
}

fn restore_node(id: u64, recovered: RecoveredState, config: &ControlConfig, now_ms: u64) -> Node {
    let options = Options {
        heartbeat_ms: config.timers.heartbeat_ms,
        election_ms: config.timers.election_ms,
        ..Options::default()
    };
    let RecoveredState { hard_state, snapshot, entries, .. } = recovered;
    let persisted = PersistedState { hard_state, snapshot, entries };
    Node::new(id, persisted, options, rand::random(), now_ms)
}

impl Actor for Replica {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.actor_address = Some(context.address());
        if let Some(journal) = self.journal.take() {
            let on_result = context.address().recipient();
            self.storage = Some(Storage::start(journal, on_result, self.metrics.clone()));
        }
        let tick = Duration::from_millis(self.config.timers.tick_ms);
        context.run_interval(tick, |replica, _| replica.tick());
    }
}

/// Consensus message from another replica.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerMessage(pub(crate) Identity, pub(crate) ConsensusMessage);

impl Handler<PeerMessage> for Replica {
    type Result = ();

    fn handle(&mut self, PeerMessage(peer, message): PeerMessage, _: &mut Context<Self>) {
        let configuration = self.node.configuration();
        let known = configuration.replicas.iter().find(|r| r.id == message.from);
        if known.is_some_and(|replica| replica.vm != peer.name.as_str()) {
            log::warn!(peer = peer.to_string().as_str(), replica = message.from; "consensus message refused: the sending replica belongs to another VM");
            return;
        }
        self.node.step(self.clock.now_ms(), message);
        self.drive();
    }
}

/// Request from an entry, an operator or another control process.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct PeerRequest(pub(crate) Identity, pub(crate) Request);

impl Handler<PeerRequest> for Replica {
    type Result = ResponseFuture<Reply>;

    fn handle(
        &mut self,
        PeerRequest(peer, request): PeerRequest,
        _: &mut Context<Self>,
    ) -> Self::Result {
        let reply = self.handle_request(&peer, request);
        self.drive();
        reply
    }
}

impl Handler<JobResult> for Replica {
    type Result = ();

    fn handle(&mut self, result: JobResult, _: &mut Context<Self>) {
        match result {
            JobResult::Durable(batch, last) => {
                self.storage_job_since_ms = None;
                self.handle_durable_batch(batch, last);
            }
            JobResult::Compacted(snapshot) => {
                self.storage_job_since_ms = None;
                self.snapshot_index = snapshot.index;
                let kept_entries = self.config.limits.snapshot_entries / KEPT_ENTRIES_DIVISOR;
                self.node.compact(snapshot, kept_entries);
            }
            JobResult::Unavailable(error) => {
                self.set_disk_error(Some(error));
                self.check_disk(self.clock.now_ms());
            }
            JobResult::Available => self.set_disk_error(None),
            JobResult::Failed(error) => self.fail(&error),
        }
        self.drive();
    }
}

/// Readiness check: true while a leader is known, as this process then either
/// serves requests itself or redirects them.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Readiness;

impl Handler<Readiness> for Replica {
    type Result = bool;

    fn handle(&mut self, _: Readiness, _: &mut Context<Self>) -> bool {
        self.node.leader_id() != consensus::NO_REPLICA
    }
}

/// Transfers leadership before a planned shutdown. Returns true once this
/// replica no longer leads, or if there is no other voter to transfer to.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct TransferLeadership;

impl Handler<TransferLeadership> for Replica {
    type Result = bool;

    fn handle(&mut self, _: TransferLeadership, _: &mut Context<Self>) -> bool {
        if !self.node.is_leader() {
            return true;
        }
        let is_only_voter = consensus::voter_count(self.node.configuration()) < 2;
        // Requested again on each poll: a transfer may have timed out, and the error
        // for one that is still in progress is ignored.
        let _ = self.node.transfer_leadership();
        self.drive();
        is_only_voter
    }
}

/// Stops the replica and releases its data folder.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;

impl Handler<Stop> for Replica {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        self.failed = true;
        self.storage = None;
        context.stop();
    }
}
