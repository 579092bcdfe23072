//! Sets of prompt parts under quarantine.

use std::collections::BTreeMap;

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

/// Sets of prompt parts that are, or were lately, under quarantine.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_parts: BTreeMap<Vec<u64>, QuarantinedParts>,
}

impl Quarantine {
    /// Returns all sets that are, or were lately, under quarantine.
    pub fn iter(&self) -> impl Iterator<Item = &QuarantinedParts> {
        self.by_parts.values()
    }

    /// Returns the sets under quarantine at `now_ms`.
    pub fn active(&self, now_ms: u64) -> impl Iterator<Item = &QuarantinedParts> {
        self.iter().filter(move |set| now_ms < set.until_ms)
    }

    /// Returns the sets whose quarantine ended before `now_ms`.
    pub fn ended(&self, now_ms: u64) -> impl Iterator<Item = &QuarantinedParts> {
        self.iter().filter(move |set| set.until_ms <= now_ms)
    }

    /// Returns the current or last quarantine of a set, given in ascending order.
    pub fn get(&self, parts: &[u64]) -> Option<&QuarantinedParts> {
        self.by_parts.get(parts)
    }

    /// Returns whether requests with these parts are rejected at `now_ms`.
    pub fn rejects(&self, parts: &[u64], now_ms: u64) -> bool {
        self.active(now_ms).any(|set| is_subset(&set.parts, parts))
    }

    pub(crate) fn add(&mut self, command: QuarantineParts, now_ms: u64) {
        let QuarantineParts { mut parts, operator } = command;
        parts.sort_unstable();
        parts.dedup();
        if parts.is_empty() || self.rejects(&parts, now_ms) {
            return;
        }
        self.by_parts.retain(|_, earlier| {
            now_ms < earlier.until_ms + MEMORY_FACTOR * (earlier.until_ms - earlier.since_ms)
        });
        let is_larger = |earlier: &&QuarantinedParts| is_subset(&parts, &earlier.parts);
        let larger: Vec<QuarantinedParts> = self.iter().filter(is_larger).cloned().collect();
        self.by_parts.retain(|earlier, _| !is_subset(&parts, earlier));
        let active = larger.iter().filter(|earlier| now_ms < earlier.until_ms);
        let set = match active.max_by_key(|earlier| earlier.until_ms) {
            Some(active) => QuarantinedParts { parts: parts.clone(), ..active.clone() },
            None => {
                let count = larger.iter().map(|earlier| earlier.count).max().unwrap_or_default();
                let factor = BACKOFF_FACTOR.saturating_pow(count);
                let duration_ms = BASE_DURATION_MS.saturating_mul(factor).min(MAX_DURATION_MS);
                QuarantinedParts {
                    parts: parts.clone(),
                    since_ms: now_ms,
                    until_ms: now_ms + duration_ms,
                    count: count + 1,
                    operator,
                }
            }
        };
        self.by_parts.insert(parts, set);
        if self.by_parts.len() > MAX_SETS {
            let first = self.by_parts.values().min_by_key(|set| set.until_ms);
            if let Some(parts) = first.map(|set| set.parts.clone()) {
                self.by_parts.remove(&parts);
            }
        }
    }

    pub(crate) fn lift(&mut self, command: &LiftQuarantine) {
        let mut parts = command.parts.clone();
        parts.sort_unstable();
        parts.dedup();
        self.by_parts.remove(&parts);
    }

    pub(crate) fn to_image(&self) -> Vec<QuarantinedParts> {
        self.iter().cloned().collect()
    }

    pub(crate) fn from_image(image: Vec<QuarantinedParts>) -> Self {
        let by_parts = image.into_iter().map(|set| (set.parts.clone(), set));
        Quarantine { by_parts: by_parts.collect() }
    }
}

fn is_subset(parts: &[u64], of: &[u64]) -> bool {
    parts.iter().all(|part| of.contains(part))
}
