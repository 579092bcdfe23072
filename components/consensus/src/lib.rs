//! Replicated log in the manner of Raft.
//!
//! [`Node`] is one replica. It performs no input or output: the driver feeds
//! it messages, proposals and the time, makes [`Batch`]es durable and delivers
//! messages. Tests drive the same code step by step.
//!
//! The driver's contract:
//!
//! 1. [`Node::take_messages`] may be sent at any time.
//! 2. [`Node::take_batch`] is taken only after the previous batch was reported
//!    with [`Node::persisted`]; its messages are sent after the batch is durable.
//! 3. [`Node::take_committed`] is applied in order.

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
pub use node::{Node, Restored};
pub use options::Options;
pub use output::{Applied, Batch, Position, ReadReady};

/// Id of "no replica" in hard state and messages.
pub const NO_REPLICA: u64 = 0;
