//! Bounded memory of recent times by part.

use std::collections::HashMap;

use crate::part::PartId;

/// Period after which times begin to be forgotten.
const GENERATION_MS: u64 = 15_000;
/// Parts in one generation; a full generation ends early.
const MAX_PARTS: usize = 65_536;

/// Latest time of an event for each part, for at least [`GENERATION_MS`] unless more
/// than [`MAX_PARTS`] parts are recorded in that time.
#[derive(Debug, Default)]
pub(crate) struct RecentTimes {
    current: HashMap<PartId, u64>,
    previous: HashMap<PartId, u64>,
    started_ms: u64,
}

impl RecentTimes {
    pub(crate) fn record(&mut self, part: PartId, now_ms: u64) {
        if now_ms >= self.started_ms + GENERATION_MS || self.current.len() >= MAX_PARTS {
            self.previous = std::mem::take(&mut self.current);
            self.started_ms = now_ms;
        }
        self.current.insert(part, now_ms);
    }

    /// Returns whether the part was recorded in the last two generations.
    pub(crate) fn contains(&self, part: PartId, now_ms: u64) -> bool {
        let recorded = self.current.get(&part).or_else(|| self.previous.get(&part));
        recorded.is_some_and(|at_ms| now_ms < at_ms + 2 * GENERATION_MS)
    }

    pub(crate) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
