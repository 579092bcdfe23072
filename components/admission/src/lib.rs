//! Decides when a request may start at an engine.
//!
//! * [`Estimator`] learns how long outputs get.
//! * [`Ledger`] holds what one engine is doing and forecasts its cache memory.
//! * [`Queue`] orders requests that wait, fairly between workspaces.
//! * [`RetryBudget`] keeps retries from amplifying an outage.
//!
//! Nothing here does input or output; time is passed in.

mod curve;
mod estimator;
mod forecast;
mod ledger;
mod queue;
mod retry;

pub use curve::Curve;
pub use estimator::Estimator;
pub use forecast::{Running, fits, peak_tokens};
pub use ledger::{Ask, Credit, Ledger, LedgerOptions, Reservation};
pub use queue::{Queue, QueueFull, Ticket, TicketId};
pub use retry::RetryBudget;
