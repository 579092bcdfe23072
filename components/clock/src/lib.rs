//! Wall-clock milliseconds driven by the Tokio clock, which tests can pause and
//! advance.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Clock of one process: the wall time at its start, advanced by Tokio's
/// monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_ms: u64,
}

impl Clock {
    /// Creates a clock that starts at the current wall time.
    ///
    /// ```
    /// let clock = clock::Clock::start();
    /// assert!(clock.now_ms() > 1_600_000_000_000);
    /// ```
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Clock { started: Instant::now(), started_ms }
    }

    /// Returns milliseconds since the Unix epoch; never decreases.
    pub fn now_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.started_ms.saturating_add(elapsed_ms)
    }
}
