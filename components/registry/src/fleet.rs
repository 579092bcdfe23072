//! Upstreams known to a gateway, merged from the registries of all control
//! processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use schema::{UpstreamPhase, UpstreamRecord};
use smallvec::SmallVec;

use crate::registry::{TOMBSTONE_RETENTION_MS, phase_order};

/// Time for which an upstream that no control process reports is kept. This covers
/// the restart of a control process, which receives the upstream's next
/// announcement within one interval.
const UNREPORTED_RETENTION_MS: u64 = 6_000;

/// Upstream with its state as known to a gateway.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// Newest incarnation, in its latest known phase. The phase is never silent:
    /// missed announcements are recorded for each control process.
    pub record: UpstreamRecord,
    /// Address on which the upstream accepts requests.
    pub address: SocketAddr,
    /// Time until which the upstream is warming up and serves more slowly.
    pub warm_up_until_ms: u64,
    reports: SmallVec<[SourceReport; 3]>,
    unreported_since_ms: Option<u64>,
    unavailable_since_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct SourceReport {
    source: SocketAddr,
    is_silent: bool,
}

impl KnownUpstream {
    /// Returns whether new requests may be sent to the upstream.
    pub fn accepts_requests(&self) -> bool {
        self.record.phase() == UpstreamPhase::Ready && !self.is_silent()
    }

    /// Returns whether every control process that reports the upstream missed its
    /// announcements.
    fn is_silent(&self) -> bool {
        !self.reports.is_empty() && self.reports.iter().all(|report| report.is_silent)
    }
}

/// Change of an upstream through the report of a control process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// A new incarnation was reported.
    Joined(CompactString),
    /// The incarnation accepts no new requests and ends soon.
    Draining(CompactString),
    /// The incarnation is gone.
    Gone(CompactString),
}

/// Upstreams known to a gateway, merged from the registries of all control
/// processes.
#[derive(Debug, Default)]
pub struct MergedRegistry {
    upstreams: BTreeMap<CompactString, KnownUpstream>,
}

impl MergedRegistry {
    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&KnownUpstream> {
        self.upstreams.get(id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.upstreams.values()
    }

    /// Merges the records that the control process at `source` reported; with
    /// `full_sync` they replace all its earlier reports. Returns the resulting
    /// changes.
    pub fn apply(
        &mut self,
        source: SocketAddr,
        full_sync: bool,
        records: Vec<UpstreamRecord>,
        now_ms: u64,
    ) -> Vec<UpstreamChange> {
        if full_sync {
            self.remove_source(source);
        }
        records.into_iter().filter_map(|record| self.merge(source, record, now_ms)).collect()
    }

    fn merge(
        &mut self,
        source: SocketAddr,
        mut record: UpstreamRecord,
        now_ms: u64,
    ) -> Option<UpstreamChange> {
        let is_silent = record.phase() == UpstreamPhase::Silent;
        if is_silent {
            record.set_phase(UpstreamPhase::Ready);
        }
        let id = CompactString::from(record.id.as_str());
        let address = record.address.parse().ok();
        let Some(known) = self.upstreams.get_mut(&id) else {
            if record.phase() == UpstreamPhase::Gone {
                return None;
            }
            let phase = record.phase();
            let mut upstream = new_upstream(record, address?, now_ms);
            upstream.reports.push(SourceReport { source, is_silent });
            self.upstreams.insert(id.clone(), upstream);
            return Some(match phase {
                UpstreamPhase::Draining => UpstreamChange::Draining(id),
                _ => UpstreamChange::Joined(id),
            });
        };
        let ends_any_incarnation = record.phase() == UpstreamPhase::Gone && record.born_ms == 0;
        if !ends_any_incarnation && record.born_ms < known.record.born_ms {
            return None;
        }
        if !ends_any_incarnation && record.born_ms > known.record.born_ms {
            let draining = record.phase() == UpstreamPhase::Draining;
            let gone = record.phase() == UpstreamPhase::Gone;
            let address = address.unwrap_or(known.address);
            *known = new_upstream(record, address, now_ms);
            known.reports.push(SourceReport { source, is_silent });
            return Some(match (draining, gone) {
                (true, _) => UpstreamChange::Draining(id),
                (_, true) => UpstreamChange::Gone(id),
                _ => UpstreamChange::Joined(id),
            });
        }
        known.set_report(source, is_silent);
        known.update_announced(&record, now_ms);
        known.advance_phase(&record).then(|| match record.phase() {
            UpstreamPhase::Gone => UpstreamChange::Gone(id),
            _ => UpstreamChange::Draining(id),
        })
    }

    /// Removes the reports of the control process at `source`.
    pub fn remove_source(&mut self, source: SocketAddr) {
        for upstream in self.upstreams.values_mut() {
            upstream.reports.retain(|report| report.source != source);
        }
    }

    /// Marks the incarnation that started at `born_ms` as gone, because another
    /// upstream or incarnation responded at its address.
    pub fn mark_gone(&mut self, id: &str, born_ms: u64) {
        let known = self.upstreams.get_mut(id).filter(|u| u.record.born_ms == born_ms);
        if let Some(known) = known {
            known.record.set_phase(UpstreamPhase::Gone);
        }
    }

    /// Marks the incarnation that started at `born_ms` as draining, because it said so in a
    /// response; returns whether that is new.
    pub fn mark_draining(&mut self, id: &str, born_ms: u64) -> bool {
        let known = self.upstreams.get_mut(id).filter(|u| u.record.born_ms == born_ms);
        let Some(known) = known.filter(|known| phase_order(&known.record) == 0) else {
            return false;
        };
        known.record.set_phase(UpstreamPhase::Draining);
        true
    }

    /// Removes upstreams that no control process has reported for several seconds, and
    /// those that have accepted no requests for as long as control processes keep
    /// their records.
    pub fn expire(&mut self, now_ms: u64) {
        self.upstreams.retain(|_, upstream| {
            if upstream.unavailable_for_ms(now_ms) >= TOMBSTONE_RETENTION_MS {
                return false;
            }
            if !upstream.reports.is_empty() {
                upstream.unreported_since_ms = None;
                return true;
            }
            let since_ms = *upstream.unreported_since_ms.get_or_insert(now_ms);
            now_ms.saturating_sub(since_ms) < UNREPORTED_RETENTION_MS
        });
    }
}

impl KnownUpstream {
    fn set_report(&mut self, source: SocketAddr, is_silent: bool) {
        match self.reports.iter_mut().find(|report| report.source == source) {
            Some(report) => report.is_silent = is_silent,
            None => self.reports.push(SourceReport { source, is_silent }),
        }
    }

    /// Adopts what a later announcement of the same incarnation states.
    fn update_announced(&mut self, record: &UpstreamRecord, now_ms: u64) {
        if record.sequence > self.record.sequence {
            self.record.sequence = record.sequence;
            self.record.version.clone_from(&record.version);
            self.warm_up_until_ms = now_ms.saturating_add(record.warm_up_ms);
        }
    }

    /// Returns for how long the upstream has accepted no requests, as of each call.
    fn unavailable_for_ms(&mut self, now_ms: u64) -> u64 {
        if self.accepts_requests() {
            self.unavailable_since_ms = None;
            return 0;
        }
        now_ms.saturating_sub(*self.unavailable_since_ms.get_or_insert(now_ms))
    }

    /// Adopts the phase of `record` if it is later than the known one; returns
    /// whether the phase changed.
    fn advance_phase(&mut self, record: &UpstreamRecord) -> bool {
        if phase_order(record) <= phase_order(&self.record) {
            return false;
        }
        self.record.phase = record.phase;
        true
    }
}

fn new_upstream(record: UpstreamRecord, address: SocketAddr, now_ms: u64) -> KnownUpstream {
    KnownUpstream {
        address,
        warm_up_until_ms: now_ms.saturating_add(record.warm_up_ms),
        reports: SmallVec::new(),
        unreported_since_ms: None,
        unavailable_since_ms: None,
        record,
    }
}
