//! Replication on the follower: append and snapshot requests.

use schema::consensus_message::Body;
use schema::log_entry::Payload;
use schema::{AppendReply, AppendRequest, LogEntry, Snapshot, SnapshotRequest};

use super::{Node, Role};
use crate::membership::ConfigurationHistory;
use crate::output::LogPosition;

impl Node {
    pub(super) fn handle_append_request(&mut self, from: u64, request: AppendRequest) {
        self.follow_leader(from);
        let read_sequence = request.read_sequence;
        if request.previous_index > self.commit_index
            && self.log.term(request.previous_index) != Some(request.previous_term)
        {
            let index = self.conflict_hint(request.previous_index);
            let reply = self.append_reply(false, index, read_sequence);
            self.send_once_term_durable(from, reply);
            return;
        }
        let has_entries = !request.entries.is_empty();
        let match_index = request.previous_index + request.entries.len() as u64;
        for entry in request.entries {
            self.store_entry(entry);
        }
        let match_index = match_index.max(self.commit_index);
        self.commit_index = self.commit_index.max(request.commit.min(match_index));
        self.acknowledge(from, match_index, read_sequence, has_entries);
    }

    pub(super) fn handle_snapshot_request(&mut self, from: u64, request: SnapshotRequest) {
        self.follow_leader(from);
        let Some(snapshot) = request.snapshot else { return };
        let index = snapshot.index;
        if index > self.commit_index {
            if self.log.term(index) == Some(snapshot.term) {
                self.commit_index = index;
            } else {
                self.install_snapshot(snapshot);
            }
        }
        let index = index.max(self.commit_index);
        self.acknowledge(from, index, request.read_sequence, true);
    }

    /// Acknowledges the request of the leader without waiting for a write in flight, up to
    /// the last durable index, and what the request brought once that is durable.
    fn acknowledge(&mut self, leader_id: u64, index: u64, read_sequence: u64, has_data: bool) {
        let durable_index = self.durable_index.min(index);
        let reply = self.append_reply(true, durable_index, read_sequence);
        self.send_once_term_durable(leader_id, reply);
        if has_data && durable_index < index {
            let reply = self.append_reply(true, index, read_sequence);
            self.send_once_durable(leader_id, reply);
        }
    }

    pub(super) fn append_reply(&self, accepted: bool, index: u64, read_sequence: u64) -> Body {
        let disk_stalled = !self.may_campaign;
        Body::AppendReply(AppendReply { accepted, index, read_sequence, disk_stalled })
    }

    fn follow_leader(&mut self, leader_id: u64) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.term, leader_id);
        }
        self.leader_id = leader_id;
        self.is_starting = false;
        self.last_leader_contact_ms = Some(self.now_ms);
        self.reset_election_deadline();
    }

    /// Returns the index from which the leader continues to look for the last
    /// common entry. It skips the whole conflicting term at once.
    fn conflict_hint(&self, previous_index: u64) -> u64 {
        let last = self.log.last().index;
        if previous_index > last {
            return last;
        }
        self.log.last_index_before_term_of(previous_index).max(self.commit_index)
    }

    /// Appends `entry` unless it is already in the log, and first removes
    /// conflicting entries.
    fn store_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit_index || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.truncate_from(entry.index);
        }
        if let Some(Payload::Configuration(configuration)) = &entry.payload {
            self.configurations.push(entry.index, configuration.clone());
        }
        self.log.append(entry);
    }

    fn truncate_from(&mut self, index: u64) {
        assert!(index > self.commit_index, "committed log entries must not be truncated");
        self.log.truncate_from(index);
        self.configurations.truncate_from(index);
        self.next_batch_index = self.next_batch_index.min(index);
        self.durable_index = self.durable_index.min(index - 1);
        // Acknowledgements of removed entries that were to be written with the next batch.
        self.durable_messages.retain(|message| match &message.body {
            Some(Body::AppendReply(reply)) => !reply.accepted || reply.index < index,
            _ => true,
        });
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let position = LogPosition { term: snapshot.term, index: snapshot.index };
        let configuration = snapshot.configuration.clone().unwrap_or_default();
        self.log.reset(position);
        self.configurations = ConfigurationHistory::new(position.index, configuration);
        self.commit_index = position.index;
        self.durable_index = 0;
        self.next_batch_index = position.index + 1;
        self.snapshot_to_persist = Some(snapshot.clone());
        self.pending_snapshot = Some(snapshot);
    }
}
