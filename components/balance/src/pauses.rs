//! Times until which upstreams want no requests.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

/// Longest pause; longer ones count as this.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start time of the incarnation that asked for it, in Unix milliseconds.
    born_ms: u64,
    until_ms: u64,
}

/// Upstreams that turned a request away and named a time until which they want none.
///
/// ```
/// use std::time::Duration;
/// use balance::Pauses;
/// let mut pauses = Pauses::default();
/// pauses.record("e1", 5, Duration::from_secs(2), 10_000);
/// assert_eq!(pauses.remaining_ms("e1", 5, 11_500), 500);
/// assert_eq!(pauses.remaining_ms("e1", 5, 12_000), 0);
/// ```
#[derive(Debug, Default)]
pub struct Pauses(HashMap<CompactString, Pause>);

impl Pauses {
    /// Records that an incarnation wants no requests for a time from `now_ms` on, an hour
    /// at most. A later answer replaces an earlier one.
    pub fn record(&mut self, upstream: &str, born_ms: u64, pause: Duration, now_ms: u64) {
        let pause_ms = u64::try_from(pause.min(MAX_PAUSE).as_millis()).unwrap_or(u64::MAX);
        let until_ms = now_ms.saturating_add(pause_ms);
        self.0.retain(|_, pause| now_ms < pause.until_ms);
        self.0.insert(upstream.into(), Pause { born_ms, until_ms });
    }

    /// Returns for how long the incarnation wants no requests; 0 if it takes them.
    pub fn remaining_ms(&self, upstream: &str, born_ms: u64, now_ms: u64) -> u64 {
        let pause = self.0.get(upstream).filter(|pause| pause.born_ms == born_ms);
        pause.map_or(0, |pause| pause.until_ms.saturating_sub(now_ms))
    }
}
