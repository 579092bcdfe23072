//! Timing and size limits of a replica.

/// Timing and size limits of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Interval between the leader's heartbeats. Also the minimum election timeout of a
    /// replica that has just started.
    pub heartbeat_ms: u64,
    /// Minimum election timeout of a running replica. Each timeout is drawn at random between this
    /// and twice this value. The leader also uses it as the interval of quorum
    /// checks and as the timeout of leadership transfers and sent snapshots.
    pub election_ms: u64,
    /// Maximum bytes of commands in one append request. A larger command is sent
    /// on its own.
    pub max_append_bytes: usize,
    /// Maximum number of entries in flight to a replica, that is, sent but not
    /// acknowledged.
    pub max_inflight_entries: u64,
    /// Maximum bytes of commands in flight to a replica. A larger command is sent when
    /// nothing else is in flight.
    pub max_inflight_bytes: usize,
    /// Maximum bytes of compacted commands that stay in memory for replicas that lag.
    pub max_kept_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            heartbeat_ms: 100,
            election_ms: 1_000,
            max_append_bytes: 1 << 20,
            max_inflight_entries: 4_096,
            max_inflight_bytes: 8 << 20,
            max_kept_bytes: 8 << 20,
        }
    }
}
