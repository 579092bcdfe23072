//! Detection of prompt parts and requests under which upstreams crash (queries of death).
//!
//! The crate does no I/O and reads no clock; callers pass in the time.

mod evidence;
mod feature;
mod feature_set;
mod fingerprint;
mod part;
mod recent;

pub use evidence::{Crash, Evidence};
pub use feature::{Feature, InvalidFeature};
pub use feature_set::FeatureSet;
pub use fingerprint::{Fingerprint, RequestIdentity};
pub use part::{InvalidPartId, PartId};
