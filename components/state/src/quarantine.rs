//! Sets of features under quarantine.

use std::collections::BTreeMap;

use ::quarantine::{Feature, FeatureSet};
use schema::{LiftQuarantine, QuarantineParts, QuarantinedParts};

/// Duration of the first quarantine of a set; each further one lasts
/// [`BACKOFF_FACTOR`] times as long, up to the maximum.
const BASE_DURATION_MS: u64 = 120_000;
const BACKOFF_FACTOR: u64 = 4;
const MAX_DURATION_MS: u64 = 24 * 3_600_000;
/// Time after the end of a quarantine for which it lengthens the next one, as a multiple
/// of its duration.
const MEMORY_FACTOR: u64 = 2;
/// Sets that are kept; beyond it, the quarantine that ends first is dropped.
const MAX_SETS: usize = 4_096;

/// Sets of features that are, or were lately, under quarantine.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_features: BTreeMap<FeatureSet, QuarantinedParts>,
}

impl Quarantine {
    /// Returns all sets that are, or were lately, under quarantine.
    pub fn iter(&self) -> impl Iterator<Item = &QuarantinedParts> {
        self.by_features.values()
    }

    /// Returns the features of all sets that are, or were lately, under quarantine.
    pub fn sets(&self) -> impl Iterator<Item = &FeatureSet> {
        self.by_features.keys()
    }

    /// Returns the sets under quarantine at `now_ms`.
    pub fn active(&self, now_ms: u64) -> impl Iterator<Item = &FeatureSet> {
        let active = self.by_features.iter().filter(move |(_, set)| now_ms < set.until_ms);
        active.map(|(features, _)| features)
    }

    /// Returns the sets whose quarantine ended before `now_ms`.
    pub fn ended(&self, now_ms: u64) -> impl Iterator<Item = &FeatureSet> {
        let ended = self.by_features.iter().filter(move |(_, set)| set.until_ms <= now_ms);
        ended.map(|(features, _)| features)
    }

    /// Returns the current or last quarantine of a set.
    pub fn get(&self, features: &FeatureSet) -> Option<&QuarantinedParts> {
        self.by_features.get(features)
    }

    /// Returns whether requests with these features are rejected at `now_ms`.
    pub fn rejects(&self, features: &[Feature], now_ms: u64) -> bool {
        self.active(now_ms).any(|quarantined| quarantined.is_subset_of(features))
    }

    pub(crate) fn add(&mut self, command: QuarantineParts, now_ms: u64) {
        let QuarantineParts { parts, operator, request } = command;
        let features = FeatureSet::from_ids(&parts, request);
        if features.is_empty() || self.rejects(features.as_slice(), now_ms) {
            return;
        }
        self.by_features.retain(|_, earlier| {
            now_ms < earlier.until_ms + MEMORY_FACTOR * (earlier.until_ms - earlier.since_ms)
        });
        let is_larger = |earlier: &FeatureSet| features.is_subset_of(earlier.as_slice());
        let larger = self.by_features.iter().filter(|(earlier, _)| is_larger(earlier));
        let larger: Vec<QuarantinedParts> = larger.map(|(_, set)| set.clone()).collect();
        self.by_features.retain(|earlier, _| !is_larger(earlier));
        let (parts, request) = (features.part_ids(), features.request_id());
        let active = larger.iter().filter(|earlier| now_ms < earlier.until_ms);
        let set = match active.max_by_key(|earlier| earlier.until_ms) {
            Some(active) => QuarantinedParts { parts, request, ..active.clone() },
            None => {
                let count = larger.iter().map(|earlier| earlier.count).max().unwrap_or_default();
                let factor = BACKOFF_FACTOR.saturating_pow(count);
                let duration_ms = BASE_DURATION_MS.saturating_mul(factor).min(MAX_DURATION_MS);
                QuarantinedParts {
                    parts,
                    since_ms: now_ms,
                    until_ms: now_ms + duration_ms,
                    count: count + 1,
                    operator,
                    request,
                }
            }
        };
        self.by_features.insert(features, set);
        if self.by_features.len() > MAX_SETS {
            let first = self.by_features.iter().min_by_key(|(_, set)| set.until_ms);
            if let Some(features) = first.map(|(features, _)| features.clone()) {
                self.by_features.remove(&features);
            }
        }
    }

    pub(crate) fn lift(&mut self, command: &LiftQuarantine) {
        self.by_features.remove(&FeatureSet::from_ids(&command.parts, command.request));
    }

    pub(crate) fn to_image(&self) -> Vec<QuarantinedParts> {
        self.iter().cloned().collect()
    }

    pub(crate) fn from_image(image: Vec<QuarantinedParts>) -> Self {
        let by_features =
            image.into_iter().map(|set| (FeatureSet::from_ids(&set.parts, set.request), set));
        Quarantine { by_features: by_features.collect() }
    }
}
