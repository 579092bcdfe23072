//! Origins of streams: the service and the software version that began them.
//!
//! What two software versions write into one stream does not fit together. A stream may
//! only go on at the version that began it, in one response and over the tries of its
//! caller. The crate does no I/O and reads no clock; callers pass in the time.

mod origin;
mod origins;
mod report;
mod stream_id;

pub use origin::{Origin, OriginSearch, RecordedOrigin};
pub use origins::Origins;
pub use report::OriginLog;
pub use stream_id::StreamId;
