//! Daemon that holds the replicated state: published sets, at-most-once
//! records and the membership of entries.
//!
//! One [`actix`] actor, the replica, owns consensus and state; a thread makes
//! its log durable; an endpoint serves requests of entries, operators and
//! other control processes.

mod error;
mod handle;
mod http;
mod metrics;
mod process;
mod replica;
mod storage;

pub use error::StartError;
pub use handle::{AskError, Handle};
pub use process::Control;
