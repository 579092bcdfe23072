//! Newtypes for names, ids, sizes and durations.
//!
//! Each type formats with [`std::fmt::Display`] and parses with
//! [`std::str::FromStr`], so that it can be used in settings, logs and URLs.

mod generation;
mod name;
mod size;

pub use generation::{EventId, GenerationId};
pub use name::{
    DataCentre, InvalidName, MAX_NAME_BYTES, Name, ServiceName, UpstreamName, VmName, WorkspaceName,
};
pub use size::{Bytes, InvalidNumber, Millis, Tokens};
