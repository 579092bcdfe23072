//! Raft-style replicated log with pre-vote, read index and leadership transfer.
//!
//! [`Node`] is one replica. It performs no I/O: the driver passes in received
//! messages, proposals and the current time, persists each [`Batch`] and sends
//! outgoing messages. Tests drive the same code step by step.
//!
//! The driver must follow these rules:
//!
//! 1. Messages from [`Node::take_messages`] may be sent at any time.
//! 2. [`Node::take_batch`] is called only after the previous batch was reported
//!    with [`Node::persisted`]. The messages of a batch are sent only once the
//!    batch is durable.
//! 3. Changes from [`Node::take_committed`] are applied in order.

mod error;
mod log;
mod membership;
mod node;
mod options;
mod output;
mod progress;
mod read;
mod votes;

pub use error::ProposeError;
pub use membership::{voter_count, voters_differ_by_at_most_one};
pub use node::{Node, PersistedState};
pub use options::Options;
pub use output::{Batch, CommittedChange, LogPosition, ReadReady};

/// Replica id that means "none": no vote in the hard state, or no known leader.
pub const NO_REPLICA: u64 = 0;
