//! Detection of prompt parts under which upstreams crash (queries of death).
//!
//! The crate does no I/O and reads no clock; callers pass in the time.

mod part;

pub use part::{InvalidPartId, PartId};
