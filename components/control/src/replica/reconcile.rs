//! Reconciles the membership of the control group with its target, one
//! configuration change at a time.

use std::collections::BTreeMap;

use schema::{Configuration, Replica as ReplicaInfo};

use super::Replica;

const RECONCILE_INTERVAL_MS: u64 = 200;
/// Time after its last join request for which a process remains a candidate.
const JOIN_REQUEST_TTL_MS: u64 = 5_000;
/// Time without a reply, or with a disk that accepts no writes, after which a voter is
/// replaced by a learner that has caught up: longer than an election and than a short pause of the process, short
/// enough that a replacement votes within seconds of its start.
const VOTER_SILENCE_TIMEOUT_MS: u64 = 2_000;
/// Time without a reply after which a learner is removed, where the group replaces
/// lost voters by itself; it joins again when it is back.
const LEARNER_SILENCE_TIMEOUT_MS: u64 = 10_000;

/// Processes that asked to join.
#[derive(Debug, Default)]
pub(crate) struct JoinCandidates {
    /// Replicas and the times of their last join requests, by id.
    by_id: BTreeMap<u64, (ReplicaInfo, u64)>,
    next_reconcile_ms: u64,
}

impl JoinCandidates {
    pub(crate) fn add(&mut self, replica: ReplicaInfo, now_ms: u64) {
        self.by_id.insert(replica.id, (replica, now_ms));
    }

    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
    }
}

impl Replica {
    pub(super) fn reconcile_members(&mut self, now_ms: u64) {
        if now_ms < self.join_candidates.next_reconcile_ms {
            return;
        }
        self.join_candidates.next_reconcile_ms = now_ms + RECONCILE_INTERVAL_MS;
        self.join_candidates
            .by_id
            .retain(|_, (_, requested_ms)| now_ms < *requested_ms + JOIN_REQUEST_TTL_MS);
        let Some(next) = self.next_configuration() else { return };
        // A rejected change is retried after `RECONCILE_INTERVAL_MS`.
        if let Err(error) = self.node.propose_configuration(next) {
            log::debug!(error = error.to_string().as_str(); "membership change rejected; retrying later");
        }
    }

    /// Returns the next configuration change towards the target, if any.
    fn next_configuration(&self) -> Option<Configuration> {
        let current = self.node.configuration();
        self.with_new_learner(current)
            .or_else(|| self.without_replaced_voter(current))
            .or_else(|| self.without_silent_voter(current))
            .or_else(|| self.without_silent_learner(current))
            .or_else(|| self.with_promoted_learner(current))
    }

    fn with_new_learner(&self, current: &Configuration) -> Option<Configuration> {
        let is_member = |info: &ReplicaInfo| current.replicas.iter().any(|r| r.id == info.id);
        let (candidate, _) =
            self.join_candidates.by_id.values().find(|(info, _)| !is_member(info))?;
        let mut replicas = current.replicas.clone();
        // An older learner of the same VM lost its disk before it was promoted.
        replicas.retain(|r| r.voter || r.vm != candidate.vm);
        replicas.push(ReplicaInfo { voter: false, ..candidate.clone() });
        Some(Configuration { replicas })
    }

    /// Removes a voter whose VM joined again under a new replica id, once the new
    /// replica has caught up: the disk of the old replica is lost.
    fn without_replaced_voter(&self, current: &Configuration) -> Option<Configuration> {
        let learner = self
            .caught_up_learners(current)
            .find(|learner| current.replicas.iter().any(|r| r.voter && r.vm == learner.vm))?;
        let mut replicas = current.replicas.clone();
        replicas.retain(|r| r.id == learner.id || r.vm != learner.vm);
        Some(Configuration { replicas })
    }

    /// Removes a voter that does not reply, where the group replaces lost voters
    /// by itself (`tolerated_losses` > 0), has its target number of voters, and a
    /// learner has caught up.
    fn without_silent_voter(&self, current: &Configuration) -> Option<Configuration> {
        let full = consensus::voter_count(current) >= self.config.target_voters as usize;
        if self.config.tolerated_losses == 0 || !full {
            return None;
        }
        self.caught_up_learners(current).next()?;
        let silent = |r: &&ReplicaInfo| r.voter && self.is_silent(r, VOTER_SILENCE_TIMEOUT_MS);
        let lost = current.replicas.iter().find(silent)?;
        log::warn!(replica = lost.id, vm = lost.vm.as_str(); "voter not responding; replacing it with a learner");
        Some(without_replica(current, lost.id))
    }

    fn without_silent_learner(&self, current: &Configuration) -> Option<Configuration> {
        if self.config.tolerated_losses == 0 {
            return None;
        }
        let silent = |r: &&ReplicaInfo| !r.voter && self.is_silent(r, LEARNER_SILENCE_TIMEOUT_MS);
        let lost = current.replicas.iter().find(silent)?;
        Some(without_replica(current, lost.id))
    }

    fn is_silent(&self, replica: &ReplicaInfo, timeout_ms: u64) -> bool {
        self.node.ms_since_writable(replica.id).is_some_and(|elapsed_ms| elapsed_ms > timeout_ms)
    }

    fn with_promoted_learner(&self, current: &Configuration) -> Option<Configuration> {
        if consensus::voter_count(current) >= self.config.target_voters as usize {
            return None;
        }
        let learner = self.caught_up_learners(current).next()?.id;
        let mut replicas = current.replicas.clone();
        replicas.iter_mut().filter(|r| r.id == learner).for_each(|r| r.voter = true);
        Some(Configuration { replicas })
    }

    /// Returns responsive learners that hold all committed entries on disk.
    fn caught_up_learners<'a>(
        &'a self,
        current: &'a Configuration,
    ) -> impl Iterator<Item = &'a ReplicaInfo> {
        let commit_index = self.node.commit_index();
        let timeout_ms = self.config.timers.election_ms;
        current.replicas.iter().filter(move |replica| {
            !replica.voter
                && self.node.match_index(replica.id).is_some_and(|index| index >= commit_index)
                && self
                    .node
                    .ms_since_writable(replica.id)
                    .is_some_and(|elapsed_ms| elapsed_ms < timeout_ms)
        })
    }
}

fn without_replica(current: &Configuration, id: u64) -> Configuration {
    let mut replicas = current.replicas.clone();
    replicas.retain(|replica| replica.id != id);
    Configuration { replicas }
}
