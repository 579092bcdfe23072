//! Upstreams as an entry knows them from all control processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use schema::{UpstreamPhase, UpstreamRecord};
use smallvec::SmallVec;

use crate::registry::phase_order;

/// Time for which an upstream that no control process speaks of is kept; a
/// restarted control process hears of it again within an interval.
const ORPHAN_MS: u64 = 6_000;

/// Upstream as an entry knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Newest incarnation, with the latest phase that any source told.
    pub record: UpstreamRecord,
    /// Address on which it takes requests.
    pub address: SocketAddr,
    /// Until then it works slowly.
    pub warm_at_ms: u64,
    /// Since when it is draining or gone.
    pub ending_since_ms: Option<u64>,
    statements: SmallVec<[Statement; 3]>,
    unsupported_since_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    source: SocketAddr,
    silent: bool,
}

impl Member {
    /// Returns whether new work may be sent there.
    pub fn takes_work(&self) -> bool {
        self.record.phase() == UpstreamPhase::Ready && !self.is_silent()
    }

    /// Returns whether all sources that know it missed its announcements.
    fn is_silent(&self) -> bool {
        !self.statements.is_empty() && self.statements.iter().all(|statement| statement.silent)
    }
}

/// What an exchange with a control process changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A new incarnation takes work.
    Joined(CompactString),
    /// The incarnation takes no new work and ends soon.
    Draining(CompactString),
    /// The incarnation is gone.
    Gone(CompactString),
}

/// Upstreams as an entry knows them from all control processes.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<CompactString, Member>,
}

impl Fleet {
    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Takes over what the control process at `source` told; `whole` replaces
    /// all that it told before.
    pub fn apply(
        &mut self,
        source: SocketAddr,
        whole: bool,
        records: Vec<UpstreamRecord>,
        now_ms: u64,
    ) -> Vec<Change> {
        if whole {
            self.forget_source(source);
        }
        records.into_iter().filter_map(|record| self.take(source, record, now_ms)).collect()
    }

    fn take(
        &mut self,
        source: SocketAddr,
        mut record: UpstreamRecord,
        now_ms: u64,
    ) -> Option<Change> {
        let silent = record.phase() == UpstreamPhase::Silent;
        if silent {
            record.set_phase(UpstreamPhase::Ready);
        }
        let id = CompactString::from(record.id.as_str());
        let address = record.address.parse().ok();
        let Some(known) = self.members.get_mut(&id) else {
            if record.phase() == UpstreamPhase::Gone {
                return None;
            }
            let phase = record.phase();
            let mut member = new_member(record, address?, now_ms);
            member.statements.push(Statement { source, silent });
            self.members.insert(id.clone(), member);
            return Some(match phase {
                UpstreamPhase::Draining => Change::Draining(id),
                _ => Change::Joined(id),
            });
        };
        let ends_any = record.phase() == UpstreamPhase::Gone && record.born_ms == 0;
        if !ends_any && record.born_ms < known.record.born_ms {
            return None;
        }
        if !ends_any && record.born_ms > known.record.born_ms {
            let draining = record.phase() == UpstreamPhase::Draining;
            let gone = record.phase() == UpstreamPhase::Gone;
            let address = address.unwrap_or(known.address);
            *known = new_member(record, address, now_ms);
            known.statements.push(Statement { source, silent });
            return Some(match (draining, gone) {
                (true, _) => Change::Draining(id),
                (_, true) => Change::Gone(id),
                _ => Change::Joined(id),
            });
        }
        known.support(source, silent);
        known.advance(&record, now_ms).then(|| match record.phase() {
            UpstreamPhase::Gone => Change::Gone(id),
            _ => Change::Draining(id),
        })
    }

    /// Forgets what the control process at `source` told.
    pub fn forget_source(&mut self, source: SocketAddr) {
        for member in self.members.values_mut() {
            member.statements.retain(|statement| statement.source != source);
        }
    }

    /// Marks the incarnation that started at `born_ms` as gone: another
    /// upstream answered at its address.
    pub fn end(&mut self, id: &str, born_ms: u64, now_ms: u64) {
        let member = self.members.get_mut(id).filter(|m| m.record.born_ms == born_ms);
        if let Some(member) = member {
            member.record.set_phase(UpstreamPhase::Gone);
            member.ending_since_ms.get_or_insert(now_ms);
        }
    }

    /// Removes upstreams that no control process has spoken of for a while.
    pub fn expire(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            if !member.statements.is_empty() {
                member.unsupported_since_ms = None;
                return true;
            }
            let since_ms = *member.unsupported_since_ms.get_or_insert(now_ms);
            now_ms.saturating_sub(since_ms) < ORPHAN_MS
        });
    }
}

impl Member {
    fn support(&mut self, source: SocketAddr, silent: bool) {
        match self.statements.iter_mut().find(|statement| statement.source == source) {
            Some(statement) => statement.silent = silent,
            None => self.statements.push(Statement { source, silent }),
        }
    }

    /// Moves the phase forward; returns whether it changed.
    fn advance(&mut self, record: &UpstreamRecord, now_ms: u64) -> bool {
        if phase_order(record) <= phase_order(&self.record) {
            return false;
        }
        self.record.phase = record.phase;
        self.ending_since_ms.get_or_insert(now_ms);
        true
    }
}

fn new_member(record: UpstreamRecord, address: SocketAddr, now_ms: u64) -> Member {
    let ending = phase_order(&record) > 0;
    Member {
        address,
        warm_at_ms: now_ms + record.warm_up_ms,
        ending_since_ms: ending.then_some(now_ms),
        statements: SmallVec::new(),
        unsupported_since_ms: None,
        record,
    }
}
