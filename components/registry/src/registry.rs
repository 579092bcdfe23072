//! What upstreams announced to one control process.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schema::{UpstreamPhase, UpstreamRecord};

/// Announcement intervals without a sign of life before an upstream counts as
/// silent; announcements may arrive seconds late.
const SILENT_INTERVALS: u64 = 4;
/// Time for which the end of an incarnation is remembered, longer than an
/// announcement may be delayed by a network partition.
const TOMBSTONE_MS: u64 = 120_000;

/// Effect of one announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announced {
    /// The announcement is from an earlier incarnation or overtaken.
    Outdated,
    /// The upstream is as it was.
    Unchanged,
    /// Entries have to learn of the change that has this version.
    Changed(u64),
}

#[derive(Debug)]
struct Stored {
    record: UpstreamRecord,
    /// Version of the registry at the last change.
    version: u64,
    heard_ms: u64,
}

/// What upstreams announced to one control process.
#[derive(Debug, Default)]
pub struct Registry {
    by_id: BTreeMap<CompactString, Stored>,
    version: u64,
}

impl Registry {
    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes over an announcement; a phase of [`UpstreamPhase::Gone`] with a
    /// start of 0 ends whichever incarnation is known.
    pub fn announce(&mut self, mut record: UpstreamRecord, now_ms: u64) -> Announced {
        if let Some(stored) = self.by_id.get_mut(record.id.as_str()) {
            let known = &stored.record;
            if record.phase() == UpstreamPhase::Gone && record.born_ms == 0 {
                record.born_ms = known.born_ms;
                record.sequence = known.sequence;
            }
            if is_outdated(&record, known) {
                return Announced::Outdated;
            }
            if record.born_ms == known.born_ms && phase_order(&record) < phase_order(known) {
                // An incarnation that is ending does not become ready again.
                record.phase = known.phase;
            }
            stored.heard_ms = now_ms;
            if is_same(&record, known) {
                stored.record.sequence = record.sequence;
                return Announced::Unchanged;
            }
        }
        self.version += 1;
        let stored = Stored { record, version: self.version, heard_ms: now_ms };
        self.by_id.insert(stored.record.id.as_str().into(), stored);
        Announced::Changed(self.version)
    }

    /// Marks upstreams that were not heard for several intervals, and forgets
    /// old ends; returns the ids of those that became silent.
    pub fn expire(&mut self, interval_ms: u64, now_ms: u64) -> Vec<CompactString> {
        let mut silent = Vec::new();
        for (id, stored) in &mut self.by_id {
            let age_ms = now_ms.saturating_sub(stored.heard_ms);
            let may_fall_silent =
                matches!(stored.record.phase(), UpstreamPhase::Ready | UpstreamPhase::Draining);
            if may_fall_silent && age_ms > SILENT_INTERVALS * interval_ms {
                self.version += 1;
                stored.version = self.version;
                stored.record.set_phase(UpstreamPhase::Silent);
                silent.push(id.clone());
            }
        }
        self.by_id.retain(|_, stored| now_ms.saturating_sub(stored.heard_ms) < TOMBSTONE_MS);
        silent
    }

    /// Returns all records changed after `version`.
    pub fn changes_since(&self, version: u64) -> impl Iterator<Item = &UpstreamRecord> {
        self.by_id.values().filter(move |s| s.version > version).map(|s| &s.record)
    }
}

fn is_outdated(new: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    if new.born_ms != known.born_ms {
        return new.born_ms < known.born_ms;
    }
    new.sequence < known.sequence && new.phase() != UpstreamPhase::Gone
}

fn is_same(new: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    let as_known =
        UpstreamRecord { sequence: known.sequence, warm_up_ms: known.warm_up_ms, ..new.clone() };
    as_known == *known
}

/// Orders the phases of one incarnation; it never goes back.
pub(crate) fn phase_order(record: &UpstreamRecord) -> u8 {
    match record.phase() {
        UpstreamPhase::Unspecified | UpstreamPhase::Silent | UpstreamPhase::Ready => 0,
        UpstreamPhase::Draining => 1,
        UpstreamPhase::Gone => 2,
    }
}
