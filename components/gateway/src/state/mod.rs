//! What a gateway knows of upstreams, requests and streams, without I/O.

mod leaving;
mod limits;
mod origins;
mod quarantine;

pub(crate) use leaving::LeavingUpstreams;
pub(crate) use limits::KnownLimits;
pub(crate) use origins::LocalOrigins;
pub(crate) use quarantine::{AnsweredFeatures, MAX_HOLD, Quarantine};
