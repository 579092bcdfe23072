//! Benchmarks of a running deployment, of the placement policy and of unit costs.

mod caller;
mod latency;
mod load;
mod overhead;
mod policy;
mod shared_costs;
mod slopes;

pub use caller::BenchError;
pub use latency::LatencyHistogram;
pub use load::{LoadOptions, LoadReport, run_load};
pub use overhead::{OverheadOptions, OverheadReport, run_overhead};
pub use policy::{
    Disturbance, MixName, Policy, PolicyOptions, PolicyRow, render_table, run_policies, write_plots,
};
pub use shared_costs::SharedCosts;
pub use slopes::{CommitRate, UnitCosts, measure_unit_costs};
