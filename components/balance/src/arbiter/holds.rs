//! Upstreams kept free for requests that are owed a slot and need more room than others.

use compact_str::CompactString;
use smallvec::SmallVec;

use super::ReservationRequest;
use crate::cost::Asker;
use crate::load::{Candidate, Loads};

/// One of so many upstreams may be kept free.
const HELD_PART: usize = 8;
/// An upstream is kept for so long after the last request that found no room; the next one
/// of its kind finds what has become free meanwhile.
const HOLD_MS: u64 = 1_000;

#[derive(Debug)]
struct Hold {
    id: CompactString,
    service: CompactString,
    asker: Asker,
    until_ms: u64,
}

/// Upstreams that are kept free, each for the requests of one asker.
#[derive(Debug, Default)]
pub(super) struct Holds(SmallVec<[Hold; 4]>);

impl Holds {
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.0.retain(|hold| now_ms < hold.until_ms);
    }

    /// Returns whether an upstream is kept for others than `owed`, the asker of a request
    /// that is owed a slot.
    pub(super) fn is_kept_from(&self, id: &str, owed: Option<&Asker>) -> bool {
        self.0.iter().any(|hold| hold.id == id && Some(&hold.asker) != owed)
    }

    /// Returns whether the upstreams that are kept for others are a small part of those that
    /// can serve a request; one that has few others does not wait for their sake.
    pub(super) fn apply_to(&self, request: &ReservationRequest, owed: Option<&Asker>) -> bool {
        let kept = request.candidate_ids().filter(|id| self.is_kept_from(id, owed)).count();
        kept * HELD_PART <= request.candidates.len()
    }

    /// Keeps the upstream with the most room for requests of `asker`, one of which found
    /// none; a small part of those that can serve it at most is kept.
    pub(super) fn keep(
        &mut self,
        asker: &Asker,
        request: &ReservationRequest,
        candidates: &[Candidate<'_>],
        loads: &Loads,
        now_ms: u64,
    ) {
        let until_ms = now_ms.saturating_add(HOLD_MS);
        let is_own = |hold: &Hold| hold.service == request.service && hold.asker == *asker;
        if let Some(hold) = self.0.iter_mut().find(|hold| is_own(hold)) {
            if candidates.iter().any(|candidate| hold.id == candidate.id) {
                hold.until_ms = until_ms;
                return;
            }
            // The upstream is gone, or can't serve the request.
            self.0.retain(|hold| !is_own(hold));
        }
        let kept = request.candidate_ids().filter(|id| self.is_kept_from(id, None)).count();
        if (kept + 1) * HELD_PART > candidates.len() {
            return;
        }
        let max_tokens =
            |candidate: &Candidate<'_>| request.demand.load_limit * candidate.cache_tokens as f64;
        let free = candidates.iter().filter(|candidate| {
            !self.is_kept_from(candidate.id, None)
                && request.demand.cache_tokens as f64 <= max_tokens(candidate)
        });
        let fullness = |candidate: &&Candidate<'_>| {
            let committed = loads.total(candidate.id).committed_cache_tokens as f64;
            committed / candidate.cache_tokens.max(1) as f64
        };
        let emptiest = free.min_by(|a, b| fullness(a).total_cmp(&fullness(b)));
        if let Some(id) = emptiest.map(|candidate| CompactString::from(candidate.id)) {
            let service = request.service.clone();
            self.0.push(Hold { id, service, asker: asker.clone(), until_ms });
        }
    }

    /// Ends the hold on an upstream whose room was granted.
    pub(super) fn release(&mut self, id: &str) {
        self.0.retain(|hold| hold.id != id);
    }
}
