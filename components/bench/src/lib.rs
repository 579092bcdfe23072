//! Measurements of a running system and of its decisions.

mod caller;
mod latency;
mod load;
mod overhead;
mod policy;
mod slopes;

pub use caller::BenchError;
pub use latency::Latency;
pub use load::{LoadOptions, LoadReport, run_load};
pub use overhead::{OverheadOptions, OverheadReport, run_overhead};
pub use policy::{
    Disturbance, MixName, Policy, PolicyOptions, PolicyRow, run_policies, table, write_plots,
};
pub use slopes::{CommitRate, Slopes, measure_slopes};
