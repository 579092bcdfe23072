//! Ids of streams.

use std::fmt;

/// Id of a stream: SHA-256 over its caller and the id of the request that began it, cut
/// to 64 bits; never 0.
///
/// The caller belongs to it, so that no caller can record an origin for the streams of
/// another one.
///
/// ```
/// use lineage::StreamId;
/// assert_eq!(StreamId::new("desk", "r-1"), StreamId::new("desk", "r-1"));
/// assert_ne!(StreamId::new("desk", "r-1"), StreamId::new("yard", "r-1"));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Computes the id of the stream that the request `request_id` of `caller` began.
    pub fn new(caller: &str, request_id: &str) -> Self {
        StreamId(hashing::id64([caller.as_bytes(), request_id.as_bytes()]))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
