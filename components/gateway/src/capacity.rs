//! Shares of an upstream's capacity that requests may take.

/// Share of an engine's slots and KV cache that new requests may commit.
pub(crate) const ENGINE_LOAD_LIMIT: f64 = 1.0;
/// Share of an engine's slots and KV cache that moved generations may commit:
/// they cannot wait.
pub(crate) const MOVE_LOAD_LIMIT: f64 = 1.1;
/// Requests per slot of a plain service, which queues a few beyond its slots.
pub(crate) const PLAIN_LOAD_LIMIT: f64 = 4.0;

/// Returns the maximum number of requests placed at an upstream with `slots`.
pub(crate) fn max_in_flight(slots: u32, engine: bool) -> u32 {
    let load_limit = if engine { MOVE_LOAD_LIMIT } else { PLAIN_LOAD_LIMIT };
    (f64::from(slots) * load_limit).ceil() as u32
}
