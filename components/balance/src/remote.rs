//! Cost of upstreams in another data centre.

/// Extra cost of any request there, as a share of the cost of a fully loaded upstream.
const REQUEST_COST: f64 = 0.06;
/// Extra cost of each event that crosses the link between data centres.
const EVENT_COST: f64 = 0.001;
/// The extra cost of the longest answers: a local upstream that is fuller by so much is
/// slower than the link.
const MAX_COST: f64 = 0.25;

/// Returns the extra cost of an upstream in another data centre than the caller's gateway,
/// as a share of the cost of a fully loaded one, for an answer of so many events; 0 if that
/// is not known.
///
/// Each event crosses the link, so long answers stay in their data centre, and short ones
/// even out the load between data centres.
///
/// ```
/// assert_eq!(balance::remote_cost(0), 0.06);
/// assert!(balance::remote_cost(3) < 0.07);
/// assert_eq!(balance::remote_cost(100_000), 0.25);
/// ```
pub fn remote_cost(events: u32) -> f64 {
    (REQUEST_COST + f64::from(events) * EVENT_COST).min(MAX_COST)
}
