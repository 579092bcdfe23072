//! When upstreams were first known to leave.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

/// Time after which a departure is forgotten; far longer than any upstream takes to leave.
const RETENTION: Duration = Duration::from_secs(120);

/// Upstreams that drain or are gone, and since when this gateway has known that.
#[derive(Debug, Default)]
pub(crate) struct Departures(HashMap<CompactString, Instant>);

impl Departures {
    /// Records that an upstream drains or is gone, unless that is known.
    pub(crate) fn record(&mut self, id: &CompactString) {
        self.0.retain(|_, since| since.elapsed() < RETENTION);
        self.0.entry(id.clone()).or_insert_with(Instant::now);
    }

    /// Forgets an upstream of which a new incarnation has joined.
    pub(crate) fn forget(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Returns how long an upstream has been known to leave; `None` if it does not.
    pub(crate) fn elapsed(&self, id: &str) -> Option<Duration> {
        self.0.get(id).map(Instant::elapsed)
    }
}
