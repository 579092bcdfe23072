//! Ejections of one upstream: when they begin, for how long they last, and which witnesses count.

use compact_str::CompactString;
use smallvec::SmallVec;

use super::{Ejection, EjectionChange, EjectionEnd, FINDING_PERIOD_MS, HISTORY_MS};

/// Ejection by one witness.
const SINGLE_EJECTION_MS: u64 = 1_000;
/// First ejection by several witnesses; each further one lasts twice as long, up to the maximum.
const BASE_EJECTION_MS: u64 = 2_000;
const MAX_EJECTION_MS: u64 = 16_000;
/// Renewals in a row of an ejection by one witness: the fault may be on its own path to the
/// upstream.
const MAX_SINGLE_RENEWALS: u32 = 2;
/// Time for which the findings of an entry alone do not count, once another one refuted it or it has
/// renewed an ejection too often.
const DOUBT_MS: u64 = 10_000;
/// Most witnesses that are kept for one upstream.
const MAX_WITNESSES: usize = 8;

#[derive(Clone, Debug)]
pub(super) struct Witness {
    pub(super) entry: CompactString,
    pub(super) observed_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    pub(super) born_ms: u64,
    pub(super) service: CompactString,
    /// Entries that saw failures lately.
    pub(super) witnesses: SmallVec<[Witness; 4]>,
    pub(super) ejection: Option<Ejection>,
    /// Ejections by several witnesses, and when the last one ended or ends.
    pub(super) earlier: u32,
    pub(super) last_until_ms: u64,
    /// Renewals in a row of an ejection by one witness.
    pub(super) single_renewals: u32,
    /// When it last answered.
    pub(super) answered_ms: Option<u64>,
    /// When the upstream was last heard of.
    pub(super) reported_ms: u64,
    /// Entry whose findings alone do not count, and until when.
    pub(super) doubted: Option<(CompactString, u64)>,
}

impl Upstream {
    pub(super) fn current_witnesses(&self, now_ms: u64) -> impl Iterator<Item = &Witness> {
        let is_current = move |w: &&Witness| now_ms < w.observed_ms + FINDING_PERIOD_MS;
        self.witnesses.iter().filter(is_current)
    }

    pub(super) fn record_witness(&mut self, entry: &str, observed_ms: u64, now_ms: u64) {
        // A request that tries the upstream in vain adds to what several have seen.
        if !self.ejection.as_ref().is_some_and(|ejection| ejection.several) {
            self.witnesses.retain(|witness| now_ms < witness.observed_ms + FINDING_PERIOD_MS);
        }
        let has_place = self.witnesses.len() < MAX_WITNESSES;
        match self.witnesses.iter_mut().find(|witness| witness.entry == entry) {
            Some(witness) => witness.observed_ms = witness.observed_ms.max(observed_ms),
            None if has_place => {
                self.witnesses.push(Witness { entry: entry.into(), observed_ms });
            }
            None => {}
        }
    }

    /// Returns when the last failure was seen.
    fn failed_ms(&self) -> u64 {
        self.witnesses.iter().map(|witness| witness.observed_ms).max().unwrap_or_default()
    }

    /// Begins or renews the ejection, which counts from the last failure.
    pub(super) fn eject(&mut self, now_ms: u64) -> Option<EjectionChange> {
        let several = self.witnesses.len() > 1;
        if let ([only], Some((entry, until_ms))) = (&self.witnesses[..], &self.doubted)
            && only.entry == entry
            && now_ms < *until_ms
        {
            return None;
        }
        let until_ms = self.failed_ms() + self.next_ejection_ms(several, now_ms);
        if until_ms <= now_ms {
            return None;
        }
        let is_renewal = self.ejection.is_some() && !several;
        let renewals = if is_renewal { self.single_renewals + 1 } else { 0 };
        if renewals > MAX_SINGLE_RENEWALS {
            let only = self.witnesses.first().map(|witness| witness.entry.clone());
            self.doubted = only.map(|entry| (entry, now_ms + DOUBT_MS));
            return None;
        }
        self.single_renewals = renewals;
        self.set_ejection(until_ms, several);
        Some(self.ejected(now_ms))
    }

    /// Prolongs an ejection by one witness if there are several now.
    pub(super) fn extend(&mut self, now_ms: u64) -> Option<EjectionChange> {
        let ejection = self.ejection.as_ref()?;
        if ejection.several || self.witnesses.len() < 2 {
            return None;
        }
        let until_ms = self.failed_ms() + self.next_ejection_ms(true, now_ms);
        if until_ms <= ejection.until_ms.max(now_ms) {
            return None;
        }
        self.set_ejection(until_ms, true);
        Some(self.ejected(now_ms))
    }

    fn next_ejection_ms(&self, several: bool, now_ms: u64) -> u64 {
        if !several {
            return SINGLE_EJECTION_MS;
        }
        let is_further = now_ms < self.last_until_ms + HISTORY_MS;
        let earlier = if is_further { self.earlier } else { 0 };
        (BASE_EJECTION_MS << earlier.min(8)).min(MAX_EJECTION_MS)
    }

    fn set_ejection(&mut self, until_ms: u64, several: bool) {
        if several {
            self.earlier = self.earlier.saturating_add(1);
        }
        self.last_until_ms = until_ms;
        self.ejection = Some(Ejection { until_ms, several, tried_ms: None });
    }

    fn ejected(&self, now_ms: u64) -> EjectionChange {
        let witnesses = self.witnesses.len();
        EjectionChange::Ejected { witnesses, left_ms: self.last_until_ms.saturating_sub(now_ms) }
    }

    /// Ends the ejection if the upstream answered after it could be tried.
    pub(super) fn record_answer(
        &mut self,
        entry: &str,
        observed_ms: u64,
        now_ms: u64,
    ) -> Option<EjectionChange> {
        let Some(ejection) = &self.ejection else {
            self.answered_ms = self.answered_ms.max(Some(observed_ms));
            return None;
        };
        if observed_ms < ejection.until_ms {
            return None;
        }
        if let [only] = &self.witnesses[..]
            && only.entry != entry
        {
            self.doubted = Some((only.entry.clone(), now_ms + DOUBT_MS));
        }
        self.answered_ms = Some(observed_ms);
        self.witnesses.clear();
        self.ejection = None;
        Some(EjectionChange::Ended(EjectionEnd::Answers))
    }
}
