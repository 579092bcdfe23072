//! Upstreams that requests are sent to.

use std::net::SocketAddr;

use compact_str::CompactString;
use lineage::Origin;

/// Incarnation of an upstream that a request is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    pub(crate) id: CompactString,
    /// Its service and software version.
    pub(crate) origin: Origin,
    pub(crate) address: SocketAddr,
    /// Start time of the incarnation, in Unix milliseconds.
    pub(crate) born_ms: u64,
}

impl Target {
    /// Returns the id and the start time, which no other incarnation has.
    pub(crate) fn incarnation(&self) -> (CompactString, u64) {
        (self.id.clone(), self.born_ms)
    }
}
