//! Errors of proposals, reads and membership changes.

use displaydoc::Display;

/// Reason for rejecting a proposal, read or membership change. A rejected call
/// has no effect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProposeError {
    /// this replica is not the leader
    NotLeader,
    /// the leader is handing its role over
    Transferring,
    /// an earlier membership change is not committed yet
    ChangePending,
    /// a change may add, remove or promote one voter at a time
    TooManyChanges,
    /// the learner has not caught up with the log yet
    NotCaughtUp,
    /// the group already exists
    AlreadyInitialised,
}

impl std::error::Error for ProposeError {}
