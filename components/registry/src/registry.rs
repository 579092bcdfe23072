//! Upstreams that announced themselves to one control process.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schema::{EndedIncarnation, UpstreamPhase, UpstreamRecord};

/// Announcement intervals without an announcement after which an upstream is
/// silent; announcements may arrive seconds late.
const SILENT_AFTER_INTERVALS: u64 = 4;
/// Time for which a record is kept after the last announcement. The record of an
/// ended incarnation is a tombstone, kept for longer than a network partition may
/// delay an announcement.
pub const TOMBSTONE_RETENTION_MS: u64 = 120_000;
/// Time for which a withdrawal that names no incarnation ends those that become known. It covers
/// the wait for the gateways' confirmation; an upstream serves for longer after its withdrawal,
/// so that no incarnation which starts later is ended.
pub const OPEN_WITHDRAWAL_MS: u64 = 800;

/// Result of applying one announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnounceOutcome {
    /// The announcement is from an earlier incarnation, or older than the last
    /// one of its incarnation.
    Outdated,
    /// The announcement changed nothing that has to be sent to the gateways.
    Unchanged,
    /// The registry changed and now has this version; the change has to be sent
    /// to the gateways.
    Changed(u64),
}

/// Records that changed after a version of the registry.
#[derive(Debug)]
pub struct RegistryChanges<'a> {
    /// Version up to which `records` has all changes.
    pub version: u64,
    /// Changed records.
    pub records: Vec<&'a UpstreamRecord>,
}

#[derive(Debug)]
struct RegisteredUpstream {
    record: UpstreamRecord,
    /// Registry version at which this record last changed.
    version: u64,
    last_announced_ms: u64,
    /// Until when the record ends newer incarnations, if it does.
    open_until_ms: u64,
    /// False for a withdrawal without a start time of an upstream that did not announce itself
    /// here, until a gateway reports that it knew one.
    is_known: bool,
}

/// Upstreams that announced themselves to one control process.
#[derive(Debug, Default)]
pub struct Registry {
    by_id: BTreeMap<CompactString, RegisteredUpstream>,
    version: u64,
}

impl Registry {
    /// Returns the version, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what is known of an upstream.
    pub fn get(&self, id: &str) -> Option<&UpstreamRecord> {
        self.by_id.get(id).map(|stored| &stored.record)
    }

    /// Returns the version at which the record of an upstream last changed; 0 without one.
    pub fn version_of(&self, id: &str) -> u64 {
        self.by_id.get(id).map_or(0, |stored| stored.version)
    }

    /// Returns whether the upstream announced itself here, was withdrawn by its start time, or is
    /// known to a gateway.
    pub fn is_known(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|stored| stored.is_known)
    }

    /// Applies an announcement. A phase of [`UpstreamPhase::Gone`] with a
    /// `born_ms` of 0 ends the newest incarnation that any gateway knows.
    pub fn apply_announcement(
        &mut self,
        mut record: UpstreamRecord,
        now_ms: u64,
    ) -> AnnounceOutcome {
        let mut open_until_ms = now_ms + OPEN_WITHDRAWAL_MS;
        record.ends_newest = record.phase() == UpstreamPhase::Gone && record.born_ms == 0;
        let is_known = !record.ends_newest || self.is_known(record.id.as_str());
        if let Some(stored) = self.by_id.get_mut(record.id.as_str()) {
            let known = &stored.record;
            if record.ends_newest {
                record.born_ms = known.born_ms;
                record.sequence = known.sequence;
            }
            if is_outdated(&record, known) {
                return AnnounceOutcome::Outdated;
            }
            if known.ends_newest && !record.ends_newest {
                // Of the withdrawn incarnation, and delayed.
                record.set_phase(UpstreamPhase::Gone);
                record.ends_newest = true;
                open_until_ms = stored.open_until_ms;
            }
            if record.born_ms == known.born_ms && phase_order(&record) < phase_order(known) {
                // An incarnation that is known as draining or gone does not become ready
                // again.
                record.phase = known.phase;
            }
            stored.last_announced_ms = now_ms;
            if is_unchanged(&record, known) {
                stored.record.sequence = record.sequence;
                stored.record.warm_up_ms = record.warm_up_ms;
                return AnnounceOutcome::Unchanged;
            }
        }
        self.version += 1;
        let stored = RegisteredUpstream {
            record,
            version: self.version,
            last_announced_ms: now_ms,
            open_until_ms,
            is_known,
        };
        self.by_id.insert(stored.record.id.as_str().into(), stored);
        AnnounceOutcome::Changed(self.version)
    }

    /// Marks an incarnation as draining that said so to a gateway before it announced it;
    /// returns whether the registry changed.
    pub fn mark_draining(&mut self, id: &str, born_ms: u64) -> bool {
        let stored = self.by_id.get_mut(id).filter(|stored| stored.record.born_ms == born_ms);
        let Some(stored) = stored.filter(|stored| phase_order(&stored.record) == 0) else {
            return false;
        };
        self.version += 1;
        stored.version = self.version;
        stored.record.set_phase(UpstreamPhase::Draining);
        true
    }

    /// Adopts that an incarnation is draining or gone, as another control process reported to a
    /// gateway, or as a withdrawal here that named no incarnation ended it there. Returns whether
    /// the registry changed.
    pub fn mark_ended(&mut self, ended: &EndedIncarnation) -> bool {
        let Some(stored) = self.by_id.get_mut(ended.id.as_str()) else { return false };
        let known = &mut stored.record;
        let told = UpstreamRecord {
            born_ms: ended.born_ms,
            phase: ended.phase,
            ..UpstreamRecord::default()
        };
        stored.is_known = true;
        if phase_order(&told) == 0 || end_rank(&told) <= end_rank(known) {
            return false;
        }
        let is_withdrawn =
            known.phase() == UpstreamPhase::Gone && (known.born_ms == 0 || known.ends_newest);
        if !is_withdrawn {
            known.phase = ended.phase;
        }
        known.born_ms = ended.born_ms;
        self.version += 1;
        stored.version = self.version;
        true
    }

    /// Adopts that an incarnation ended at `ended_ms`, as the control group has recorded, also of
    /// an upstream that is not known. Returns whether the registry changed.
    pub fn adopt_end(&mut self, ended: &UpstreamRecord, ended_ms: u64) -> bool {
        if let Some(stored) = self.by_id.get(ended.id.as_str())
            && (stored.record.ends_newest || stored.record.born_ms >= ended.born_ms)
        {
            return self.mark_ended(&EndedIncarnation {
                id: ended.id.clone(),
                born_ms: ended.born_ms,
                phase: ended.phase,
            });
        }
        self.version += 1;
        let stored = RegisteredUpstream {
            record: ended.clone(),
            version: self.version,
            last_announced_ms: ended_ms,
            open_until_ms: 0,
            is_known: true,
        };
        self.by_id.insert(ended.id.as_str().into(), stored);
        true
    }

    /// Marks ready upstreams that missed several announcements as silent, completes
    /// withdrawals that named no incarnation, and removes upstreams without an announcement for
    /// longer than the tombstone retention;
    /// returns the ids of the newly silent ones.
    pub fn expire(&mut self, interval_ms: u64, now_ms: u64) -> Vec<CompactString> {
        let mut silent = Vec::new();
        for (id, stored) in &mut self.by_id {
            if stored.record.ends_newest && now_ms >= stored.open_until_ms {
                self.version += 1;
                stored.version = self.version;
                stored.record.ends_newest = false;
            }
            let age_ms = now_ms.saturating_sub(stored.last_announced_ms);
            let is_ready = stored.record.phase() == UpstreamPhase::Ready;
            if is_ready && age_ms > SILENT_AFTER_INTERVALS * interval_ms {
                self.version += 1;
                stored.version = self.version;
                stored.record.set_phase(UpstreamPhase::Silent);
                silent.push(id.clone());
            }
        }
        self.by_id.retain(|_, stored| {
            // A withdrawal that no gateway completed ended nothing.
            let is_empty = !stored.is_known && now_ms >= stored.open_until_ms;
            let age_ms = now_ms.saturating_sub(stored.last_announced_ms);
            !is_empty && age_ms < TOMBSTONE_RETENTION_MS
        });
        silent
    }

    /// Returns the records that changed after `version`, in the order of their changes and at
    /// most `max_records` of them.
    pub fn changes_since(&self, version: u64, max_records: usize) -> RegistryChanges<'_> {
        let mut changed: Vec<_> = self.by_id.values().filter(|s| s.version > version).collect();
        changed.sort_unstable_by_key(|stored| stored.version);
        let is_complete = changed.len() <= max_records;
        changed.truncate(max_records);
        let last = changed.last().filter(|_| !is_complete);
        RegistryChanges {
            version: last.map_or(self.version, |stored| stored.version),
            records: changed.into_iter().map(|stored| &stored.record).collect(),
        }
    }
}

/// Returns whether a later incarnation or announcement is known. A delayed
/// announcement that the incarnation is gone still counts.
fn is_outdated(new: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    if new.born_ms != known.born_ms {
        return new.born_ms < known.born_ms;
    }
    new.sequence < known.sequence && new.phase() != UpstreamPhase::Gone
}

/// Compares all fields except for those that differ between announcements: the
/// sequence number, and the remaining warm-up time unless it grew.
fn is_unchanged(new: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    let comparable =
        UpstreamRecord { sequence: known.sequence, warm_up_ms: known.warm_up_ms, ..new.clone() };
    comparable == *known && new.warm_up_ms <= known.warm_up_ms
}

/// Orders what is known of the end of an upstream: a later incarnation, and a later phase of one
/// incarnation, are greater.
///
/// ```
/// use registry::end_rank;
/// use schema::{UpstreamPhase, UpstreamRecord};
/// let life = |born_ms, phase: UpstreamPhase| {
///     UpstreamRecord { born_ms, phase: phase.into(), ..UpstreamRecord::default() }
/// };
/// assert!(end_rank(&life(1, UpstreamPhase::Gone)) > end_rank(&life(1, UpstreamPhase::Draining)));
/// assert!(end_rank(&life(2, UpstreamPhase::Ready)) > end_rank(&life(1, UpstreamPhase::Gone)));
/// ```
pub fn end_rank(record: &UpstreamRecord) -> (u64, u8) {
    (record.born_ms, phase_order(record))
}

/// Orders the phases of one incarnation: a known later phase is kept over an
/// announced earlier one. Silent ranks with ready.
pub(crate) fn phase_order(record: &UpstreamRecord) -> u8 {
    match record.phase() {
        UpstreamPhase::Unspecified | UpstreamPhase::Silent | UpstreamPhase::Ready => 0,
        UpstreamPhase::Draining => 1,
        UpstreamPhase::Gone => 2,
    }
}

/// Returns the phase with an order that [`phase_order`] returned.
pub(crate) fn phase_of_order(order: u8) -> UpstreamPhase {
    match order {
        0 => UpstreamPhase::Ready,
        1 => UpstreamPhase::Draining,
        _ => UpstreamPhase::Gone,
    }
}
