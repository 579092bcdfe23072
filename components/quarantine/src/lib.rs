//! Detection of prompt parts under which upstreams crash (queries of death).
//!
//! The crate does no I/O and reads no clock; callers pass in the time.

mod evidence;
mod part;
mod part_set;
mod recent;

pub use evidence::{Crash, Evidence};
pub use part::{InvalidPartId, PartId};
pub use part_set::PartSet;
