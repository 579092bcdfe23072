//! Times as they are logged and reported.

use tokio::time::Instant;

/// Returns the milliseconds since a time.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
