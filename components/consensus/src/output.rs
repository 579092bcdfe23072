//! What a replica asks its driver to do.

use schema::{Configuration, ConsensusMessage, HardState, LogEntry, Snapshot};

/// Place of an entry in the log.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// Data to make durable in one sync, and messages that wait for it.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Hard state to store, if it changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the whole log, if one was received.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; the first one replaces all entries from its index on.
    pub entries: Vec<LogEntry>,
    /// Messages that promise what this batch makes durable.
    pub messages: Vec<ConsensusMessage>,
    /// Last position of the log once the batch is durable.
    pub last: Position,
}

impl Batch {
    /// Returns whether nothing has to be written.
    pub fn needs_no_sync(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Committed change for the driver's state machine.
#[derive(Clone, Debug)]
pub enum Applied {
    /// Replace the whole state.
    Snapshot(Snapshot),
    /// Apply a command.
    Command(Position, bytes::Bytes),
    /// The membership changed.
    Configuration(Position, Configuration),
    /// A new leader's first entry.
    Noop(Position),
}

/// Read barrier that a quorum has confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadReady {
    /// Id returned by [`crate::Node::read_barrier`].
    pub id: u64,
    /// Index that must be applied before the read is served.
    pub index: u64,
}
