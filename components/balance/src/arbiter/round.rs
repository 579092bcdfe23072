//! One scheduling round of the arbiter.

use crate::load::Loads;
use crate::speed::MeanSpeed;

/// What one scheduling round knows and counts.
pub(super) struct Round {
    pub(super) now_ms: u64,
    pub(super) loads: Loads,
    pub(super) mean_speed: MeanSpeed,
    /// Requests that found no capacity so far.
    pub(super) ahead: usize,
}

impl Round {
    pub(super) fn new(now_ms: u64, loads: Loads, mean_speed: MeanSpeed) -> Self {
        Round { now_ms, loads, mean_speed, ahead: 0 }
    }
}
