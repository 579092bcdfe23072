//! Features and crashes that the tests share.

#![allow(dead_code, missing_docs)]

use quarantine::{Crash, Evidence, Feature, FeatureSet, Fingerprint, PartId};

pub const CLASS: Feature = part(0xc1a55);
pub const CALLER: Feature = part(0xca11);
pub const CRASHING: Feature = part(0xdead);
pub const OTHER_CRASHING: Feature = part(0xdead2);
pub const REQUEST: Feature = request(0xf00d);

pub const fn part(id: u64) -> Feature {
    Feature::Part(PartId(id))
}

pub const fn request(id: u64) -> Feature {
    Feature::Request(Fingerprint(id))
}

pub fn crash(upstream: &str, at_ms: u64) -> Crash {
    Crash { upstream: upstream.into(), born_ms: 0, sent_ms: at_ms.saturating_sub(300), at_ms }
}

pub fn set<const N: usize>(parts: [Feature; N]) -> FeatureSet {
    FeatureSet::new(parts)
}

/// Records a crash of each upstream in turn under the same parts, a second apart.
pub fn record_crashes(evidence: &mut Evidence, count: u64, parts: &[Feature]) -> u64 {
    for number in 1..=count {
        let at_ms = number * 1_000;
        evidence.record_crash(crash(&format!("e{number}"), at_ms), parts, at_ms);
    }
    count * 1_000
}
