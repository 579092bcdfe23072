//! Features of requests that this gateway rejects, and its evidence on them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ::quarantine::{Crash, Evidence, Feature, FeatureSet, Fingerprint, PartId};
use tokio::time::Instant;

/// Time for which the list of a control process that is not connected stays in force,
/// and a set that this gateway quarantined by itself.
const STALE_LIST_PERIOD: Duration = Duration::from_secs(120);
/// Longest time for which a request waits for a pending set to be quarantined or cleared;
/// several times what that takes.
pub(crate) const MAX_HOLD: Duration = Duration::from_millis(400);
/// Answered features that wait for the next sync; more are dropped.
const MAX_ANSWERED: usize = 4_096;

/// Quarantined sets of features, by their first feature.
#[derive(Debug, Default)]
struct SetIndex(HashMap<Feature, Vec<FeatureSet>>);

impl SetIndex {
    fn insert(&mut self, set: FeatureSet) {
        let first = set.iter().next();
        if let Some(first) = first {
            self.0.entry(first).or_default().push(set);
        }
    }

    /// Returns a set all of whose features are among `features`.
    fn find(&self, features: &[Feature]) -> Option<&FeatureSet> {
        let sets = features.iter().filter_map(|feature| self.0.get(feature)).flatten();
        sets.into_iter().find(|set| set.is_subset_of(features))
    }
}

/// Quarantine according to one control process.
#[derive(Debug, Default)]
struct SourceList {
    digest: u64,
    quarantined: SetIndex,
    pending: SetIndex,
    disconnected_at: Option<Instant>,
}

/// Quarantine from all control processes, and evidence of this gateway.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    by_source: BTreeMap<SocketAddr, SourceList>,
    /// Features on which an answer began since the last sync with the arbiter.
    answered: BTreeSet<Feature>,
    /// Evidence of this gateway alone, used while no arbiter replies.
    evidence: Evidence,
    /// Sets that this gateway quarantined by itself, and when.
    own: Vec<(FeatureSet, Instant)>,
    /// Requests to hold back until the next list of the arbiter, and since when.
    held: Vec<(FeatureSet, Instant)>,
}

impl Quarantine {
    /// Returns a quarantined set of which a request has all features.
    pub(crate) fn find(&self, features: &[Feature]) -> Option<&FeatureSet> {
        let listed = self.by_source.values().find_map(|list| list.quarantined.find(features));
        let own = || self.own.iter().map(|(set, _)| set);
        listed.or_else(|| own().find(|set| set.is_subset_of(features)))
    }

    /// Returns whether requests with these features are to be held back; not if they are
    /// quarantined already.
    pub(crate) fn is_pending(&self, features: &[Feature]) -> bool {
        if self.find(features).is_some() {
            return false;
        }
        let is_held = || {
            let held = self.held.iter().filter(|(_, since)| since.elapsed() < MAX_HOLD);
            held.into_iter().any(|(set, _)| set.is_subset_of(features))
        };
        self.by_source.values().any(|list| list.pending.find(features).is_some()) || is_held()
    }

    /// Holds back requests with all of these features until the arbiter has decided.
    pub(crate) fn hold(&mut self, features: FeatureSet) {
        self.held.push((features, Instant::now()));
    }

    /// Returns the digest of the list that was last received from a control process.
    pub(crate) fn digest(&self, source: SocketAddr) -> u64 {
        self.by_source.get(&source).map_or(0, |list| list.digest)
    }

    /// Applies the list of a control process; returns whether it changed.
    pub(crate) fn apply(
        &mut self,
        source: SocketAddr,
        digest: u64,
        sets: &[schema::FeatureSet],
    ) -> bool {
        let list = self.by_source.entry(source).or_default();
        list.disconnected_at = None;
        if list.digest == digest {
            return false;
        }
        list.digest = digest;
        self.held.clear();
        list.quarantined = SetIndex::default();
        list.pending = SetIndex::default();
        for set in sets {
            let index = if set.pending { &mut list.pending } else { &mut list.quarantined };
            index.insert(FeatureSet::from_ids(&set.parts, set.request));
        }
        log::info!(control = source.to_string().as_str(), sets = sets.len(); "quarantine changed");
        true
    }

    /// Marks a control process as disconnected; its list stays in force for a while.
    pub(crate) fn disconnect(&mut self, source: SocketAddr) {
        if let Some(list) = self.by_source.get_mut(&source) {
            list.disconnected_at.get_or_insert_with(Instant::now);
            list.pending = SetIndex::default();
        }
    }

    /// Drops the list of a control process that is no longer a member.
    pub(crate) fn remove_source(&mut self, source: SocketAddr) {
        self.by_source.remove(&source);
    }

    /// Drops what is too old.
    pub(crate) fn expire(&mut self) {
        self.by_source.retain(|_, list| {
            list.disconnected_at.is_none_or(|since| since.elapsed() < STALE_LIST_PERIOD)
        });
        self.own.retain(|(_, since)| since.elapsed() < STALE_LIST_PERIOD);
        self.held.retain(|(_, since)| since.elapsed() < MAX_HOLD);
    }

    /// Records a crash in the evidence of this gateway.
    pub(crate) fn record_crash(&mut self, crash: Crash, features: &[Feature], now_ms: u64) {
        self.evidence.record_crash(crash, features, now_ms);
    }

    /// Quarantines features by the evidence of this gateway, which has no arbiter; returns
    /// whether a request with these features may be repeated that was the only one at its
    /// upstream if `alone`.
    pub(crate) fn decide_locally(
        &mut self,
        features: &FeatureSet,
        alone: bool,
        now_ms: u64,
    ) -> bool {
        for set in self.evidence.confirm(now_ms, now_ms) {
            log::warn!(features = set.to_string().as_str(); "requests quarantined at this gateway: upstreams crash under them");
            self.own.push((set, Instant::now()));
        }
        self.evidence.may_repeat(features.as_slice(), alone, now_ms)
    }

    /// Records that the answer to a request with these features began.
    pub(crate) fn record_answer(&mut self, features: &FeatureSet, now_ms: u64) {
        for feature in features.iter() {
            self.evidence.record_answer(feature, now_ms);
            if self.answered.len() < MAX_ANSWERED {
                self.answered.insert(feature);
            }
        }
    }

    /// Adds features whose report was lost.
    pub(crate) fn restore_answered(&mut self, answered: &AnsweredFeatures) {
        let AnsweredFeatures { parts, requests } = answered;
        self.answered.extend(parts.iter().map(|part| Feature::Part(PartId(*part))));
        let requests = requests.iter().map(|request| Feature::Request(Fingerprint(*request)));
        self.answered.extend(requests);
    }

    /// Takes the features on which an answer began since the last call.
    pub(crate) fn take_answered(&mut self) -> AnsweredFeatures {
        let mut answered = AnsweredFeatures::default();
        for feature in std::mem::take(&mut self.answered) {
            match feature {
                Feature::Part(part) => answered.parts.push(part.0),
                Feature::Request(fingerprint) => answered.requests.push(fingerprint.0),
            }
        }
        answered
    }
}

/// Features on which answers began, as they are reported to the arbiter.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredFeatures {
    /// Ids of prompt parts.
    pub(crate) parts: Vec<u64>,
    /// Fingerprints of requests.
    pub(crate) requests: Vec<u64>,
}
