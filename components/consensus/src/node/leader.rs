//! Replication, reads, membership changes and leadership transfer on the leader.

use bytes::Bytes;
use schema::consensus_message::Body;
use schema::log_entry::Payload;
use schema::{AppendReply, AppendRequest, Configuration, Noop, SnapshotRequest, TimeoutNow};

use super::{Node, Role};
use crate::membership;
use crate::output::LogPosition;
use crate::progress::ProgressMap;
use crate::read::PendingReads;
use crate::{NO_REPLICA, ProposeError};

/// State that a replica holds only while it is the leader.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) progress: ProgressMap,
    pub(super) reads: PendingReads,
    /// Index of the leader's first entry of its term.
    term_start_index: u64,
    next_heartbeat_ms: u64,
    next_quorum_check_ms: u64,
    transfer: Option<Transfer>,
    /// Entries were appended and append requests for them were not created yet.
    append_pending: bool,
}

#[derive(Debug)]
struct Transfer {
    target: u64,
    deadline_ms: u64,
    timeout_now_sent: bool,
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        let next_index = self.log.last().index + 1;
        self.leader_id = self.id;
        let term_start_index = self.append_local(Payload::Noop(Noop {})).index;
        let mut progress = ProgressMap::default();
        progress.update_members(self.configurations.current(), next_index, self.now_ms);
        self.role = Role::Leader(Leadership {
            progress,
            reads: PendingReads::default(),
            term_start_index,
            next_heartbeat_ms: self.now_ms + self.options.heartbeat_ms,
            next_quorum_check_ms: self.now_ms + self.options.election_ms,
            transfer: None,
            append_pending: true,
        });
    }

    /// Appends a command to the log and returns its position.
    ///
    /// The command is committed once [`Node::take_committed`] returns an entry
    /// with the same index and term. An entry of another term at that index means
    /// that the command was overwritten.
    pub fn propose(&mut self, command: Bytes) -> Result<LogPosition, ProposeError> {
        self.leadership_for_proposal()?.append_pending = true;
        Ok(self.append_local(Payload::Command(command)))
    }

    /// Appends to the log a configuration that adds, removes or promotes replicas. It
    /// may add or remove at most one voter.
    pub fn propose_configuration(
        &mut self,
        configuration: Configuration,
    ) -> Result<LogPosition, ProposeError> {
        self.check_configuration(&configuration)?;
        let next_index = self.log.last().index + 1;
        let now_ms = self.now_ms;
        let leadership = self.leadership_for_proposal()?;
        leadership.append_pending = true;
        leadership.progress.update_members(&configuration, next_index, now_ms);
        Ok(self.append_local(Payload::Configuration(configuration)))
    }

    fn check_configuration(&mut self, configuration: &Configuration) -> Result<(), ProposeError> {
        let commit_index = self.commit_index;
        let current = self.configurations.current().clone();
        let current_index = self.configurations.current_index();
        let leadership = self.leadership_for_proposal()?;
        if current_index > commit_index || leadership.term_start_index > commit_index {
            return Err(ProposeError::ChangePending);
        }
        if !membership::voters_differ_by_at_most_one(&current, configuration)
            || membership::voter_count(configuration) == 0
        {
            return Err(ProposeError::TooManyChanges);
        }
        for replica in membership::voters(configuration) {
            let promoted = !membership::is_voter(&current, replica.id);
            let match_index = leadership.progress.get(replica.id).map_or(0, |p| p.match_index);
            if promoted && match_index < commit_index {
                return Err(ProposeError::NotCaughtUp);
            }
        }
        Ok(())
    }

    /// Starts a linearizable read and returns its id. The id appears in
    /// [`Node::take_reads`] once a quorum has confirmed that this replica is still
    /// the leader, or in [`Node::take_failed_reads`] if leadership ends first.
    pub fn request_read_index(&mut self) -> Result<u64, ProposeError> {
        let commit_index = self.commit_index;
        let id = self.next_read_id;
        let Role::Leader(leadership) = &mut self.role else {
            return Err(ProposeError::NotLeader);
        };
        self.next_read_id += 1;
        let index = (commit_index >= leadership.term_start_index).then_some(commit_index);
        leadership.reads.begin(id, index);
        leadership.next_heartbeat_ms = self.now_ms;
        self.confirm_reads();
        Ok(id)
    }

    /// Starts a leadership transfer to the voter with the highest match index among
    /// those that replied within the minimum election timeout and whose disks accept
    /// writes, else among all.
    /// Proposals are rejected until the transfer ends or times out.
    pub fn transfer_leadership(&mut self) -> Result<(), ProposeError> {
        let others = self.other_voters();
        let (now_ms, election_ms) = (self.now_ms, self.options.election_ms);
        let deadline_ms = now_ms + election_ms;
        let leadership = self.leadership_for_proposal()?;
        let suitability = |id: &u64| {
            let progress = leadership.progress.get(*id);
            progress.map(|p| (now_ms < p.last_writable_ms + election_ms, p.match_index))
        };
        let Some(target) = others.into_iter().max_by_key(suitability) else {
            return Err(ProposeError::NotCaughtUp);
        };
        leadership.transfer = Some(Transfer { target, deadline_ms, timeout_now_sent: false });
        self.continue_transfer();
        Ok(())
    }

    /// Returns the last index known to be durable on a replica, if this replica
    /// is the leader and tracks it.
    pub fn match_index(&self, id: u64) -> Option<u64> {
        match &self.role {
            Role::Leader(_) if id == self.id => Some(self.durable_index),
            Role::Leader(leadership) => leadership.progress.get(id).map(|p| p.match_index),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate(_) => None,
        }
    }

    /// Returns the time since the last reply of a replica whose disk accepted writes, if
    /// this replica is the leader and tracks it. Before the first reply, returns the time
    /// since tracking began.
    pub fn ms_since_writable(&self, id: u64) -> Option<u64> {
        match &self.role {
            Role::Leader(_) if id == self.id => Some(0),
            Role::Leader(leadership) => {
                leadership.progress.get(id).map(|p| self.now_ms.saturating_sub(p.last_writable_ms))
            }
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate(_) => None,
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let (now_ms, options) = (self.now_ms, self.options);
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.transfer.take_if(|transfer| now_ms >= transfer.deadline_ms);
        let heartbeat_due = now_ms >= leadership.next_heartbeat_ms;
        let check_due = now_ms >= leadership.next_quorum_check_ms;
        if heartbeat_due {
            leadership.next_heartbeat_ms = now_ms + options.heartbeat_ms;
        }
        if check_due {
            leadership.next_quorum_check_ms = now_ms + options.election_ms;
        }
        if check_due && !self.has_recent_quorum() {
            self.become_follower(self.term, NO_REPLICA);
            return;
        }
        if heartbeat_due {
            self.broadcast_append(true);
        }
    }

    /// Returns whether a majority of the voters, including this replica, replied
    /// within the minimum election timeout.
    fn has_recent_quorum(&self) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let quorum_reply_ms = membership::quorum_value(self.configurations.current(), |id| {
            if id == self.id {
                return self.now_ms;
            }
            leadership.progress.get(id).map_or(0, |p| p.last_reply_ms)
        });
        self.now_ms <= quorum_reply_ms + self.options.election_ms
    }

    pub(super) fn handle_append_reply(&mut self, from: u64, reply: AppendReply) {
        let now_ms = self.now_ms;
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(from) else { return };
        progress.last_reply_ms = now_ms;
        if !reply.disk_stalled {
            progress.last_writable_ms = now_ms;
        }
        progress.read_sequence = progress.read_sequence.max(reply.read_sequence);
        if reply.accepted {
            progress.record_accepted(reply.index.min(last));
        } else {
            progress.record_rejected(reply.index);
        }
        let lagging = progress.next_index <= last;
        self.advance_commit();
        self.confirm_reads();
        self.continue_transfer();
        if lagging {
            self.send_append(from, !reply.accepted);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let index = membership::quorum_value(self.configurations.current(), |id| {
            if id == self.id {
                return self.durable_index;
            }
            leadership.progress.get(id).map_or(0, |p| p.match_index)
        });
        if index <= self.commit_index || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit_index = index;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.reads.set_read_index(index);
        }
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let sequence = membership::quorum_value(self.configurations.current(), |id| {
            if id == self.id {
                return leadership.reads.sequence();
            }
            leadership.progress.get(id).map_or(0, |p| p.read_sequence)
        });
        if let Role::Leader(leadership) = &mut self.role {
            self.reads_ready.extend(leadership.reads.confirm(sequence));
        }
    }

    fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(transfer) = &mut leadership.transfer else { return };
        let target = transfer.target;
        let match_index = leadership.progress.get(target).map_or(0, |p| p.match_index);
        if match_index == last && !transfer.timeout_now_sent {
            transfer.timeout_now_sent = true;
            self.send_now(target, Body::TimeoutNow(TimeoutNow {}));
        }
    }

    /// Sends entries appended since the last call, or a due heartbeat, to all
    /// replicas.
    pub(super) fn send_pending_appends(&mut self) {
        let now_ms = self.now_ms;
        let Role::Leader(leadership) = &mut self.role else { return };
        let heartbeat = now_ms >= leadership.next_heartbeat_ms;
        let append = std::mem::take(&mut leadership.append_pending);
        if heartbeat {
            leadership.next_heartbeat_ms = now_ms + self.options.heartbeat_ms;
        }
        if heartbeat || append {
            self.broadcast_append(heartbeat);
        }
    }

    fn broadcast_append(&mut self, heartbeat: bool) {
        let Role::Leader(leadership) = &self.role else { return };
        for id in leadership.progress.ids() {
            if id != self.id {
                self.send_append(id, heartbeat);
            }
        }
    }

    /// Sends the next entries, or a snapshot if they are compacted away. With
    /// `heartbeat`, sends an empty append request if there is nothing to send or the
    /// snapshot is already in flight.
    fn send_append(&mut self, to: u64, heartbeat: bool) {
        let (now_ms, options) = (self.now_ms, self.options);
        let compacted_index = self.log.compacted().index;
        let Role::Leader(leadership) = &mut self.role else { return };
        let read_sequence = leadership.reads.sequence();
        let Some(progress) = leadership.progress.get_mut(to) else { return };
        if progress.next_index <= compacted_index {
            let snapshot_in_flight = progress
                .snapshot_sent_ms
                .is_some_and(|sent_ms| now_ms < sent_ms + options.election_ms);
            if !snapshot_in_flight && self.snapshot.is_some() {
                progress.snapshot_sent_ms = Some(now_ms);
                let snapshot = self.snapshot.clone();
                let request = SnapshotRequest { snapshot, read_sequence };
                self.send_now(to, Body::SnapshotRequest(request));
            } else if heartbeat {
                let request = AppendRequest {
                    commit: self.commit_index,
                    read_sequence,
                    ..Default::default()
                };
                self.send_now(to, Body::AppendRequest(request));
            }
            return;
        }
        let previous_index = progress.next_index - 1;
        let in_flight = previous_index.saturating_sub(progress.match_index);
        let max_entries = options.max_inflight_entries.saturating_sub(in_flight);
        let in_flight_bytes = self.log.command_bytes(progress.first_unanswered(), previous_index);
        let max_bytes = options.max_inflight_bytes.saturating_sub(in_flight_bytes);
        let next_bytes = self.log.command_bytes(progress.next_index, progress.next_index);
        let is_next_too_large = in_flight_bytes > 0 && next_bytes > max_bytes;
        let entries = self.log.slice(
            progress.next_index,
            if is_next_too_large { 0 } else { max_entries },
            options.max_append_bytes.min(max_bytes),
        );
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next_index += entries.len() as u64;
        let request = AppendRequest {
            previous_index,
            previous_term: self.log.term(previous_index).unwrap_or_default(),
            commit: self.commit_index,
            read_sequence,
            entries,
        };
        self.send_now(to, Body::AppendRequest(request));
    }

    fn leadership_for_proposal(&mut self) -> Result<&mut Leadership, ProposeError> {
        match &mut self.role {
            Role::Leader(leadership) if leadership.transfer.is_some() => {
                Err(ProposeError::Transferring)
            }
            Role::Leader(leadership) => Ok(leadership),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate(_) => {
                Err(ProposeError::NotLeader)
            }
        }
    }
}
