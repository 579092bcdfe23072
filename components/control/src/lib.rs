//! Daemon that holds the replicated state: published object sets and sets of
//! routes, at-most-once records and the membership of entries.
//!
//! One [`actix`] actor, the replica, owns the consensus node and the state
//! machine. A storage thread writes and syncs the log, and a peer endpoint
//! receives requests from entries, operators and other control processes.

mod error;
mod handle;
mod http;
mod metrics;
mod process;
mod replica;
mod storage;

pub use error::StartError;
pub use handle::{EvacuationOrder, Handle, RequestError};
pub use process::Control;
