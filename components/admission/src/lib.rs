//! Admission control for generations on engines.
//!
//! * [`Estimator`] estimates the distribution of output lengths.
//! * [`Ledger`] tracks the credits of one engine and forecasts its KV cache usage.
//! * [`Queue`] schedules waiting requests fairly between workspaces.
//! * [`RetryTokenBucket`] limits retries, so that they do not amplify an outage.
//!
//! The crate does no I/O and reads no clock; callers pass in the time.

mod curve;
mod estimator;
mod forecast;
mod ledger;
mod queue;
mod retry;

pub use curve::SurvivalCurve;
pub use estimator::Estimator;
pub use forecast::{RunningGeneration, fits_in_cache, peak_tokens};
pub use ledger::{Credit, GrantRequest, Ledger, LedgerOptions, Reservation};
pub use queue::{Queue, QueueFull, Ticket, TicketId};
pub use retry::RetryTokenBucket;
