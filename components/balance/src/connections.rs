//! Limit on idle connections to an upstream.

/// Returns how many idle connections to one upstream an entry may keep open.
///
/// The upstream accepts `max_connections` connections from all `entries`
/// together; 0 means that no limit is known. `max_in_flight` of them are left
/// for requests in flight, which placement limits; the rest is split evenly
/// between the entries.
///
/// ```
/// # use balance::max_idle_connections;
/// assert_eq!(max_idle_connections(252, 24, 12), 19);
/// // Each request opens a new connection rather than exceed the limit.
/// assert_eq!(max_idle_connections(60, 24, 74), 0);
/// assert_eq!(max_idle_connections(0, 24, 74), u32::MAX);
/// ```
pub fn max_idle_connections(max_connections: u32, max_in_flight: u32, entries: u32) -> u32 {
    match max_connections {
        0 => u32::MAX,
        limit => limit.saturating_sub(max_in_flight) / entries.max(1),
    }
}
