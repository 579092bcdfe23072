//! What must hold at each step.

use std::collections::BTreeMap;

use bytes::Bytes;
use consensus::{Node, Position};

/// Facts collected from all replicas.
#[derive(Debug, Default)]
pub struct Invariants {
    leaders: BTreeMap<u64, u64>,
    applied: BTreeMap<u64, (u64, Bytes)>,
    highest_commit: u64,
}

impl Invariants {
    /// At most one replica leads in a term.
    pub fn check_leader(&mut self, seed: u64, node: &Node) {
        if !node.is_leader() {
            return;
        }
        let leader = *self.leaders.entry(node.term()).or_insert(node.id());
        assert_eq!(leader, node.id(), "seed {seed}: two leaders in term {}", node.term());
    }

    /// All replicas apply the same entry at an index.
    pub fn check_applied(&mut self, seed: u64, at: Position, payload: Bytes) {
        let entry = (at.term, payload);
        let first = self.applied.entry(at.index).or_insert_with(|| entry.clone());
        assert_eq!(*first, entry, "seed {seed}: replicas differ at index {}", at.index);
        self.highest_commit = self.highest_commit.max(at.index);
    }

    /// A read sees everything that was applied anywhere before it began.
    pub fn check_read(&self, seed: u64, began_after: u64, index: u64) {
        assert!(index >= began_after, "seed {seed}: read at {index} misses commit {began_after}");
    }

    /// Returns the state up to an index, as bytes of a snapshot.
    pub fn state_at(&self, index: u64) -> Bytes {
        let entries = self.applied.range(..=index);
        let text: Vec<String> =
            entries.map(|(index, (term, payload))| format!("{index}:{term}:{payload:?}")).collect();
        Bytes::from(text.join("\n"))
    }

    pub fn highest_commit(&self) -> u64 {
        self.highest_commit
    }

    pub fn committed(&self) -> usize {
        self.applied.len()
    }

    pub fn elections(&self) -> usize {
        self.leaders.len()
    }
}
