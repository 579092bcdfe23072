//! Quarantine of prompt parts under which upstreams crash.
//!
//! The arbiter collects the evidence of all gateways in memory. A set of parts that it
//! confirms is in force at once through the syncs of this process, and is then committed
//! to the replicated state, from which every control process hands it to the gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use actix::ResponseFuture;
use credentials::{Identity, Role};
use quarantine::{Crash, Evidence, PartId, PartSet};
use schema::{
    CrashReply, CrashReport, ErrorCode, LiftQuarantine, QuarantineParts, QuarantineReply,
    QuarantinedParts, Reply, command, reply, request,
};
use wire::error_reply;

use super::Replica;
use super::local::LocalRequest;
use super::requests::ready;

/// Longest time for which an answer may still clear a part with enough crashes, if some
/// gateway does not sync: they do so several times as often.
const CONFIRMATION_MS: u64 = 150;
/// Interval at which a quarantine that is not committed yet is proposed again.
const COMMIT_RETRY_MS: u64 = 500;
/// Time after which a quarantine that could not be committed ends.
const UNCOMMITTED_MS: u64 = 120_000;
/// Interval at which the replicated state is applied to the list for the gateways.
const REFRESH_INTERVAL_MS: u64 = 100;
/// Quarantines that wait to be committed.
const MAX_UNCOMMITTED: usize = 256;

/// Quarantine that is not part of the replicated state yet.
#[derive(Debug)]
struct Uncommitted {
    since_ms: u64,
    next_attempt_ms: u64,
}

/// Evidence and quarantines at this control process, and the list for the gateways.
#[derive(Debug)]
pub(crate) struct QuarantineState {
    evidence: Evidence,
    uncommitted: BTreeMap<PartSet, Uncommitted>,
    /// Sets that gateways have to reject.
    active: BTreeSet<PartSet>,
    /// Sets whose requests gateways hold back until they are quarantined or cleared.
    pending: BTreeSet<PartSet>,
    digest: u64,
    next_refresh_ms: u64,
}

impl Default for QuarantineState {
    fn default() -> Self {
        QuarantineState {
            evidence: Evidence::new(CONFIRMATION_MS),
            uncommitted: BTreeMap::new(),
            active: BTreeSet::new(),
            pending: BTreeSet::new(),
            digest: 0,
            next_refresh_ms: 0,
        }
    }
}

impl QuarantineState {
    /// Returns a digest of the quarantined sets; 0 if there are none.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn to_message(&self) -> Vec<schema::PartSet> {
        let active = self.active.iter().map(|set| (set, false));
        let pending = self.pending.iter().map(|set| (set, true));
        let sets = active.chain(pending);
        sets.map(|(set, pending)| schema::PartSet { parts: to_ids(set), pending }).collect()
    }
}

impl Replica {
    /// Records a crash; quarantines the parts under which upstreams crash.
    pub(super) fn report_crash(
        &mut self,
        peer: &Identity,
        report: CrashReport,
    ) -> ResponseFuture<Reply> {
        if report.vm != peer.name.as_str() {
            return ready(error_reply(ErrorCode::Forbidden, "a gateway reports for itself only"));
        }
        let now_ms = self.clock.now_ms();
        let set = to_set(&report.parts);
        let parts: Vec<PartId> = set.iter().collect();
        let crash = Crash {
            upstream: report.upstream.as_str().into(),
            born_ms: report.born_ms,
            sent_ms: now_ms.saturating_sub(report.sent_age_ms),
            at_ms: now_ms.saturating_sub(report.age_ms),
        };
        log::info!(vm = report.vm.as_str(), upstream = report.upstream.as_str(), born_ms = report.born_ms, age_ms = report.age_ms, parts = set.to_string().as_str(); "upstream crashed before an answer began");
        self.metrics.crashes.inc();
        self.record_answers(&report.answered_parts, now_ms);
        self.quarantine.evidence.record_crash(crash, &parts, now_ms);
        self.renew_quarantine(&parts, now_ms);
        self.confirm(now_ms);
        self.refresh_quarantine(now_ms);
        let may_repeat = self.quarantine.evidence.may_repeat(&parts, now_ms);
        self.serve_gateways();
        ready(Reply { body: Some(reply::Body::Crash(CrashReply { may_repeat })) })
    }

    /// Records the parts on which answers began at a gateway. A confirmed set with such a
    /// part is reduced to the others, or lifted.
    pub(super) fn record_answers(&mut self, parts: &[u64], now_ms: u64) {
        for part in parts.iter().map(|part| PartId(*part)) {
            self.quarantine.evidence.record_answer(part, now_ms);
            let active = self.quarantine.active.iter();
            let cleared = active.filter(|set| set.contains(part) && !self.is_from_operator(set));
            for set in cleared.cloned().collect::<Vec<_>>() {
                let rest = set.without(part);
                if rest.is_empty() {
                    self.lift_answered(&set);
                } else {
                    self.start_quarantine(rest, now_ms);
                }
            }
        }
    }

    /// Confirms pending parts after a sync of a gateway, which may be the last one that
    /// they wait for.
    pub(super) fn confirm_pending(&mut self, now_ms: u64) {
        if !self.quarantine.pending.is_empty() {
            self.confirm(now_ms);
            self.refresh_quarantine(now_ms);
        }
    }

    /// Returns whether an operator put the set under quarantine.
    fn is_from_operator(&self, set: &PartSet) -> bool {
        let committed = self.state.quarantine().get(&to_ids(set));
        committed.is_some_and(|quarantined| !quarantined.operator.is_empty())
    }

    /// Quarantines the parts that are confirmed by now.
    fn confirm(&mut self, now_ms: u64) {
        let reported_ms = self.gateway_syncs.reported_ms(now_ms);
        for set in self.quarantine.evidence.confirm(now_ms, reported_ms) {
            self.start_quarantine(set, now_ms);
        }
    }

    /// Renews the quarantine of sets under which an upstream crashed once more after its
    /// end, unless an answer began on them since.
    fn renew_quarantine(&mut self, parts: &[PartId], now_ms: u64) {
        let ended = self.state.quarantine().ended(now_ms).map(|set| to_set(&set.parts));
        let evidence = &self.quarantine.evidence;
        let is_suspect = |set: &PartSet| {
            set.is_subset_of(parts) && !set.iter().any(|part| evidence.has_answered(part, now_ms))
        };
        for set in ended.filter(is_suspect).collect::<Vec<_>>() {
            self.start_quarantine(set, now_ms);
        }
    }

    fn start_quarantine(&mut self, set: PartSet, now_ms: u64) {
        if self.state.quarantine().rejects(&to_ids(&set), now_ms)
            || self.quarantine.uncommitted.contains_key(&set)
            || self.quarantine.uncommitted.len() >= MAX_UNCOMMITTED
        {
            return;
        }
        log::warn!(parts = set.to_string().as_str(); "prompt parts quarantined: upstreams crash under them");
        let uncommitted = Uncommitted { since_ms: now_ms, next_attempt_ms: now_ms };
        self.quarantine.uncommitted.insert(set, uncommitted);
        self.refresh_quarantine(now_ms);
        self.commit_uncommitted(now_ms);
    }

    /// Lifts the quarantine of a set on which an answer began.
    fn lift_answered(&mut self, set: &PartSet) {
        log::warn!(parts = set.to_string().as_str(); "answer began on quarantined prompt parts; lifting the quarantine");
        self.quarantine.uncommitted.remove(set);
        let lift = LiftQuarantine { parts: to_ids(set) };
        self.send_to_leader(request::Body::LiftQuarantine(lift));
    }

    /// Sends quarantines that are not committed yet to the leader.
    fn commit_uncommitted(&mut self, now_ms: u64) {
        let uncommitted = &mut self.quarantine.uncommitted;
        uncommitted.retain(|_, quarantine| now_ms < quarantine.since_ms + UNCOMMITTED_MS);
        let due = uncommitted.iter_mut().filter(|(_, c)| now_ms >= c.next_attempt_ms);
        let commands: Vec<QuarantineParts> = due
            .map(|(set, quarantine)| {
                quarantine.next_attempt_ms = now_ms + COMMIT_RETRY_MS;
                QuarantineParts { parts: to_ids(set), operator: String::new() }
            })
            .collect();
        for command in commands {
            self.send_to_leader(request::Body::QuarantineParts(command));
        }
    }

    /// Sends a command whose reply is not needed: once committed, it arrives by the log.
    fn send_to_leader(&self, body: request::Body) {
        if let Some(address) = &self.actor_address {
            address.do_send(LocalRequest(body));
        }
    }

    /// Confirms pending parts that are due and applies what changed meanwhile.
    pub(super) fn tick_quarantine(&mut self, now_ms: u64) {
        self.confirm(now_ms);
        self.commit_uncommitted(now_ms);
        if now_ms >= self.quarantine.next_refresh_ms {
            self.refresh_quarantine(now_ms);
        }
    }

    /// Applies the replicated state to the list for the gateways, which get it with
    /// their next sync.
    fn refresh_quarantine(&mut self, now_ms: u64) {
        self.quarantine.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
        let committed = self.state.quarantine();
        let uncommitted = &mut self.quarantine.uncommitted;
        uncommitted.retain(|set, _| !committed.rejects(&to_ids(set), now_ms));
        let sets = committed.active(now_ms).map(|set| to_set(&set.parts));
        let active: BTreeSet<PartSet> = sets.chain(uncommitted.keys().cloned()).collect();
        let pending: BTreeSet<PartSet> = self.quarantine.evidence.pending().collect();
        if active != self.quarantine.active || pending != self.quarantine.pending {
            self.quarantine.digest = digest(&active, &pending);
            self.metrics.quarantined.set(i64::try_from(active.len()).unwrap_or(i64::MAX));
            self.quarantine.active = active;
            self.quarantine.pending = pending;
        }
    }

    /// Drops what this process holds against a set whose quarantine was lifted.
    pub(super) fn forget_quarantine(&mut self, parts: &[u64]) {
        let set = to_set(parts);
        log::info!(parts = set.to_string().as_str(); "quarantine of prompt parts lifted");
        self.quarantine.uncommitted.remove(&set);
        for part in set.iter() {
            self.quarantine.evidence.clear(part);
        }
    }

    /// Commits the quarantine of a set, in the name of the operator if one asks for it.
    pub(super) fn quarantine_parts(
        &mut self,
        peer: &Identity,
        command: QuarantineParts,
    ) -> ResponseFuture<Reply> {
        if command.parts.is_empty() {
            return ready(error_reply(ErrorCode::Invalid, "no prompt parts are named"));
        }
        let operator = match peer.role {
            Role::Operator => peer.name.to_string(),
            Role::Control | Role::Entry => String::new(),
        };
        self.commit(command::Body::QuarantineParts(QuarantineParts { operator, ..command }))
    }

    /// Commits the end of the quarantine of a set.
    pub(super) fn lift_quarantine(&mut self, command: LiftQuarantine) -> ResponseFuture<Reply> {
        self.commit(command::Body::LiftQuarantine(command))
    }

    pub(super) fn get_quarantine(&mut self) -> ResponseFuture<Reply> {
        self.linearizable_read(|replica| {
            let sets: Vec<QuarantinedParts> = replica.state.quarantine().iter().cloned().collect();
            let now_ms = replica.clock.now_ms();
            Reply { body: Some(reply::Body::Quarantine(QuarantineReply { sets, now_ms })) }
        })
    }
}

/// Returns a digest of the sets that is 0 only if there are none.
fn digest(active: &BTreeSet<PartSet>, pending: &BTreeSet<PartSet>) -> u64 {
    if active.is_empty() && pending.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    (active, pending).hash(&mut hasher);
    hasher.finish().max(1)
}

fn to_set(parts: &[u64]) -> PartSet {
    PartSet::new(parts.iter().map(|part| PartId(*part)))
}

fn to_ids(set: &PartSet) -> Vec<u64> {
    set.iter().map(|part| part.0).collect()
}
