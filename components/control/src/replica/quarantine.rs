//! Quarantine of prompt parts and requests under which upstreams crash.
//!
//! The arbiter collects the evidence of all gateways in memory. A set of features that
//! it confirms is in force at once through the syncs of this process, and is then committed
//! to the replicated state, from which every control process hands it to the gateways.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use actix::ResponseFuture;
use credentials::{Identity, Role};
use quarantine::{Crash, Evidence, Feature, FeatureSet, Fingerprint, PartId};
use schema::{
    CrashReply, CrashReport, ErrorCode, LiftQuarantine, QuarantineParts, QuarantineReply,
    QuarantinedParts, Reply, command, reply, request,
};
use wire::error_reply;

use super::Replica;
use super::local::LocalRequest;
use super::requests::ready;

/// Longest time for which an answer may still clear a feature with enough crashes, if some
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
    uncommitted: BTreeMap<FeatureSet, Uncommitted>,
    /// Sets that gateways have to reject.
    active: BTreeSet<FeatureSet>,
    /// Features of sets that are, or were lately, under quarantine.
    listed: HashSet<Feature>,
    /// Sets whose requests gateways hold back until they are quarantined or cleared.
    pending: BTreeSet<FeatureSet>,
    digest: u64,
    next_refresh_ms: u64,
}

impl Default for QuarantineState {
    fn default() -> Self {
        QuarantineState {
            evidence: Evidence::new(CONFIRMATION_MS),
            uncommitted: BTreeMap::new(),
            active: BTreeSet::new(),
            listed: HashSet::new(),
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

    /// Returns whether requests with these features are rejected or held back.
    fn covers(&self, features: &FeatureSet) -> bool {
        let mut sets = self.active.iter().chain(&self.pending);
        sets.any(|set| set.is_subset_of(features.as_slice()))
    }

    /// Returns the list for the gateways.
    pub(super) fn to_message(&self) -> Vec<schema::FeatureSet> {
        let active = self.active.iter().map(|set| (set, false));
        let pending = self.pending.iter().map(|set| (set, true));
        let sets = active.chain(pending);
        let to_message = |(set, pending): (&FeatureSet, bool)| schema::FeatureSet {
            parts: set.part_ids(),
            request: set.request_id(),
            pending,
        };
        sets.map(to_message).collect()
    }
}

impl Replica {
    /// Records a crash; quarantines the features under which upstreams crash.
    pub(super) fn report_crash(
        &mut self,
        peer: &Identity,
        report: CrashReport,
    ) -> ResponseFuture<Reply> {
        if report.vm != peer.name.as_str() {
            return ready(error_reply(ErrorCode::Forbidden, "a gateway reports for itself only"));
        }
        let now_ms = self.clock.now_ms();
        let set = FeatureSet::from_ids(&report.parts, report.request);
        let crash = Crash {
            upstream: report.upstream.as_str().into(),
            born_ms: report.born_ms,
            sent_ms: now_ms.saturating_sub(report.sent_age_ms),
            at_ms: now_ms.saturating_sub(report.age_ms),
        };
        log::info!(vm = report.vm.as_str(), upstream = report.upstream.as_str(), born_ms = report.born_ms, age_ms = report.age_ms, features = set.to_string().as_str(); "upstream crashed before an answer began");
        self.metrics.crashes.inc();
        self.record_answers(&report.answered_parts, &report.answered_requests, now_ms);
        self.quarantine.evidence.record_crash(crash, set.as_slice(), now_ms);
        self.renew_quarantine(set.as_slice(), now_ms);
        self.confirm(now_ms);
        self.refresh_quarantine(now_ms);
        let evidence = &self.quarantine.evidence;
        let others = self.gateway_syncs.arbiter.load_of_others(&report.vm);
        let others_at = others.get(report.upstream.as_str());
        let alone = report.alone && others_at.is_none_or(|load| load.running == 0);
        let may_repeat = evidence.may_repeat(set.as_slice(), alone, now_ms);
        let pending = self.quarantine.covers(&set);
        self.serve_gateways();
        ready(Reply { body: Some(reply::Body::Crash(CrashReply { may_repeat, pending })) })
    }

    /// Records the prompt parts and requests on which answers began at a gateway.
    pub(super) fn record_answers(&mut self, parts: &[u64], requests: &[u64], now_ms: u64) {
        let parts = parts.iter().map(|part| Feature::Part(PartId(*part)));
        let requests = requests.iter().map(|request| Feature::Request(Fingerprint(*request)));
        for feature in parts.chain(requests) {
            self.quarantine.evidence.record_answer(feature, now_ms);
            if self.quarantine.listed.contains(&feature) {
                self.clear_quarantine(feature, now_ms);
            }
        }
    }

    /// Reduces the active sets with a feature on which an answer began to their other
    /// features, or lifts them.
    fn clear_quarantine(&mut self, feature: Feature, now_ms: u64) {
        let active = self.quarantine.active.iter();
        let cleared = active.filter(|set| set.contains(feature) && !self.is_from_operator(set));
        for set in cleared.cloned().collect::<Vec<_>>() {
            let rest = set.without(feature);
            if rest.is_empty() {
                self.lift_answered(&set);
            } else {
                self.start_quarantine(rest, now_ms);
            }
        }
        if let Feature::Request(_) = feature {
            self.lift_ended(feature, now_ms);
        }
    }

    /// Forgets the ended quarantine of a request that was answered: a later crash does
    /// not renew it.
    fn lift_ended(&mut self, request: Feature, now_ms: u64) {
        let set = FeatureSet::new([request]);
        let quarantined = self.state.quarantine().get(&set);
        if quarantined.is_some_and(|quarantined| quarantined.until_ms <= now_ms) {
            self.quarantine.listed.remove(&request);
            self.lift_answered(&set);
        }
    }

    /// Confirms pending features after a sync of a gateway, which may be the last one that
    /// they wait for.
    pub(super) fn confirm_pending(&mut self, now_ms: u64) {
        if !self.quarantine.pending.is_empty() {
            self.confirm(now_ms);
            self.refresh_quarantine(now_ms);
        }
    }

    /// Returns whether an operator put the set under quarantine.
    fn is_from_operator(&self, set: &FeatureSet) -> bool {
        let committed = self.state.quarantine().get(set);
        committed.is_some_and(|quarantined| !quarantined.operator.is_empty())
    }

    /// Quarantines the features that are confirmed by now.
    fn confirm(&mut self, now_ms: u64) {
        let reported_ms = self.gateway_syncs.reported_ms(now_ms);
        for set in self.quarantine.evidence.confirm(now_ms, reported_ms) {
            self.start_quarantine(set, now_ms);
        }
    }

    /// Renews the quarantine of sets under which an upstream crashed once more after its
    /// end, unless an answer began on them since.
    fn renew_quarantine(&mut self, features: &[Feature], now_ms: u64) {
        let evidence = &self.quarantine.evidence;
        let is_suspect = |set: &&FeatureSet| {
            set.is_subset_of(features)
                && !set.iter().any(|feature| evidence.has_answered(feature, now_ms))
        };
        let ended = self.state.quarantine().ended(now_ms);
        for set in ended.filter(is_suspect).cloned().collect::<Vec<_>>() {
            self.start_quarantine(set, now_ms);
        }
    }

    fn start_quarantine(&mut self, set: FeatureSet, now_ms: u64) {
        if self.state.quarantine().rejects(set.as_slice(), now_ms)
            || self.quarantine.uncommitted.contains_key(&set)
            || self.quarantine.uncommitted.len() >= MAX_UNCOMMITTED
        {
            return;
        }
        log::warn!(features = set.to_string().as_str(); "requests quarantined: upstreams crash under them");
        let uncommitted = Uncommitted { since_ms: now_ms, next_attempt_ms: now_ms };
        self.quarantine.uncommitted.insert(set, uncommitted);
        self.refresh_quarantine(now_ms);
        self.commit_uncommitted(now_ms);
    }

    /// Lifts the quarantine of a set on which an answer began.
    fn lift_answered(&mut self, set: &FeatureSet) {
        log::warn!(features = set.to_string().as_str(); "answer began on quarantined requests; lifting the quarantine");
        self.quarantine.uncommitted.remove(set);
        let lift = LiftQuarantine { parts: set.part_ids(), request: set.request_id() };
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
                QuarantineParts {
                    parts: set.part_ids(),
                    request: set.request_id(),
                    operator: String::new(),
                }
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

    /// Confirms pending features that are due and applies what changed meanwhile.
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
        uncommitted.retain(|set, _| !committed.rejects(set.as_slice(), now_ms));
        let active = committed.active(now_ms).chain(uncommitted.keys());
        let active: BTreeSet<FeatureSet> = active.cloned().collect();
        let pending: BTreeSet<FeatureSet> = self.quarantine.evidence.pending().collect();
        let listed = committed.sets().chain(uncommitted.keys());
        self.quarantine.listed = listed.flat_map(FeatureSet::iter).collect();
        if active != self.quarantine.active || pending != self.quarantine.pending {
            self.quarantine.digest = digest(&active, &pending);
            self.metrics.quarantined.set(i64::try_from(active.len()).unwrap_or(i64::MAX));
            self.quarantine.active = active;
            self.quarantine.pending = pending;
        }
    }

    /// Drops what this process holds against a set whose quarantine was lifted.
    pub(super) fn forget_quarantine(&mut self, set: &FeatureSet) {
        log::info!(features = set.to_string().as_str(); "quarantine of requests lifted");
        self.quarantine.uncommitted.remove(set);
        for feature in set.iter() {
            self.quarantine.evidence.clear(feature);
        }
    }

    /// Commits the quarantine of a set, in the name of the operator if one asks for it.
    pub(super) fn quarantine_parts(
        &mut self,
        peer: &Identity,
        command: QuarantineParts,
    ) -> ResponseFuture<Reply> {
        if command.parts.is_empty() && command.request == 0 {
            return ready(error_reply(
                ErrorCode::Invalid,
                "no prompt part and no request is named",
            ));
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
fn digest(active: &BTreeSet<FeatureSet>, pending: &BTreeSet<FeatureSet>) -> u64 {
    if active.is_empty() && pending.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    (active, pending).hash(&mut hasher);
    hasher.finish().max(1)
}
