//! Ejections of upstreams by what several entries saw of them.
//!
//! Each entry learns of a failing upstream by a failed request of its own. The arbiter collects
//! these findings, so that one request is enough for all entries. An ejected upstream is tried
//! by one request once its ejection has passed; the result ends or renews the ejection.

mod ejection;
mod upstream;

use std::collections::HashMap;

use compact_str::CompactString;

pub use self::ejection::{Ejection, EjectionPhase};
use self::upstream::Upstream;

/// Age up to which a finding counts.
pub const FINDING_PERIOD_MS: u64 = 4_000;
/// Share of a service's upstreams that are ejected at once, at most.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// The same for those of which one entry alone has reported failures; one at least, and never
/// more than a number, whatever size of the service that entry reports.
const MAX_SINGLE_SHARE: f64 = 0.1;
const MAX_SINGLE: f64 = 8.0;
/// Time after an ejection for which the next one counts as a further one.
const HISTORY_MS: u64 = 30_000;
/// Time for which the one request that tries an upstream may take, before another one does.
const TRIAL_MS: u64 = 2_000;
/// Time after which an ejection ends that no request has tried to end.
const MAX_TRIAL_MS: u64 = 10_000;
/// Most upstreams that findings are kept of, and most services.
const MAX_UPSTREAMS: usize = 4_096;
const MAX_SERVICES: usize = 1_024;

/// What an entry saw of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// It accepts no connection.
    Unreachable,
    /// The connection ended before the first byte of an answer.
    ConnectionLost,
    /// Several requests failed in a row.
    Failing,
    /// It answers.
    Answers,
}

/// Finding of one entry.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Id of the upstream.
    pub id: CompactString,
    /// Start time of its incarnation, in Unix milliseconds.
    pub born_ms: u64,
    /// Service of the upstream.
    pub service: CompactString,
    /// Upstreams of the service that accept requests, as the entry knows.
    pub serving: u32,
    /// What was seen.
    pub finding: Finding,
    /// When it was seen.
    pub observed_ms: u64,
}

/// Change of an ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// It began, lasts longer or was renewed; how many entries saw failures, and how long it
    /// lasts from now on.
    Ejected {
        /// Entries that saw failures.
        witnesses: usize,
        /// Time left.
        left_ms: u64,
    },
    /// It ended.
    Ended(EjectionEnd),
}

/// Why an ejection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionEnd {
    /// The upstream answers again.
    Answers,
    /// A new incarnation has started.
    Replaced,
    /// The only witness reaches no upstream itself.
    WitnessCutOff,
    /// No request tried the upstream.
    Untried,
    /// Too large a share of the service would be ejected.
    TooMany,
}

/// Upstreams of a service that accept requests, as entries report it.
#[derive(Clone, Debug, Default)]
struct Serving {
    by_entry: HashMap<CompactString, (u32, u64)>,
}

impl Serving {
    /// Returns the median of what entries report, so that a wrong one does not decide.
    fn count(&self) -> u32 {
        let mut counts: Vec<u32> = self.by_entry.values().map(|(count, _)| *count).collect();
        counts.sort_unstable();
        counts.get(counts.len().saturating_sub(1) / 2).copied().unwrap_or_default()
    }
}

/// Findings of all entries, and the ejections that follow from them.
///
/// ```
/// use balance::{Evidence, Finding, Witnesses};
/// let mut witnesses = Witnesses::default();
/// let evidence = Evidence {
///     id: "engine".into(),
///     born_ms: 1,
///     service: "llm".into(),
///     serving: 10,
///     finding: Finding::ConnectionLost,
///     observed_ms: 0,
/// };
/// witnesses.report("entry", evidence, 0);
/// assert!(!witnesses.may_take("engine", 100));
/// // One request may try it then.
/// assert!(witnesses.may_take("engine", 1_000));
/// witnesses.take("engine", 1_000);
/// assert!(!witnesses.may_take("engine", 1_010));
/// ```
#[derive(Debug, Default)]
pub struct Witnesses {
    by_id: HashMap<CompactString, Upstream>,
    services: HashMap<CompactString, Serving>,
}

impl Witnesses {
    /// Records what an entry saw; returns how that changes the ejection of the upstream. What is
    /// older than [`FINDING_PERIOD_MS`], or of an earlier incarnation, changes nothing.
    pub fn report(
        &mut self,
        entry: &str,
        evidence: Evidence,
        now_ms: u64,
    ) -> Option<EjectionChange> {
        let observed_ms = evidence.observed_ms.min(now_ms);
        if now_ms >= observed_ms + FINDING_PERIOD_MS {
            return None;
        }
        let is_new = !self.by_id.contains_key(&evidence.id);
        let is_new_service = !self.services.contains_key(&evidence.service);
        if (is_new && self.by_id.len() >= MAX_UPSTREAMS)
            || (is_new_service && self.services.len() >= MAX_SERVICES)
        {
            return None;
        }
        let Evidence { id, born_ms, service, serving, finding, .. } = evidence;
        let counts = &mut self.services.entry(service.clone()).or_default().by_entry;
        counts.insert(entry.into(), (serving, now_ms));
        let upstream = self.by_id.entry(id.clone()).or_default();
        if born_ms < upstream.born_ms {
            return None;
        }
        let mut replaced = None;
        if born_ms > upstream.born_ms {
            let ended = upstream.ejection.is_some();
            replaced = ended.then_some(EjectionChange::Ended(EjectionEnd::Replaced));
            *upstream = Upstream { born_ms, service, ..Upstream::default() };
        }
        upstream.reported_ms = now_ms;
        let change = match finding {
            Finding::Answers => upstream.record_answer(entry, observed_ms, now_ms),
            Finding::Unreachable | Finding::ConnectionLost | Finding::Failing => {
                self.record_failure(entry, &id, observed_ms, now_ms)
            }
        };
        change.or(replaced)
    }

    fn record_failure(
        &mut self,
        entry: &str,
        id: &str,
        observed_ms: u64,
        now_ms: u64,
    ) -> Option<EjectionChange> {
        let may_begin = self.may_begin(entry, id, now_ms);
        let upstream = self.by_id.get_mut(id)?;
        // A later answer of the same incarnation refutes it.
        if upstream.answered_ms.is_some_and(|answered_ms| observed_ms <= answered_ms) {
            return None;
        }
        upstream.record_witness(entry, observed_ms, now_ms);
        match &upstream.ejection {
            None if !may_begin => None,
            None => upstream.eject(now_ms),
            // What was seen before the upstream could be tried is no result of the trial.
            Some(ejection) if observed_ms < ejection.until_ms => upstream.extend(now_ms),
            Some(_) => upstream.eject(now_ms),
        }
    }

    /// Returns whether one more upstream of the service may be ejected as `entry` reports.
    fn may_begin(&self, entry: &str, id: &str, now_ms: u64) -> bool {
        let Some(upstream) = self.by_id.get(id) else { return false };
        let serving = self.services.get(&upstream.service).map_or(0, Serving::count);
        let serving = f64::from(serving);
        let ejected = || {
            let same_service = self.by_id.values().filter(|u| u.service == upstream.service);
            same_service.filter(|other| other.ejection.is_some())
        };
        let is_sole =
            |other: &&Upstream| matches!(&other.witnesses[..], [only] if only.entry == entry);
        let others_know = upstream.current_witnesses(now_ms).any(|known| known.entry != entry);
        let max_single = (serving * MAX_SINGLE_SHARE).clamp(1.0, MAX_SINGLE) as usize;
        ejected().count() < max_ejected(serving)
            && (others_know || ejected().filter(is_sole).count() < max_single)
    }

    /// Withdraws what an entry saw that reaches no upstream itself; returns the upstreams whose
    /// ejection ends.
    pub fn discredit(&mut self, entry: &str) -> Vec<(CompactString, EjectionEnd)> {
        let mut ended = Vec::new();
        for (id, upstream) in &mut self.by_id {
            let before = upstream.witnesses.len();
            upstream.witnesses.retain(|witness| witness.entry != entry);
            let was_last = upstream.witnesses.is_empty() && before > 0;
            if was_last && upstream.ejection.as_ref().is_some_and(|ejection| !ejection.several) {
                upstream.ejection = None;
                ended.push((id.clone(), EjectionEnd::WitnessCutOff));
            }
        }
        for serving in self.services.values_mut() {
            serving.by_entry.remove(entry);
        }
        ended
    }

    /// Returns whether the upstream may get one more request now.
    pub fn may_take(&self, id: &str, now_ms: u64) -> bool {
        let ejection = self.by_id.get(id).and_then(|upstream| upstream.ejection.as_ref());
        ejection.is_none_or(|ejection| ejection.may_try(now_ms))
    }

    /// Counts a request that is granted to the upstream.
    pub fn take(&mut self, id: &str, now_ms: u64) {
        let upstream = self.by_id.get_mut(id);
        if let Some(ejection) = upstream.and_then(|upstream| upstream.ejection.as_mut()) {
            ejection.tried_ms = Some(now_ms);
        }
    }

    /// Drops what is too old, and ends ejections that no request tried to end or that are too
    /// many; returns those upstreams.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(CompactString, EjectionEnd)> {
        self.services.retain(|_, serving| {
            serving.by_entry.retain(|_, (_, at_ms)| now_ms < *at_ms + HISTORY_MS);
            !serving.by_entry.is_empty()
        });
        let mut ended = Vec::new();
        for (id, upstream) in &mut self.by_id {
            let passed = |ejection: &Ejection| now_ms >= ejection.until_ms + MAX_TRIAL_MS;
            if upstream.ejection.as_ref().is_some_and(passed) {
                upstream.ejection = None;
                ended.push((id.clone(), EjectionEnd::Untried));
            }
        }
        for service in self.services.keys().cloned().collect::<Vec<_>>() {
            self.end_surplus(&service, &mut ended);
        }
        self.by_id.retain(|_, upstream| {
            let last_ms = upstream.reported_ms.max(upstream.last_until_ms);
            upstream.ejection.is_some() || now_ms < last_ms + HISTORY_MS
        });
        ended
    }

    /// Ends the ejections that would end first, while too many upstreams are ejected.
    fn end_surplus(&mut self, service: &str, ended: &mut Vec<(CompactString, EjectionEnd)>) {
        let most = max_ejected(f64::from(self.services.get(service).map_or(0, Serving::count)));
        let mut ejected: Vec<_> = self
            .by_id
            .iter_mut()
            .filter(|(_, upstream)| upstream.service == service && upstream.ejection.is_some())
            .collect();
        ejected.sort_unstable_by_key(|(_, upstream)| upstream.last_until_ms);
        let surplus = ejected.len().saturating_sub(most);
        for (id, upstream) in ejected.into_iter().take(surplus) {
            upstream.ejection = None;
            ended.push((id.clone(), EjectionEnd::TooMany));
        }
    }

    /// Returns the ejections in force, by upstream, with the start time of its incarnation and
    /// the number of witnesses.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64, &Ejection, usize)> {
        self.by_id.iter().filter_map(|(id, upstream)| {
            let ejection = upstream.ejection.as_ref()?;
            Some((id.as_str(), upstream.born_ms, ejection, upstream.witnesses.len()))
        })
    }
}

fn max_ejected(serving: f64) -> usize {
    (serving * MAX_EJECTED_SHARE) as usize
}
