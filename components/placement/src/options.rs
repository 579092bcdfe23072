//! Options of a placer.

use compact_str::CompactString;

/// Options of a placer.
#[derive(Clone, Debug)]
pub struct PlacerOptions {
    /// VM of the entry.
    pub vm: CompactString,
    /// Data centre of the VM.
    pub data_centre: CompactString,
    /// Random number drawn at each start of the process.
    pub epoch: u64,
    /// HTTP address at which owned upstreams announce themselves.
    pub http_address: CompactString,
    /// Time to live of an announcement unless renewed.
    pub upstream_lease_ms: u64,
    /// Time to live of a credit unless renewed.
    pub credit_lease_ms: u64,
    /// Maximum requests waiting in the queue of one service.
    pub max_waiting: usize,
    /// Maximum upstreams that the entry owns.
    pub max_upstreams: usize,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
}

/// Mechanisms that benchmarks can disable one by one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Admit by the forecast of KV cache usage, not only by free slots.
    pub forecast: bool,
    /// Prefer the engine that last ran a prompt with the same prefix.
    pub affinity: bool,
    /// Schedule workspaces fairly by served tokens, rather than in order of arrival.
    pub fairness: bool,
    /// Keep the reserved shares of each engine free for their priorities.
    pub reservations: bool,
    /// Refuse a request on arrival if its expected wait exceeds the maximum.
    pub early_refusal: bool,
    /// Serve requests that can still meet their deadline before late ones.
    pub deadlines: bool,
    /// Add jitter to the delay after an attempt that found no capacity.
    pub jitter: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            forecast: true,
            affinity: true,
            fairness: true,
            reservations: true,
            early_refusal: true,
            deadlines: true,
            jitter: true,
        }
    }
}
