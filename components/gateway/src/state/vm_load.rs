//! Share of a VM's processor time that a gateway can not get beyond, without I/O.

use std::time::Duration;

/// Delay from which a timer counts as late. Timers have a resolution of 1 ms.
const LATE: Duration = Duration::from_millis(5);
/// Weight of the latest timer in the mean.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Most timers that one delay stands for.
const MAX_MISSED: u32 = 20;

/// Share of the time in which work that is due has to wait, because the process is busy or its
/// VM has no processor time for it: the share of timers that are late.
///
/// Timers must be due at random times, so that they do not keep pace with a period in which
/// processor time is handed out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BusyShare(f64);

impl BusyShare {
    /// Records by how much a timer was late; timers are due each `interval` on average.
    pub(crate) fn record(&mut self, delay: Duration, interval: Duration) {
        let late = if delay < LATE { 0.0 } else { 1.0 };
        let missed = (delay.as_millis() / interval.as_millis().max(1)) as u32;
        for _ in 0..=missed.min(MAX_MISSED) {
            self.0 += SAMPLE_WEIGHT * (late - self.0);
        }
    }

    /// Returns the share, from 0 to 1.
    pub(crate) fn share(self) -> f64 {
        self.0
    }
}

#[cfg(test)]
#[path = "../../tests/unit/vm_load.rs"]
mod tests;
