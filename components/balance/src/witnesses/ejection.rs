//! Ejection of one upstream, at the arbiter and at entries.

use super::TRIAL_MS;

/// Time after an ejection in which only requests that may run again try the upstream.
const CAREFUL_TRIAL_MS: u64 = 2_000;

/// What an ejection means for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionPhase {
    /// No request is sent.
    Ejected,
    /// One request that may run again tries the upstream.
    CarefulTrial,
    /// Any one request tries the upstream.
    Trial,
}

/// Ejection of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ejection {
    /// When requests may try the upstream.
    pub until_ms: u64,
    /// Several entries saw failures.
    pub several: bool,
    /// When the last request was granted that tries it.
    pub(super) tried_ms: Option<u64>,
}

impl Ejection {
    /// Returns what an ejection until `until_ms` means now.
    ///
    /// ```
    /// use balance::{Ejection, EjectionPhase};
    /// assert_eq!(Ejection::phase(1_000, 999), EjectionPhase::Ejected);
    /// assert_eq!(Ejection::phase(1_000, 1_000), EjectionPhase::CarefulTrial);
    /// assert_eq!(Ejection::phase(1_000, 3_000), EjectionPhase::Trial);
    /// ```
    pub fn phase(until_ms: u64, now_ms: u64) -> EjectionPhase {
        if now_ms < until_ms {
            EjectionPhase::Ejected
        } else if now_ms < until_ms + CAREFUL_TRIAL_MS {
            EjectionPhase::CarefulTrial
        } else {
            EjectionPhase::Trial
        }
    }

    /// Returns whether a request may try the upstream: one at a time.
    pub(super) fn may_try(&self, now_ms: u64) -> bool {
        let is_tried = self.tried_ms.is_some_and(|tried_ms| now_ms < tried_ms + TRIAL_MS);
        now_ms >= self.until_ms && !is_tried
    }
}
