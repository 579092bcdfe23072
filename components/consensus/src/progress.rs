//! What a leader knows of the other replicas.

use std::collections::BTreeMap;

use schema::Configuration;

/// Replication progress of one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Last index known to be durable on the replica.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Time of the last reply in this term.
    pub(crate) last_reply_ms: u64,
    /// Highest read sequence that the replica confirmed.
    pub(crate) read_sequence: u64,
    /// Time at which an unanswered snapshot was sent.
    pub(crate) snapshot_sent_ms: Option<u64>,
}

impl Progress {
    fn new(next: u64, now_ms: u64) -> Self {
        Progress {
            matched: 0,
            next,
            last_reply_ms: now_ms,
            read_sequence: 0,
            snapshot_sent_ms: None,
        }
    }

    pub(crate) fn accepted(&mut self, index: u64) {
        if index > self.matched {
            self.matched = index;
            self.snapshot_sent_ms = None;
        }
        self.next = self.next.max(self.matched + 1);
    }

    pub(crate) fn rejected(&mut self, hint: u64) {
        self.next = self.next.min(hint + 1).max(self.matched + 1);
        self.snapshot_sent_ms = None;
    }
}

/// Progress of all replicas of a configuration.
#[derive(Debug, Default)]
pub(crate) struct ProgressMap {
    replicas: BTreeMap<u64, Progress>,
}

impl ProgressMap {
    /// Starts to track new members and forgets removed ones.
    pub(crate) fn follow(&mut self, configuration: &Configuration, next: u64, now_ms: u64) {
        self.replicas.retain(|id, _| configuration.replicas.iter().any(|r| r.id == *id));
        for replica in &configuration.replicas {
            self.replicas.entry(replica.id).or_insert_with(|| Progress::new(next, now_ms));
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
