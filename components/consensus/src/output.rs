//! Output of a replica that the driver has to process.

use schema::{Configuration, ConsensusMessage, HardState, LogEntry, Snapshot};

/// Position of an entry in the log.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogPosition {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// Data to persist with one sync, and messages to send once it is durable.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Hard state to persist, if it changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the complete log, if one was received.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; the first one replaces all entries from its index on.
    pub entries: Vec<LogEntry>,
    /// Votes, acknowledgements and other messages that rely on this batch being
    /// durable.
    pub messages: Vec<ConsensusMessage>,
    /// Position of the last log entry once the batch is durable.
    pub last: LogPosition,
}

impl Batch {
    /// Returns whether the batch holds only messages and nothing to write.
    pub fn needs_no_sync(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Committed change for the driver's state machine.
#[derive(Clone, Debug)]
pub enum CommittedChange {
    /// Replace the state by a snapshot received from the leader.
    Snapshot(Snapshot),
    /// Apply a command.
    Command(LogPosition, bytes::Bytes),
    /// The membership changed.
    Configuration(LogPosition, Configuration),
    /// Entry without effect that a new leader appends first.
    Noop(LogPosition),
}

/// Linearizable read for which a quorum has confirmed the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadReady {
    /// Id returned by [`crate::Node::request_read_index`].
    pub id: u64,
    /// Read index: the read is served once this index is applied.
    pub index: u64,
}
