//! Places requests on upstreams.
//!
//! [`Placer`] is the part of an entry that decides: it owns the ledgers of the
//! upstreams that the entry owns, the directory of all that it knows of, and
//! the queues of requests that wait. It does no input or output: the driver
//! passes in requests, replies and the time, and carries out [`Effect`]s.

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

pub use announce::Announced;
pub use effect::{AskId, Effect};
pub use options::{Mechanisms, PlacerOptions};
pub use placer::{Placer, View};
pub use plain::PlainPlacement;
pub use request::{Acquire, Placement, Release};

pub use admission::TicketId;

/// Time after which a refused request may be repeated.
const RETRY_AFTER_MS: u64 = 1_000;
