//! Brings the membership of the group towards its target, one change at a
//! time.

use std::collections::BTreeMap;

use schema::{Configuration, Replica as Member};

use super::Replica;

const RECONCILE_INTERVAL_MS: u64 = 200;
/// Time after which a process that no longer asks to join is forgotten.
const CANDIDATE_LIFE_MS: u64 = 5_000;
/// Silence after which a voter is replaced by a learner that has caught up:
/// longer than an election and a short pause, short enough that a replacement
/// votes within seconds of its start.
const SILENT_VOTER_MS: u64 = 2_000;
/// Silence after which a learner is forgotten; it joins again when it is back.
const SILENT_LEARNER_MS: u64 = 10_000;

/// Processes that asked to join.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    by_id: BTreeMap<u64, (Member, u64)>,
    next_ms: u64,
}

impl Candidates {
    pub(crate) fn add(&mut self, member: Member, now_ms: u64) {
        self.by_id.insert(member.id, (member, now_ms));
    }

    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
    }
}

impl Replica {
    pub(super) fn reconcile_members(&mut self, now_ms: u64) {
        if now_ms < self.candidates.next_ms {
            return;
        }
        self.candidates.next_ms = now_ms + RECONCILE_INTERVAL_MS;
        self.candidates.by_id.retain(|_, (_, seen_ms)| now_ms < *seen_ms + CANDIDATE_LIFE_MS);
        let Some(next) = self.next_configuration() else { return };
        // A refused change is tried again at the next interval.
        if let Err(error) = self.node.propose_configuration(next) {
            log::debug!(error = error.to_string().as_str(); "membership change put off");
        }
    }

    /// Returns the next configuration on the way to the target, if any.
    fn next_configuration(&self) -> Option<Configuration> {
        let current = self.node.configuration();
        self.with_new_learner(current)
            .or_else(|| self.without_lost_identity(current))
            .or_else(|| self.without_silent_voter(current))
            .or_else(|| self.without_silent_learner(current))
            .or_else(|| self.with_promotion(current))
    }

    fn with_new_learner(&self, current: &Configuration) -> Option<Configuration> {
        let known = |member: &Member| current.replicas.iter().any(|r| r.id == member.id);
        let (candidate, _) = self.candidates.by_id.values().find(|(member, _)| !known(member))?;
        let mut replicas = current.replicas.clone();
        // An older learner of the same VM lost its disk before it was promoted.
        replicas.retain(|r| r.voter || r.vm != candidate.vm);
        replicas.push(Member { voter: false, ..candidate.clone() });
        Some(Configuration { replicas })
    }

    /// Removes a voter whose VM came back under a new identity, once the new
    /// one has caught up: the disk of the old identity is lost.
    fn without_lost_identity(&self, current: &Configuration) -> Option<Configuration> {
        let learner = self
            .ready_learners(current)
            .find(|learner| current.replicas.iter().any(|r| r.voter && r.vm == learner.vm))?;
        let mut replicas = current.replicas.clone();
        replicas.retain(|r| r.id == learner.id || r.vm != learner.vm);
        Some(Configuration { replicas })
    }

    /// Removes a voter that has been silent for a while, where the group keeps
    /// its voters by itself and a learner is ready to take the place.
    fn without_silent_voter(&self, current: &Configuration) -> Option<Configuration> {
        let full = consensus::voter_count(current) >= self.config.target_voters as usize;
        if self.config.tolerated_losses == 0 || !full {
            return None;
        }
        self.ready_learners(current).next()?;
        let silent = |r: &&Member| r.voter && self.is_silent(r, SILENT_VOTER_MS);
        let lost = current.replicas.iter().find(silent)?;
        log::warn!(replica = lost.id, vm = lost.vm.as_str(); "voter silent; a learner takes its place");
        Some(without(current, lost.id))
    }

    fn without_silent_learner(&self, current: &Configuration) -> Option<Configuration> {
        if self.config.tolerated_losses == 0 {
            return None;
        }
        let silent = |r: &&Member| !r.voter && self.is_silent(r, SILENT_LEARNER_MS);
        let lost = current.replicas.iter().find(silent)?;
        Some(without(current, lost.id))
    }

    fn is_silent(&self, replica: &Member, bound_ms: u64) -> bool {
        self.node.silence_ms(replica.id).is_some_and(|silence_ms| silence_ms > bound_ms)
    }

    fn with_promotion(&self, current: &Configuration) -> Option<Configuration> {
        if consensus::voter_count(current) >= self.config.target_voters as usize {
            return None;
        }
        let learner = self.ready_learners(current).next()?.id;
        let mut replicas = current.replicas.clone();
        replicas.iter_mut().filter(|r| r.id == learner).for_each(|r| r.voter = true);
        Some(Configuration { replicas })
    }

    /// Returns learners that have everything committed on their disk.
    fn ready_learners<'a>(
        &'a self,
        current: &'a Configuration,
    ) -> impl Iterator<Item = &'a Member> {
        let commit = self.node.commit();
        let alive_ms = self.config.timers.election_ms;
        current.replicas.iter().filter(move |replica| {
            !replica.voter
                && self.node.matched(replica.id).is_some_and(|matched| matched >= commit)
                && self.node.silence_ms(replica.id).is_some_and(|silence| silence < alive_ms)
        })
    }
}

fn without(current: &Configuration, id: u64) -> Configuration {
    let mut replicas = current.replicas.clone();
    replicas.retain(|replica| replica.id != id);
    Configuration { replicas }
}
