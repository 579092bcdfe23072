//! Places requests on upstreams.
//!
//! [`Placer`] holds the placement state of an entry: the ledgers of the engines
//! that the entry owns, the directory of all upstreams that it knows of, and
//! the queues of waiting requests. It does no I/O: the driver passes in
//! requests, replies and the time, and executes the returned [`Effect`]s.

mod acquire;
mod announce;
mod credits;
mod digest;
mod effect;
mod options;
mod placer;
mod plain;
mod request;
mod service;
mod state;

pub use announce::AnnounceOutcome;
pub use effect::{CreditRequestId, Effect};
pub use options::{Mechanisms, PlacerOptions};
pub use placer::{DeploymentView, Placer};
pub use plain::PlainPlacement;
pub use request::{Placement, PlacementRequest, Release};

pub use admission::TicketId;

/// Time after which callers may retry a refused request.
const RETRY_AFTER_MS: u64 = 1_000;
