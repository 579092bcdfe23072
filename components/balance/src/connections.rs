//! Share of an upstream's connections.

/// Returns how many idle connections to one upstream an entry may keep.
///
/// The upstream accepts `accepted` connections from all `entries` together, 0
/// if no bound is known. `places` of them are left to requests in progress,
/// which the placement bounds; the entries share the rest evenly.
///
/// ```
/// # use balance::kept_connections;
/// assert_eq!(kept_connections(252, 24, 12), 19);
/// // Each request needs a new connection rather than one too many.
/// assert_eq!(kept_connections(60, 24, 74), 0);
/// assert_eq!(kept_connections(0, 24, 74), u32::MAX);
/// ```
pub fn kept_connections(accepted: u32, places: u32, entries: u32) -> u32 {
    match accepted {
        0 => u32::MAX,
        accepted => accepted.saturating_sub(places) / entries.max(1),
    }
}
