//! Replication progress of the replicas, as tracked by the leader.

use std::collections::BTreeMap;

use schema::Configuration;

/// Replication progress of one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Last index known to be durable on the replica.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// First index that may have been sent since the replica is tracked.
    first_sent_index: u64,
    /// Time of the last reply in this term; before the first one, the time at which
    /// the leader began to track the replica.
    pub(crate) last_reply_ms: u64,
    /// The same of the last reply that reported a disk that accepts writes.
    pub(crate) last_writable_ms: u64,
    /// Highest read sequence number that the replica acknowledged.
    pub(crate) read_sequence: u64,
    /// Time at which a snapshot was sent that is not acknowledged yet.
    pub(crate) snapshot_sent_ms: Option<u64>,
}

impl Progress {
    fn new(next_index: u64, now_ms: u64) -> Self {
        Progress {
            match_index: 0,
            next_index,
            first_sent_index: next_index,
            last_reply_ms: now_ms,
            last_writable_ms: now_ms,
            read_sequence: 0,
            snapshot_sent_ms: None,
        }
    }

    /// Records that the replica acknowledged all entries up to `index`.
    pub(crate) fn record_accepted(&mut self, index: u64) {
        if index > self.match_index {
            self.match_index = index;
            self.snapshot_sent_ms = None;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Moves the next index back to right after the replica's hint when the logs do
    /// not match, but not to an acknowledged entry.
    pub(crate) fn record_rejected(&mut self, hint_index: u64) {
        self.next_index = self.next_index.min(hint_index + 1).max(self.match_index + 1);
        self.first_sent_index = self.first_sent_index.min(self.next_index);
        self.snapshot_sent_ms = None;
    }

    /// Returns the first index that may have been sent and is not acknowledged.
    pub(crate) fn first_unanswered(&self) -> u64 {
        self.first_sent_index.max(self.match_index + 1)
    }
}

/// Progress of all replicas of a configuration.
#[derive(Debug, Default)]
pub(crate) struct ProgressMap {
    replicas: BTreeMap<u64, Progress>,
}

impl ProgressMap {
    /// Starts tracking new members and stops tracking removed ones.
    pub(crate) fn update_members(
        &mut self,
        configuration: &Configuration,
        next_index: u64,
        now_ms: u64,
    ) {
        self.replicas.retain(|id, _| configuration.replicas.iter().any(|r| r.id == *id));
        for replica in &configuration.replicas {
            self.replicas.entry(replica.id).or_insert_with(|| Progress::new(next_index, now_ms));
        }
    }

    pub(crate) fn get(&self, id: u64) -> Option<&Progress> {
        self.replicas.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut Progress> {
        self.replicas.get_mut(&id)
    }

    pub(crate) fn ids(&self) -> Vec<u64> {
        self.replicas.keys().copied().collect()
    }
}
