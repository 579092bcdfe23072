//! Tunables of a replica.

/// Time and size bounds of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Interval between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Shortest time without a leader before an election; the real one is
    /// drawn between this and twice this.
    pub election_ms: u64,
    /// Most bytes of commands in one append request.
    pub max_append_bytes: usize,
    /// Most entries sent to a replica beyond its last acknowledgement.
    pub max_inflight_entries: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            heartbeat_ms: 100,
            election_ms: 1_000,
            max_append_bytes: 1 << 20,
            max_inflight_entries: 4_096,
        }
    }
}
