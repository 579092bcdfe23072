//! Replication as a follower sees it.

use schema::consensus_message::Body;
use schema::log_entry::Payload;
use schema::{AppendReply, AppendRequest, LogEntry, Snapshot, SnapshotRequest};

use super::{Node, Role};
use crate::membership::Memberships;
use crate::output::Position;

impl Node {
    pub(super) fn handle_append_request(&mut self, from: u64, request: AppendRequest) {
        self.follow(from);
        let read_sequence = request.read_sequence;
        if request.previous_index > self.commit
            && self.log.term(request.previous_index) != Some(request.previous_term)
        {
            let index = self.search_hint(request.previous_index);
            let reply = AppendReply { accepted: false, index, read_sequence };
            self.send_durable(from, Body::AppendReply(reply));
            return;
        }
        let matched = request.previous_index + request.entries.len() as u64;
        for entry in request.entries {
            self.store_entry(entry);
        }
        let matched = matched.max(self.commit);
        self.commit = self.commit.max(request.commit.min(matched));
        let reply = AppendReply { accepted: true, index: matched, read_sequence };
        self.send_durable(from, Body::AppendReply(reply));
    }

    pub(super) fn handle_snapshot_request(&mut self, from: u64, request: SnapshotRequest) {
        self.follow(from);
        let Some(snapshot) = request.snapshot else { return };
        let index = snapshot.index;
        if index > self.commit {
            if self.log.term(index) == Some(snapshot.term) {
                self.commit = index;
            } else {
                self.install(snapshot);
            }
        }
        let index = index.max(self.commit);
        let reply = AppendReply { accepted: true, index, read_sequence: request.read_sequence };
        self.send_durable(from, Body::AppendReply(reply));
    }

    fn follow(&mut self, leader_id: u64) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.term, leader_id);
        }
        self.leader_id = leader_id;
        self.leader_contact_ms = Some(self.now_ms);
        self.reset_election_deadline();
    }

    /// Returns the index at which the leader continues to search for a match.
    fn search_hint(&self, previous_index: u64) -> u64 {
        let last = self.log.last().index;
        if previous_index > last {
            return last;
        }
        self.log.before_term_of(previous_index).max(self.commit)
    }

    /// Appends `entry` and drops whatever conflicts with it.
    fn store_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.truncate(entry.index);
        }
        if let Some(Payload::Configuration(configuration)) = &entry.payload {
            self.memberships.push(entry.index, configuration.clone());
        }
        self.log.append(entry);
    }

    fn truncate(&mut self, index: u64) {
        assert!(index > self.commit, "a committed entry would be truncated");
        self.log.truncate(index);
        self.memberships.truncate(index);
        self.unbatched = self.unbatched.min(index);
        self.durable = self.durable.min(index - 1);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let base = Position { term: snapshot.term, index: snapshot.index };
        let configuration = snapshot.configuration.clone().unwrap_or_default();
        self.log.reset(base);
        self.memberships = Memberships::new(base.index, configuration);
        self.commit = base.index;
        self.durable = 0;
        self.unbatched = base.index + 1;
        self.unbatched_snapshot = Some(snapshot.clone());
        self.installing = Some(snapshot);
    }
}
