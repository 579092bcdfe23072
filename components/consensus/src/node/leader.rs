//! Replication, reads and membership changes as the leader sees them.

use bytes::Bytes;
use schema::consensus_message::Body;
use schema::log_entry::Payload;
use schema::{AppendReply, AppendRequest, Configuration, Noop, SnapshotRequest, TimeoutNow};

use super::{Node, Role};
use crate::membership;
use crate::output::Position;
use crate::progress::ProgressMap;
use crate::read::ReadBarriers;
use crate::{NO_REPLICA, ProposeError};

/// State that a replica holds only while it leads.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) progress: ProgressMap,
    pub(super) reads: ReadBarriers,
    /// Index of the first entry of this term.
    first_index: u64,
    next_heartbeat_ms: u64,
    next_quorum_check_ms: u64,
    transfer: Option<Transfer>,
    /// Entries were appended that were not offered to the replicas yet.
    append_pending: bool,
}

#[derive(Debug)]
struct Transfer {
    to: u64,
    deadline_ms: u64,
    sent: bool,
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        let next = self.log.last().index + 1;
        self.leader_id = self.id;
        let first_index = self.append_local(Payload::Noop(Noop {})).index;
        let mut progress = ProgressMap::default();
        progress.follow(self.memberships.current(), next, self.now_ms);
        self.role = Role::Leader(Leadership {
            progress,
            reads: ReadBarriers::default(),
            first_index,
            next_heartbeat_ms: self.now_ms + self.options.heartbeat_ms,
            next_quorum_check_ms: self.now_ms + self.options.election_ms,
            transfer: None,
            append_pending: true,
        });
    }

    /// Appends a command to the log and returns its position.
    ///
    /// The command is committed only if an entry with this very term appears
    /// at this index in [`Node::take_committed`].
    pub fn propose(&mut self, command: Bytes) -> Result<Position, ProposeError> {
        self.leadership_for_proposal()?.append_pending = true;
        Ok(self.append_local(Payload::Command(command)))
    }

    /// Appends a changed membership to the log.
    pub fn propose_configuration(
        &mut self,
        configuration: Configuration,
    ) -> Result<Position, ProposeError> {
        self.check_configuration(&configuration)?;
        let next = self.log.last().index + 1;
        let now_ms = self.now_ms;
        let leadership = self.leadership_for_proposal()?;
        leadership.append_pending = true;
        leadership.progress.follow(&configuration, next, now_ms);
        Ok(self.append_local(Payload::Configuration(configuration)))
    }

    fn check_configuration(&mut self, configuration: &Configuration) -> Result<(), ProposeError> {
        let commit = self.commit;
        let current = self.memberships.current().clone();
        let changed_at = self.memberships.index();
        let leadership = self.leadership_for_proposal()?;
        if changed_at > commit || leadership.first_index > commit {
            return Err(ProposeError::ChangePending);
        }
        if !membership::voters_differ_by_at_most_one(&current, configuration)
            || membership::voter_count(configuration) == 0
        {
            return Err(ProposeError::TooManyChanges);
        }
        for replica in membership::voters(configuration) {
            let promoted = !membership::is_voter(&current, replica.id);
            let matched = leadership.progress.get(replica.id).map_or(0, |p| p.matched);
            if promoted && matched < commit {
                return Err(ProposeError::NotCaughtUp);
            }
        }
        Ok(())
    }

    /// Opens a read barrier; its id appears in [`Node::take_reads`] once a
    /// quorum confirmed that this replica still leads.
    pub fn read_barrier(&mut self) -> Result<u64, ProposeError> {
        let commit = self.commit;
        let id = self.next_read_id;
        let Role::Leader(leadership) = &mut self.role else {
            return Err(ProposeError::NotLeader);
        };
        self.next_read_id += 1;
        let index = (commit >= leadership.first_index).then_some(commit);
        leadership.reads.open(id, index);
        leadership.next_heartbeat_ms = self.now_ms;
        self.confirm_reads();
        Ok(id)
    }

    /// Hands leadership to the voter that has caught up furthest.
    pub fn transfer_leadership(&mut self) -> Result<(), ProposeError> {
        let others = self.other_voters();
        let deadline_ms = self.now_ms + self.options.election_ms;
        let leadership = self.leadership_for_proposal()?;
        let matched = |id: &u64| leadership.progress.get(*id).map_or(0, |p| p.matched);
        let Some(to) = others.into_iter().max_by_key(matched) else {
            return Err(ProposeError::NotCaughtUp);
        };
        leadership.transfer = Some(Transfer { to, deadline_ms, sent: false });
        self.continue_transfer();
        Ok(())
    }

    /// Returns the last index known to be durable on a replica.
    pub fn matched(&self, id: u64) -> Option<u64> {
        match &self.role {
            Role::Leader(_) if id == self.id => Some(self.durable),
            Role::Leader(leadership) => leadership.progress.get(id).map(|p| p.matched),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => None,
        }
    }

    /// Returns how long a replica has not replied to this leader.
    pub fn silence_ms(&self, id: u64) -> Option<u64> {
        match &self.role {
            Role::Leader(_) if id == self.id => Some(0),
            Role::Leader(leadership) => {
                leadership.progress.get(id).map(|p| self.now_ms.saturating_sub(p.last_reply_ms))
            }
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => None,
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
        if check_due && !self.hears_quorum() {
            self.become_follower(self.term, NO_REPLICA);
            return;
        }
        if heartbeat_due {
            self.send_to_all(true);
        }
    }

    fn hears_quorum(&self) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let last_heard_ms = membership::quorum_value(self.memberships.current(), |id| {
            if id == self.id {
                return self.now_ms;
            }
            leadership.progress.get(id).map_or(0, |p| p.last_reply_ms)
        });
        self.now_ms <= last_heard_ms + self.options.election_ms
    }

    pub(super) fn handle_append_reply(&mut self, from: u64, reply: AppendReply) {
        let now_ms = self.now_ms;
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(from) else { return };
        progress.last_reply_ms = now_ms;
        progress.read_sequence = progress.read_sequence.max(reply.read_sequence);
        if reply.accepted {
            progress.accepted(reply.index.min(last));
        } else {
            progress.rejected(reply.index);
        }
        let behind = progress.next <= last;
        self.advance_commit();
        self.confirm_reads();
        self.continue_transfer();
        if behind {
            self.send_append(from, !reply.accepted);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let index = membership::quorum_value(self.memberships.current(), |id| {
            if id == self.id {
                return self.durable;
            }
            leadership.progress.get(id).map_or(0, |p| p.matched)
        });
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.reads.set_index(index);
        }
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let sequence = membership::quorum_value(self.memberships.current(), |id| {
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
        let to = transfer.to;
        let matched = leadership.progress.get(to).map_or(0, |p| p.matched);
        if matched == last && !transfer.sent {
            transfer.sent = true;
            self.send_now(to, Body::TimeoutNow(TimeoutNow {}));
        }
    }

    /// Offers entries appended since the last call to all replicas.
    pub(super) fn send_pending_appends(&mut self) {
        let now_ms = self.now_ms;
        let Role::Leader(leadership) = &mut self.role else { return };
        let heartbeat = now_ms >= leadership.next_heartbeat_ms;
        let append = std::mem::take(&mut leadership.append_pending);
        if heartbeat {
            leadership.next_heartbeat_ms = now_ms + self.options.heartbeat_ms;
        }
        if heartbeat || append {
            self.send_to_all(heartbeat);
        }
    }

    fn send_to_all(&mut self, heartbeat: bool) {
        let Role::Leader(leadership) = &self.role else { return };
        for id in leadership.progress.ids() {
            if id != self.id {
                self.send_append(id, heartbeat);
            }
        }
    }

    /// Sends the next entries, a snapshot, or with `heartbeat` an empty request.
    fn send_append(&mut self, to: u64, heartbeat: bool) {
        let (now_ms, options) = (self.now_ms, self.options);
        let base = self.log.base().index;
        let Role::Leader(leadership) = &mut self.role else { return };
        let read_sequence = leadership.reads.sequence();
        let Some(progress) = leadership.progress.get_mut(to) else { return };
        if progress.next <= base {
            let in_flight = progress
                .snapshot_sent_ms
                .is_some_and(|sent_ms| now_ms < sent_ms + options.election_ms);
            if !in_flight && self.snapshot.is_some() {
                progress.snapshot_sent_ms = Some(now_ms);
                let snapshot = self.snapshot.clone();
                let request = SnapshotRequest { snapshot, read_sequence };
                self.send_now(to, Body::SnapshotRequest(request));
            } else if heartbeat {
                let request =
                    AppendRequest { commit: self.commit, read_sequence, ..Default::default() };
                self.send_now(to, Body::AppendRequest(request));
            }
            return;
        }
        let in_flight = progress.next - 1 - progress.matched.min(progress.next - 1);
        let room = options.max_inflight_entries.saturating_sub(in_flight);
        let previous_index = progress.next - 1;
        let entries = self.log.slice(progress.next, room, options.max_append_bytes);
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next += entries.len() as u64;
        let request = AppendRequest {
            previous_index,
            previous_term: self.log.term(previous_index).unwrap_or_default(),
            commit: self.commit,
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
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => {
                Err(ProposeError::NotLeader)
            }
        }
    }
}
