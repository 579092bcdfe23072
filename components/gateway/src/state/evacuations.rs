//! Data centres whose upstreams get no new requests, as the control processes report them.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

/// Time after the end of an evacuation for which its upstreams may be cold without having said
/// so: longer than the interval between two announcements.
const UNANNOUNCED_COLD_MS: u64 = 1_500;

/// Newest set of evacuated data centres that any control process reported.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    version: u64,
    data_centres: BTreeSet<CompactString>,
    /// When evacuations ended lately.
    ended_ms: BTreeMap<CompactString, u64>,
}

impl Evacuations {
    /// Returns the version of the set; 0 before any data centre was evacuated.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a data centre is evacuated.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the number of evacuated data centres.
    pub(crate) fn count(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns until when the upstreams of a data centre may be cold as its evacuation has
    /// ended; 0 if none did lately.
    pub(crate) fn cold_until_ms(&self, data_centre: &str) -> u64 {
        self.ended_ms.get(data_centre).map_or(0, |ended_ms| ended_ms + UNANNOUNCED_COLD_MS)
    }

    /// Applies what a control process reports, unless as new a set is known; returns whether
    /// it was applied.
    pub(crate) fn apply(&mut self, version: u64, data_centres: &[String], now_ms: u64) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            self.version = version;
            let evacuated = data_centres.iter().map(CompactString::from).collect();
            let before = std::mem::replace(&mut self.data_centres, evacuated);
            let ended = before.into_iter().filter(|name| !self.data_centres.contains(name));
            self.ended_ms.retain(|_, ended_ms| now_ms < *ended_ms + UNANNOUNCED_COLD_MS);
            self.ended_ms.extend(ended.map(|name| (name, now_ms)));
        }
        is_newer
    }
}

#[cfg(test)]
#[path = "../../tests/unit/evacuations.rs"]
mod tests;
