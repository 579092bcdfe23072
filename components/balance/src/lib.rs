//! Load balancing between upstreams: least-loaded choice, outlier ejection and
//! retry budgets.
//!
//! The crate does no I/O and reads no clock; callers pass in the time.

mod arbiter;
mod budget;
mod connections;
mod health;
mod load;

pub use arbiter::{Arbiter, Ask, Offer};
pub use budget::{RetryBudget, RetryLimits};
pub use connections::kept_connections;
pub use health::Health;
pub use load::{Candidate, Demand, Loads, Use, sample_size};
