//! Health of upstreams as this gateway sees it, and the ejections that the arbiter lists.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use balance::{Ejection, EjectionPhase, FINDING_PERIOD_MS, Finding, OutlierDetector};
use compact_str::CompactString;
use schema::{UpstreamEjection, UpstreamEvidence, UpstreamFinding};

/// Most findings in one sync request.
const MAX_REPORTS: usize = 64;
/// Time for which an ejection is kept that no arbiter confirms, once requests may try its
/// upstream.
const UNCONFIRMED_TRIAL_MS: u64 = 10_000;

/// Incarnation of an upstream that a finding is about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subject<'a> {
    pub(crate) id: &'a CompactString,
    pub(crate) service: &'a CompactString,
    pub(crate) born_ms: u64,
}

/// Last finding of this gateway about an upstream.
#[derive(Debug)]
struct KnownFinding {
    /// Increases with each finding.
    number: u64,
    born_ms: u64,
    service: CompactString,
    finding: Finding,
    observed_ms: u64,
}

/// Ejection in the list of an arbiter.
#[derive(Debug)]
struct ListedEjection {
    arbiter: SocketAddr,
    born_ms: u64,
    until_ms: u64,
}

/// Findings for an arbiter.
#[derive(Debug)]
pub(crate) struct DueFindings {
    /// Oldest first.
    pub(crate) reports: Vec<UpstreamEvidence>,
    /// Number up to which the arbiter has all findings once it has these.
    pub(crate) through: u64,
}

/// Failures of upstreams at this gateway, and ejections by what all gateways saw.
#[derive(Debug, Default)]
pub(crate) struct UpstreamHealth {
    detector: OutlierDetector,
    findings: BTreeMap<CompactString, KnownFinding>,
    last_number: u64,
    /// Arbiter that has the findings up to a number.
    confirmed: Option<(SocketAddr, u64)>,
    listed: HashMap<CompactString, ListedEjection>,
}

impl UpstreamHealth {
    /// Records an upstream that accepts no connection; returns the duration of the ejection by
    /// this gateway in milliseconds if this begins one.
    pub(crate) fn record_unreachable(&mut self, subject: Subject<'_>, now_ms: u64) -> Option<u64> {
        self.record(subject, Finding::Unreachable, now_ms);
        self.detector.record_unreachable(subject.id, now_ms)
    }

    /// Records a connection that ended before the first byte of an answer.
    pub(crate) fn record_lost(&mut self, subject: Subject<'_>, now_ms: u64) -> Option<u64> {
        self.record(subject, Finding::ConnectionLost, now_ms);
        self.detector.record_failure(subject.id, now_ms)
    }

    /// Records another failure, which others learn of once there were several.
    pub(crate) fn record_failure(&mut self, subject: Subject<'_>, now_ms: u64) -> Option<u64> {
        let ejected_ms = self.detector.record_failure(subject.id, now_ms);
        if ejected_ms.is_some() {
            self.record(subject, Finding::Failing, now_ms);
        }
        ejected_ms
    }

    /// Records an answer; returns whether others should know, as the upstream was known to fail.
    pub(crate) fn record_answer(&mut self, subject: Subject<'_>, now_ms: u64) -> bool {
        self.detector.record_success(subject.id);
        let listed = self.listed.get(subject.id.as_str());
        let is_listed = listed
            .is_some_and(|listed| listed.born_ms == subject.born_ms && now_ms >= listed.until_ms);
        let known = self.findings.get(subject.id.as_str());
        let failed = known.is_some_and(|known| {
            known.born_ms == subject.born_ms && known.finding != Finding::Answers
        });
        if is_listed || failed {
            self.record(subject, Finding::Answers, now_ms);
        }
        is_listed
    }

    /// Forgets an earlier incarnation; returns whether others should know that there is a new
    /// one.
    pub(crate) fn restart(&mut self, subject: Subject<'_>, now_ms: u64) -> bool {
        self.detector.reset(subject.id);
        let listed = self.listed.get(subject.id.as_str());
        let was_ejected = listed.is_some_and(|listed| listed.born_ms < subject.born_ms);
        if was_ejected {
            self.listed.remove(subject.id.as_str());
            self.record(subject, Finding::Answers, now_ms);
        }
        was_ejected
    }

    fn record(&mut self, subject: Subject<'_>, finding: Finding, now_ms: u64) {
        self.last_number += 1;
        let known = KnownFinding {
            number: self.last_number,
            born_ms: subject.born_ms,
            service: subject.service.clone(),
            finding,
            observed_ms: now_ms,
        };
        self.findings.insert(subject.id.clone(), known);
    }

    /// Returns whether a request is not to be sent to this incarnation. Those that may run
    /// again are the first to try it when its ejection has passed.
    pub(crate) fn is_ejected(
        &self,
        (id, born_ms): (&str, u64),
        may_run_again: bool,
        now_ms: u64,
    ) -> bool {
        let by_list = match self.phase(id, born_ms, now_ms) {
            Some(EjectionPhase::Ejected) => true,
            Some(EjectionPhase::CarefulTrial) => !may_run_again,
            Some(EjectionPhase::Trial) | None => false,
        };
        by_list || self.detector.is_ejected(id, now_ms)
    }

    /// Returns whether the arbiter is to choose the request that tries this incarnation.
    pub(crate) fn is_on_trial(&self, id: &str, now_ms: u64) -> bool {
        self.listed.get(id).is_some_and(|listed| now_ms >= listed.until_ms)
    }

    fn phase(&self, id: &str, born_ms: u64, now_ms: u64) -> Option<EjectionPhase> {
        let listed = self.listed.get(id).filter(|listed| listed.born_ms == born_ms)?;
        Some(Ejection::phase(listed.until_ms, now_ms))
    }

    /// Returns the findings that this arbiter does not have, or as many as one request may name.
    /// `serving` returns how many upstreams of a service accept requests.
    pub(crate) fn due_reports(
        &self,
        arbiter: SocketAddr,
        serving: impl Fn(&str) -> u32,
        now_ms: u64,
    ) -> DueFindings {
        let confirmed = self.confirmed.filter(|(address, _)| *address == arbiter);
        let confirmed = confirmed.map_or(0, |(_, number)| number);
        let is_due = |known: &KnownFinding| {
            known.number > confirmed && now_ms < known.observed_ms + FINDING_PERIOD_MS
        };
        let mut due: Vec<_> = self.findings.iter().filter(|(_, known)| is_due(known)).collect();
        due.sort_unstable_by_key(|(_, known)| known.number);
        let is_complete = due.len() <= MAX_REPORTS;
        due.truncate(MAX_REPORTS);
        let last = due.last().filter(|_| !is_complete);
        let through = last.map_or(self.last_number, |(_, known)| known.number);
        let to_message = |(id, known): (&CompactString, &KnownFinding)| UpstreamEvidence {
            id: id.to_string(),
            born_ms: known.born_ms,
            service: known.service.to_string(),
            serving: serving(&known.service),
            finding: to_message(known.finding).into(),
            age_ms: now_ms.saturating_sub(known.observed_ms),
        };
        DueFindings { reports: due.into_iter().map(to_message).collect(), through }
    }

    /// Records that the arbiter has received the findings up to a number.
    pub(crate) fn confirm(&mut self, arbiter: SocketAddr, number: u64) {
        self.confirmed = Some((arbiter, number));
    }

    /// Applies the list in a sync reply of the arbiter. What another arbiter has ejected stays so
    /// until requests may try it. An arbiter that lists an earlier incarnation than the one that
    /// `current` returns, with its service, is to know of that.
    pub(crate) fn apply(
        &mut self,
        arbiter: SocketAddr,
        ejections: &[UpstreamEjection],
        current: impl Fn(&str) -> Option<(CompactString, u64)>,
        now_ms: u64,
    ) {
        self.listed.retain(|_, listed| listed.arbiter != arbiter && now_ms < listed.until_ms);
        for ejection in ejections {
            if let Some((service, born_ms)) = current(&ejection.id)
                && ejection.born_ms < born_ms
            {
                let id = CompactString::from(ejection.id.as_str());
                let subject = Subject { id: &id, service: &service, born_ms };
                if self.findings.get(&id).is_none_or(|known| known.born_ms < born_ms) {
                    self.record(subject, Finding::Answers, now_ms);
                }
                continue;
            }
            let until_ms = (now_ms + ejection.left_ms).saturating_sub(ejection.passed_ms);
            let listed = ListedEjection { arbiter, born_ms: ejection.born_ms, until_ms };
            self.listed.insert(ejection.id.as_str().into(), listed);
        }
    }

    /// Drops what is too old.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.detector.expire(now_ms);
        self.findings.retain(|_, known| now_ms < known.observed_ms + FINDING_PERIOD_MS);
        self.listed.retain(|_, listed| now_ms < listed.until_ms + UNCONFIRMED_TRIAL_MS);
    }
}

fn to_message(finding: Finding) -> UpstreamFinding {
    match finding {
        Finding::Unreachable => UpstreamFinding::Unreachable,
        Finding::ConnectionLost => UpstreamFinding::ConnectionLost,
        Finding::Failing => UpstreamFinding::Failing,
        Finding::Answers => UpstreamFinding::Answers,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/health.rs"]
mod tests;
