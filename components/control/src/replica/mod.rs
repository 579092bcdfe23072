//! Actor that owns consensus and state of one control process.
//!
//! Every handler changes the consensus node or the state and then calls
//! [`Replica::drive`], which moves data on: messages to peers, batches to the
//! journal thread, committed commands to the state, results to callers.

mod drive;
mod heartbeats;
mod join;
mod leases;
mod local;
mod places;
mod proposals;
mod reads;
mod reconcile;
mod requests;
mod status;
mod sync;
mod waiters;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{
    Actor, ActorContext as _, Addr, AsyncContext as _, Context, Handler, Message, ResponseFuture,
};
use clock::Clock;
use consensus::{Node, Options, Restored};
use credentials::Identity;
use journal::{Image, Journal};
use schema::{ConsensusMessage, Reply, Request};
use settings::ControlConfig;
use state::{Limits, State};
use telemetry::Spans;
use tokio::sync::watch;
use wire::{Endpoint, Link};

use crate::error::StartError;
use crate::metrics::Metrics;
use crate::storage::{Storage, Stored};

use heartbeats::DeltaCache;
use join::Joiner;
use leases::Leases;
use proposals::Proposals;
use reads::Reads;
use reconcile::Candidates;
use sync::Syncs;
use waiters::Waiters;

pub(crate) use join::Reload;
pub(crate) use local::{Announce, Ask, CallerAddresses};

const MAILBOX_CAPACITY: usize = 65_536;
/// Share of the entries between two snapshots that is kept in memory after
/// one, for replicas that lag a little.
const KEPT_SHARE: u64 = 5;

/// Actor that owns consensus and state.
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
    /// A job is with the journal thread.
    storing: bool,
    snapshot_index: u64,
    links: HashMap<SocketAddr, Link>,
    proposals: Proposals,
    reads: Reads,
    waiters: Waiters,
    leases: Leases,
    candidates: Candidates,
    deltas: RefCell<DeltaCache>,
    joiner: Joiner,
    syncs: Syncs,
    was_leader: bool,
    next_expiry_ms: u64,
    /// Set after an error that makes it unsafe to go on.
    failed: bool,
    on_failure: watch::Sender<bool>,
    address: Option<Addr<Replica>>,
}

impl Replica {
    pub(crate) fn new(
        config: ControlConfig,
        endpoint: Endpoint,
        metrics: Metrics,
        spans: Spans,
        on_failure: watch::Sender<bool>,
    ) -> Result<Self, StartError> {
        let (journal, image) = Journal::open(&config.data_path).map_err(StartError::Journal)?;
        if image.dropped_bytes > 0 {
            log::warn!(bytes = image.dropped_bytes; "dropped an unfinished write from the log");
        }
        let limits = state_limits(&config);
        let state = match &image.snapshot {
            Some(snapshot) => {
                State::from_bytes(&snapshot.data, limits).map_err(StartError::State)?
            }
            None => State::new(limits),
        };
        let clock = Clock::start();
        let now_ms = clock.now_ms();
        let snapshot_index = image.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let node = restore_node(journal.replica_id(), image, &config, now_ms);
        Ok(Replica {
            clock,
            endpoint,
            metrics,
            spans,
            node,
            state,
            journal: Some(journal),
            storage: None,
            storing: false,
            snapshot_index,
            links: HashMap::new(),
            proposals: Proposals::new(config.limits.max_queued_proposals as usize),
            reads: Reads::default(),
            waiters: Waiters::default(),
            leases: Leases::default(),
            candidates: Candidates::default(),
            deltas: RefCell::default(),
            joiner: Joiner::default(),
            syncs: Syncs::default(),
            was_leader: false,
            next_expiry_ms: 0,
            failed: false,
            on_failure,
            address: None,
            config,
        })
    }

    /// Stops all work: going on could acknowledge what the disk does not hold
    /// or let replicas differ.
    fn fail(&mut self, error: &str) {
        log::error!(error; "the replica cannot go on; stopping");
        self.failed = true;
        self.endpoint.close();
        self.on_failure.send_replace(true);
    }

    fn tick(&mut self) {
        if self.failed {
            return;
        }
        let now_ms = self.clock.now_ms();
        self.node.tick(now_ms);
        self.waiters.time_out(now_ms, &self.state);
        self.form_group(now_ms);
        self.join_if_outside(now_ms);
        self.expire_upstreams(now_ms);
        if self.node.is_leader() {
            self.expire_leases(now_ms);
            self.expire_records(now_ms);
            self.reconcile_members(now_ms);
        }
        self.drive();
    }

    /// Returns the link to a peer address.
    fn link(&mut self, address: SocketAddr) -> Link {
        let endpoint = &self.endpoint;
        let open = || endpoint.link(address, credentials::Role::Control);
        self.links.entry(address).or_insert_with(open).clone()
    }
}

/// Returns the bounds that the settings put on the state.
fn state_limits(config: &ControlConfig) -> Limits {
    Limits {
        max_records: config.limits.max_records as usize,
        kept_revisions: config.limits.kept_revisions as usize,
    }
}

fn restore_node(id: u64, image: Image, config: &ControlConfig, now_ms: u64) -> Node {
    let options = Options {
        heartbeat_ms: config.timers.heartbeat_ms,
        election_ms: config.timers.election_ms,
        ..Options::default()
    };
    let Image { hard_state, snapshot, entries, .. } = image;
    let restored = Restored { hard_state, snapshot, entries };
    Node::new(id, restored, options, rand::random(), now_ms)
}

impl Actor for Replica {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.address = Some(context.address());
        if let Some(journal) = self.journal.take() {
            let done = context.address().recipient();
            self.storage = Some(Storage::start(journal, done, self.metrics.clone()));
        }
        let tick = Duration::from_millis(self.config.timers.tick_ms);
        context.run_interval(tick, |replica, _| replica.tick());
    }
}

/// Message of another replica.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Received(pub(crate) Identity, pub(crate) ConsensusMessage);

impl Handler<Received> for Replica {
    type Result = ();

    fn handle(&mut self, Received(peer, message): Received, _: &mut Context<Self>) {
        let configuration = self.node.configuration();
        let known = configuration.replicas.iter().find(|r| r.id == message.from);
        if known.is_some_and(|replica| replica.vm != peer.name.as_str()) {
            log::warn!(peer = peer.to_string().as_str(), replica = message.from; "message refused: the replica belongs to another VM");
            return;
        }
        self.node.step(self.clock.now_ms(), message);
        self.drive();
    }
}

/// Request of another process.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct Call(pub(crate) Identity, pub(crate) Request);

impl Handler<Call> for Replica {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, Call(peer, request): Call, _: &mut Context<Self>) -> Self::Result {
        let reply = self.answer(&peer, request);
        self.drive();
        reply
    }
}

impl Handler<Stored> for Replica {
    type Result = ();

    fn handle(&mut self, stored: Stored, _: &mut Context<Self>) {
        self.storing = false;
        match stored {
            Stored::Batch(batch, last) => self.finish_batch(batch, last),
            Stored::Compact(snapshot) => {
                self.snapshot_index = snapshot.index;
                let kept_entries = self.config.limits.snapshot_entries / KEPT_SHARE;
                self.node.compact(snapshot, kept_entries);
            }
            Stored::Failed(error) => self.fail(&error),
        }
        self.drive();
    }
}

/// Asks whether the process can answer requests or name who can.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Readiness;

impl Handler<Readiness> for Replica {
    type Result = bool;

    fn handle(&mut self, _: Readiness, _: &mut Context<Self>) -> bool {
        self.node.leader_id() != consensus::NO_REPLICA
    }
}

/// Hands leadership over before a planned stop; true once another leads.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct HandOver;

impl Handler<HandOver> for Replica {
    type Result = bool;

    fn handle(&mut self, _: HandOver, _: &mut Context<Self>) -> bool {
        if !self.node.is_leader() {
            return true;
        }
        let nobody_else = consensus::voter_count(self.node.configuration()) < 2;
        // A transfer that is under way, or that timed out, is asked for again.
        let _ = self.node.transfer_leadership();
        self.drive();
        nobody_else
    }
}

/// Stops the replica and lets go of its data folder.
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
