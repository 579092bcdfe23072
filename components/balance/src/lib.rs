//! Choice between upstreams by load, ejection of failing ones, retry budget.
//!
//! Everything here decides without input or output; time is passed in.

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
