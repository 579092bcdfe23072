//! Stand-in for a model engine.

pub mod batch;
pub mod http;

pub use batch::{Batch, BatchOptions, Faults};
pub use http::{EngineOptions, serve};
