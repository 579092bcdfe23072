//! Settings of a placer.

use compact_str::CompactString;

/// Settings of a placer.
#[derive(Clone, Debug)]
pub struct PlacerOptions {
    /// VM of the entry.
    pub vm: CompactString,
    /// Data centre of the VM.
    pub data_centre: CompactString,
    /// Random number of this start of the process.
    pub epoch: u64,
    /// Address to which owned upstreams announce themselves.
    pub http_address: CompactString,
    /// Life of an announcement.
    pub upstream_lease_ms: u64,
    /// Life of a credit.
    pub credit_lease_ms: u64,
    /// Most requests that wait in one service's queue.
    pub max_waiting: usize,
    /// Most upstreams that the entry owns.
    pub max_upstreams: usize,
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
}

/// Mechanisms that a measurement can switch off one by one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Admit by the forecast of cache memory, and not only by free slots.
    pub forecast: bool,
    /// Prefer the engine that ran a prompt's prefix.
    pub affinity: bool,
    /// Serve workspaces by tokens received, and not in order of arrival.
    pub fairness: bool,
    /// Keep reserved shares of each cache free.
    pub reservations: bool,
    /// Refuse a request that is expected to wait too long.
    pub early_refusal: bool,
    /// Let requests that are late give way to those that can be on time.
    pub deadlines: bool,
    /// Pause with jitter after an attempt that found no room.
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
