//! Upstreams known to a gateway, merged from the registries of all control
//! processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use compact_str::CompactString;
use schema::{EndedIncarnation, UpstreamPhase, UpstreamRecord};
use smallvec::SmallVec;

use crate::registry::{OPEN_WITHDRAWAL_MS, TOMBSTONE_RETENTION_MS, phase_of_order, phase_order};

/// Time for which an upstream that no control process reports is kept. This covers
/// the restart of a control process, which receives the upstream's next
/// announcement within one interval.
const UNREPORTED_RETENTION_MS: u64 = 6_000;

/// Address of an upstream that was withdrawn before it was known; never used.
const NO_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

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
    /// When this incarnation became known, as of the reply that reported it.
    pub joined_ms: u64,
    reports: SmallVec<[SourceReport; 3]>,
    /// Order of the latest phase that a control process reported; the known one may be later,
    /// by what this gateway saw itself.
    reported_order: u8,
    unreported_since_ms: Option<u64>,
    unavailable_since_ms: Option<u64>,
}

/// What a control process last reported of an upstream.
#[derive(Clone, Copy, Debug)]
struct SourceReport {
    source: SocketAddr,
    born_ms: u64,
    order: u8,
    is_silent: bool,
    /// Until when it ends newer incarnations too, if it does.
    open_until_ms: u64,
}

impl SourceReport {
    fn new(source: SocketAddr, record: &UpstreamRecord, is_silent: bool, now_ms: u64) -> Self {
        SourceReport {
            source,
            born_ms: record.born_ms,
            order: phase_order(record),
            is_silent,
            open_until_ms: if record.ends_newest { now_ms + OPEN_WITHDRAWAL_MS } else { 0 },
        }
    }
}

impl KnownUpstream {
    /// Returns whether new requests may be sent to the upstream.
    pub fn accepts_requests(&self) -> bool {
        self.record.phase() == UpstreamPhase::Ready && !self.is_silent()
    }

    /// Returns whether every control process that reports this incarnation missed its
    /// announcements.
    pub fn is_silent(&self) -> bool {
        let mut reports = self.current_reports().peekable();
        reports.peek().is_some() && reports.all(|report| report.is_silent)
    }

    /// Returns the reports of this incarnation; a withdrawal may name none.
    fn current_reports(&self) -> impl Iterator<Item = &SourceReport> {
        let born_ms = self.record.born_ms;
        self.reports.iter().filter(move |report| [0, born_ms].contains(&report.born_ms))
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
///
/// The newest incarnation counts, in the latest phase that any process reports: the order
/// in which reports arrive does not matter, but for withdrawals that name no incarnation.
/// Those end the one that is known when they arrive, and newer ones until they are completed.
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

    /// Merges the records that the control process at `source` reported at `made_ms`, which is
    /// earlier than now if the reply was delayed; with `full_sync` they replace all its earlier
    /// reports. Returns the resulting changes.
    pub fn apply(
        &mut self,
        source: SocketAddr,
        full_sync: bool,
        records: Vec<UpstreamRecord>,
        made_ms: u64,
    ) -> Vec<UpstreamChange> {
        if full_sync {
            self.remove_source(source);
        }
        records.into_iter().filter_map(|record| self.merge(source, record, made_ms)).collect()
    }

    fn merge(
        &mut self,
        source: SocketAddr,
        mut record: UpstreamRecord,
        made_ms: u64,
    ) -> Option<UpstreamChange> {
        let is_silent = record.phase() == UpstreamPhase::Silent;
        if is_silent {
            record.set_phase(UpstreamPhase::Ready);
        }
        let id = CompactString::from(record.id.as_str());
        let address = record.address.parse().ok();
        let report = SourceReport::new(source, &record, is_silent, made_ms);
        let Some(known) = self.upstreams.get_mut(&id) else {
            let phase = record.phase();
            // A withdrawal has no address, and is kept: another control process may still
            // report the upstream as ready.
            let address = match phase {
                UpstreamPhase::Gone => address.unwrap_or(NO_ADDRESS),
                _ => address?,
            };
            let mut upstream = new_upstream(record, address, made_ms);
            upstream.reports.push(report);
            self.upstreams.insert(id.clone(), upstream);
            return match phase {
                UpstreamPhase::Gone => None,
                UpstreamPhase::Draining => Some(UpstreamChange::Draining(id)),
                _ => Some(UpstreamChange::Joined(id)),
            };
        };
        let is_earlier = record.born_ms < known.record.born_ms;
        let ends_known = record.phase() == UpstreamPhase::Gone
            && is_earlier
            && match record.ends_newest {
                true => known.joined_ms < report.open_until_ms,
                false => record.born_ms == 0,
            };
        if !ends_known && is_earlier {
            known.set_report(report);
            return None;
        }
        if !ends_known && record.born_ms > known.record.born_ms {
            let open = known
                .reports
                .iter()
                .copied()
                .filter(|r| made_ms < r.open_until_ms && r.source != source);
            let open: SmallVec<[SourceReport; 3]> = open.collect();
            if !open.is_empty() {
                record.set_phase(UpstreamPhase::Gone);
            }
            let draining = record.phase() == UpstreamPhase::Draining;
            let gone = record.phase() == UpstreamPhase::Gone;
            let address = address.unwrap_or(known.address);
            *known = new_upstream(record, address, made_ms);
            known.reports = open;
            known.reports.push(report);
            return Some(match (draining, gone) {
                (true, _) => UpstreamChange::Draining(id),
                (_, true) => UpstreamChange::Gone(id),
                _ => UpstreamChange::Joined(id),
            });
        }
        known.set_report(report);
        known.reported_order = known.reported_order.max(report.order);
        known.update_announced(&record, made_ms);
        known.advance_phase(&record).then(|| match record.phase() {
            UpstreamPhase::Gone => UpstreamChange::Gone(id),
            _ => UpstreamChange::Draining(id),
        })
    }

    /// Returns upstreams, `max_count` at most, that are draining or gone as another control
    /// process reports, while the one at `source` reports an earlier phase or incarnation, or
    /// a withdrawal that names none. They are reported to that process, so that gateways which
    /// join later do not depend on the order in which processes reply.
    pub fn ended_elsewhere(&self, source: SocketAddr, max_count: usize) -> Vec<EndedIncarnation> {
        let ended = self.upstreams.values().filter(|known| {
            let rank = (known.record.born_ms, known.reported_order);
            let mut reports = known.reports.iter();
            let reported = reports.find(|report| report.source == source);
            let is_withdrawn =
                |report: &SourceReport| report.open_until_ms > 0 && known.address != NO_ADDRESS;
            known.reported_order > 0
                && reported.is_some_and(|report| {
                    (report.born_ms, report.order) < rank || is_withdrawn(report)
                })
        });
        let ended = ended.map(|known| EndedIncarnation {
            id: known.record.id.clone(),
            born_ms: known.record.born_ms,
            phase: phase_of_order(known.reported_order).into(),
        });
        ended.take(max_count).collect()
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
            let has_ended = upstream.reported_order > 0 && !upstream.reports.is_empty();
            if has_ended || upstream.current_reports().next().is_some() {
                upstream.unreported_since_ms = None;
                return true;
            }
            let since_ms = *upstream.unreported_since_ms.get_or_insert(now_ms);
            now_ms.saturating_sub(since_ms) < UNREPORTED_RETENTION_MS
        });
    }
}

impl KnownUpstream {
    fn set_report(&mut self, new: SourceReport) {
        match self.reports.iter_mut().find(|report| report.source == new.source) {
            Some(report) => *report = new,
            None => self.reports.push(new),
        }
    }

    /// Adopts what a later announcement of the same incarnation states.
    fn update_announced(&mut self, record: &UpstreamRecord, now_ms: u64) {
        let is_same = record.born_ms == self.record.born_ms;
        if is_same && record.sequence > self.record.sequence {
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
        joined_ms: now_ms,
        reports: SmallVec::new(),
        reported_order: phase_order(&record),
        unreported_since_ms: None,
        unavailable_since_ms: None,
        record,
    }
}
