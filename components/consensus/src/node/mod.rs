//! One replica of the log: roles, messages, batches and committed changes.

mod election;
mod follower;
mod leader;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use schema::consensus_message::Body;
use schema::log_entry::Payload;
use schema::{Configuration, ConsensusMessage, HardState, LogEntry, Snapshot};

use crate::log::{Log, position};
use crate::membership::{self, ConfigurationHistory};
use crate::options::Options;
use crate::output::{Batch, CommittedChange, LogPosition, ReadReady};
use crate::votes::Votes;
use crate::{NO_REPLICA, ProposeError};
use leader::Leadership;

/// Durable state that a replica is restored from.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Last durable term and vote.
    pub hard_state: HardState,
    /// Last durable snapshot.
    pub snapshot: Option<Snapshot>,
    /// Durable entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate {
        pre_votes: Votes,
        /// Votes of the election in the current term that this replica holds, if any: votes
        /// from slow disks still count.
        votes: Option<Votes>,
    },
    Candidate(Votes),
    Leader(Leadership),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Node {
    id: u64,
    options: Options,
    rng: SmallRng,
    now_ms: u64,
    role: Role,
    term: u64,
    voted_for: u64,
    hard_state_changed: bool,
    /// Hard state in the batch that is being persisted.
    hard_state_in_batch: Option<HardState>,
    durable_hard_state: HardState,
    log: Log,
    configurations: ConfigurationHistory,
    /// Last durable snapshot, sent to replicas whose next entry is compacted.
    snapshot: Option<Snapshot>,
    leader_id: u64,
    last_leader_contact_ms: Option<u64>,
    election_deadline_ms: u64,
    may_campaign: bool,
    /// Since its start this replica has heard of no leader, voted for no replica and
    /// held no election: the whole group may be starting.
    is_starting: bool,
    commit_index: u64,
    applied_index: u64,
    durable_index: u64,
    /// First index that the next batch contains.
    next_batch_index: u64,
    snapshot_to_persist: Option<Snapshot>,
    /// Received snapshot that is applied once it is durable.
    pending_snapshot: Option<Snapshot>,
    messages: Vec<ConsensusMessage>,
    /// Messages to send once the next batch is durable.
    durable_messages: Vec<ConsensusMessage>,
    reads_ready: Vec<ReadReady>,
    reads_failed: Vec<u64>,
    next_read_id: u64,
}

impl Node {
    /// Restores a replica. `seed` seeds the jitter of its election timeouts.
    pub fn new(
        id: u64,
        persisted: PersistedState,
        options: Options,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let snapshot = persisted.snapshot;
        let snapshot_position = snapshot
            .as_ref()
            .map_or(LogPosition::default(), |s| LogPosition { term: s.term, index: s.index });
        let snapshot_configuration =
            snapshot.as_ref().and_then(|s| s.configuration.clone()).unwrap_or_default();
        let mut configurations =
            ConfigurationHistory::new(snapshot_position.index, snapshot_configuration);
        for entry in &persisted.entries {
            if let Some(Payload::Configuration(configuration)) = &entry.payload {
                configurations.push(entry.index, configuration.clone());
            }
        }
        let log = Log::new(snapshot_position, persisted.entries);
        let last = log.last().index;
        let mut node = Node {
            id,
            options,
            rng: SmallRng::seed_from_u64(seed),
            now_ms,
            role: Role::Follower,
            term: persisted.hard_state.term,
            voted_for: persisted.hard_state.voted_for,
            hard_state_changed: false,
            hard_state_in_batch: None,
            durable_hard_state: persisted.hard_state,
            log,
            configurations,
            snapshot,
            leader_id: NO_REPLICA,
            last_leader_contact_ms: None,
            election_deadline_ms: 0,
            may_campaign: true,
            is_starting: true,
            commit_index: snapshot_position.index,
            applied_index: snapshot_position.index,
            durable_index: last,
            next_batch_index: last + 1,
            snapshot_to_persist: None,
            pending_snapshot: None,
            messages: Vec::new(),
            durable_messages: Vec::new(),
            reads_ready: Vec::new(),
            reads_failed: Vec::new(),
            next_read_id: 1,
        };
        node.reset_election_deadline();
        node
    }

    /// Creates a new group with this replica as its only voter.
    pub fn bootstrap(&mut self, now_ms: u64, replica: schema::Replica) -> Result<(), ProposeError> {
        if self.is_initialised() {
            return Err(ProposeError::AlreadyInitialised);
        }
        self.now_ms = now_ms;
        let replica = schema::Replica { id: self.id, voter: true, ..replica };
        self.set_term(1, NO_REPLICA);
        self.append_local(Payload::Configuration(Configuration { replicas: vec![replica] }));
        self.start_election(false);
        // No other replica is in the group before this vote is durable.
        self.become_leader();
        Ok(())
    }

    /// Returns whether the replica is, or was, a member of a group.
    pub fn is_initialised(&self) -> bool {
        self.log.last().index > 0
    }

    /// Advances the time: starts elections, sends heartbeats and lets a leader
    /// without a quorum step down.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader();
        } else if now_ms >= self.election_deadline_ms {
            self.reset_election_deadline();
            if self.is_eligible() {
                self.start_pre_vote();
            } else {
                self.leader_id = NO_REPLICA;
            }
        }
    }

    /// Sets whether this replica may start elections, initially true. A replica whose
    /// disk refuses writes could not make its vote durable: it would leave the term of
    /// the leader without being able to win the next one. Replies report it to the leader.
    pub fn set_may_campaign(&mut self, may_campaign: bool) {
        self.may_campaign = may_campaign;
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now_ms: u64, message: ConsensusMessage) {
        self.now_ms = now_ms;
        if message.to != self.id {
            return;
        }
        let Some(body) = message.body else { return };
        if message.term > self.term && !self.handle_newer_term(message.from, message.term, &body) {
            return;
        }
        if message.term < self.term {
            self.reject_older_term(message.from, &body);
            return;
        }
        self.dispatch(message.from, message.term, body);
    }

    /// Adopts the newer term of a message and returns whether the message is
    /// processed further. Pre-vote requests and granted pre-votes carry the next
    /// term and do not change it. Vote requests are ignored while there is a live
    /// leader that did not ask for the election.
    fn handle_newer_term(&mut self, from: u64, term: u64, body: &Body) -> bool {
        match body {
            Body::VoteRequest(request) if request.pre_vote => true,
            Body::VoteReply(reply) if reply.pre_vote && reply.granted => true,
            Body::VoteRequest(request) if self.has_live_leader() && !request.transfer => false,
            Body::AppendRequest(_) | Body::SnapshotRequest(_) => {
                self.become_follower(term, from);
                true
            }
            _ => {
                self.become_follower(term, NO_REPLICA);
                true
            }
        }
    }

    fn reject_older_term(&mut self, from: u64, body: &Body) {
        match body {
            Body::VoteRequest(request) => {
                let reply = schema::VoteReply { pre_vote: request.pre_vote, granted: false };
                self.send_once_term_durable(from, Body::VoteReply(reply));
            }
            Body::AppendRequest(_) | Body::SnapshotRequest(_) => {
                let reply = self.append_reply(false, self.log.last().index, 0);
                self.send_once_term_durable(from, reply);
            }
            Body::VoteReply(_) | Body::AppendReply(_) | Body::TimeoutNow(_) => {}
        }
    }

    fn dispatch(&mut self, from: u64, term: u64, body: Body) {
        match body {
            Body::VoteRequest(request) => self.handle_vote_request(from, term, request),
            Body::VoteReply(reply) => self.handle_vote_reply(from, term, reply),
            Body::AppendRequest(request) => self.handle_append_request(from, request),
            Body::AppendReply(reply) => self.handle_append_reply(from, reply),
            Body::SnapshotRequest(request) => self.handle_snapshot_request(from, request),
            Body::TimeoutNow(_) => self.handle_timeout_now(),
        }
    }

    /// Takes messages that depend on no pending write and may be sent immediately.
    pub fn take_messages(&mut self) -> Vec<ConsensusMessage> {
        self.send_pending_appends();
        std::mem::take(&mut self.messages)
    }

    /// Takes the next batch to persist, or `None` if there is nothing to write or
    /// send.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let batch = Batch {
            hard_state: self.hard_state_changed.then(|| self.hard_state()),
            snapshot: self.snapshot_to_persist.take(),
            entries: self.log.slice(self.next_batch_index, u64::MAX, usize::MAX),
            messages: std::mem::take(&mut self.durable_messages),
            last: self.log.last(),
        };
        self.hard_state_changed = false;
        self.hard_state_in_batch = batch.hard_state;
        self.next_batch_index = self.log.last().index + 1;
        (!batch.needs_no_sync() || !batch.messages.is_empty()).then_some(batch)
    }

    /// Reports that the last batch, ending at `last`, is durable. Its entries are ignored
    /// if the one at `last` is no longer in the log.
    pub fn persisted(&mut self, last: LogPosition) {
        if let Some(hard_state) = self.hard_state_in_batch.take() {
            self.durable_hard_state = hard_state;
            if hard_state.voted_for != NO_REPLICA {
                self.handle_durable_vote();
            }
        }
        if self.log.term(last.index) != Some(last.term) {
            return;
        }
        self.durable_index = self.durable_index.max(last.index);
        if matches!(self.role, Role::Leader(_)) {
            self.advance_commit();
        }
    }

    /// Takes changes that are committed and durable here, in log order.
    pub fn take_committed(&mut self) -> Vec<CommittedChange> {
        let mut changes = Vec::new();
        if let Some(snapshot) = self.pending_snapshot.take_if(|s| s.index <= self.durable_index) {
            self.applied_index = snapshot.index;
            self.snapshot = Some(snapshot.clone());
            changes.push(CommittedChange::Snapshot(snapshot));
        }
        if self.pending_snapshot.is_some() {
            return changes;
        }
        while self.applied_index < self.commit_index.min(self.durable_index) {
            let Some(entry) = self.log.get(self.applied_index + 1) else { break };
            let at = position(entry);
            let change = match &entry.payload {
                Some(Payload::Command(command)) => CommittedChange::Command(at, command.clone()),
                Some(Payload::Configuration(configuration)) => {
                    CommittedChange::Configuration(at, configuration.clone())
                }
                Some(Payload::Noop(_)) | None => CommittedChange::Noop(at),
            };
            self.applied_index += 1;
            if let CommittedChange::Configuration(at, _) = &change {
                self.step_down_if_removed(*at);
            }
            changes.push(change);
        }
        changes
    }

    /// Takes confirmed reads, to be served once their read index is applied.
    pub fn take_reads(&mut self) -> Vec<ReadReady> {
        std::mem::take(&mut self.reads_ready)
    }

    /// Takes the ids of reads that failed because leadership ended.
    pub fn take_failed_reads(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.reads_failed)
    }

    /// Compacts the log up to a durable `snapshot`. The last `keep_entries` entries
    /// before it are kept, up to [`Options::max_kept_bytes`], so that replicas that lag by
    /// less than that catch up from the log instead of a snapshot.
    pub fn compact(&mut self, snapshot: Snapshot, keep_entries: u64) {
        let first = snapshot.index.saturating_sub(keep_entries).max(self.log.compacted().index);
        let index = self.log.start_of_tail(first, snapshot.index, self.options.max_kept_bytes);
        if let Some(term) = self.log.term(index) {
            self.configurations.compact(index);
            self.log.compact(LogPosition { term, index });
        }
        self.snapshot = Some(snapshot);
    }

    /// Returns the configuration in effect at `index`.
    pub fn configuration_at(&self, index: u64) -> Configuration {
        self.configurations.at(index)
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the leader of the current term, or [`NO_REPLICA`] if it is not known.
    pub fn leader_id(&self) -> u64 {
        self.leader_id
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the name of the current role; a replica that is not a member of the
    /// group is an "outsider".
    pub fn role_name(&self) -> &'static str {
        match self.role {
            Role::Leader(_) => "leader",
            Role::Candidate(_) | Role::PreCandidate { .. } => "candidate",
            Role::Follower if membership::is_voter(self.configuration(), self.id) => "follower",
            Role::Follower if self.configuration().replicas.iter().any(|r| r.id == self.id) => {
                "learner"
            }
            Role::Follower => "outsider",
        }
    }

    /// Returns the newest configuration in the log, committed or not.
    pub fn configuration(&self) -> &Configuration {
        self.configurations.current()
    }

    /// Returns the commit index.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the last index returned by [`Node::take_committed`], initially that of
    /// the restored snapshot.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the index of the last entry that is compacted away.
    pub fn compacted_index(&self) -> u64 {
        self.log.compacted().index
    }

    /// Returns the position of the last log entry.
    pub fn last(&self) -> LogPosition {
        self.log.last()
    }

    /// Returns the term of the entry at `index`, if the log holds that entry or it
    /// is the last compacted one.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term(index)
    }

    /// Returns the entry at `index`, unless it is compacted away or not in the log.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.get(index)
    }

    /// Returns the current hard state, which may not be durable yet.
    pub fn hard_state(&self) -> HardState {
        HardState { term: self.term, voted_for: self.voted_for }
    }

    /// Returns whether the current term and vote are durable.
    pub fn is_hard_state_durable(&self) -> bool {
        self.durable_hard_state == self.hard_state()
    }

    fn append_local(&mut self, payload: Payload) -> LogPosition {
        let index = self.log.last().index + 1;
        if let Payload::Configuration(configuration) = &payload {
            self.configurations.push(index, configuration.clone());
        }
        self.log.append(LogEntry { index, term: self.term, payload: Some(payload) });
        LogPosition { term: self.term, index }
    }

    fn set_term(&mut self, term: u64, voted_for: u64) {
        if (self.term, self.voted_for) != (term, voted_for) {
            self.term = term;
            self.voted_for = voted_for;
            self.hard_state_changed = true;
        }
    }

    fn send_now(&mut self, to: u64, body: Body) {
        let message = ConsensusMessage { from: self.id, to, term: self.term, body: Some(body) };
        self.messages.push(message);
    }

    /// Sends a message that relies on no write but that of the current term.
    fn send_once_term_durable(&mut self, to: u64, body: Body) {
        if self.durable_hard_state.term == self.term {
            self.send_now(to, body);
        } else {
            self.send_once_durable(to, body);
        }
    }

    /// Queues a message that is sent once the next batch is durable.
    fn send_once_durable(&mut self, to: u64, body: Body) {
        let message = ConsensusMessage { from: self.id, to, term: self.term, body: Some(body) };
        self.durable_messages.push(message);
    }
}
