//! Upstreams that a request may get now.

use crate::load::Candidate;

use super::{Arbiter, OwnedCandidate, ReservationRequest, Round};

impl<T> Arbiter<T> {
    /// Drops candidates of the waiting requests for which `keep` returns false. A request
    /// without any times out in the next round.
    pub fn retain_candidates(&mut self, keep: impl Fn(&str) -> bool) {
        for waiting in &mut self.waiting {
            waiting.request.candidates.retain(|candidate| keep(&candidate.id));
        }
    }

    /// Returns the candidates of a request that may get it now, with their costs. Ejections
    /// are ignored if they leave none.
    pub(super) fn candidates<'r>(
        &mut self,
        request: &'r ReservationRequest,
        round: &Round,
    ) -> Vec<Candidate<'r>> {
        let now_ms = round.now_ms;
        let max_rejections = self.limits.max_rejections(request.candidate_ids(), now_ms);
        let witnesses = &self.witnesses;
        let any_sound = request.candidate_ids().any(|id| witnesses.may_take(id, now_ms));
        let rooms = &mut self.rooms;
        let mut has_room = |candidate: &OwnedCandidate| {
            max_rejections.is_none_or(|max_rejections| {
                let held = round.loads.total(&candidate.id).running;
                let slots = share_of_slots(candidate.slots, self.limit_share);
                rooms.has_room(&candidate.id, held, slots, max_rejections, now_ms)
            })
        };
        let mut candidates = Vec::with_capacity(request.candidates.len());
        for candidate in &request.candidates {
            let is_ejected = any_sound && !witnesses.may_take(&candidate.id, now_ms);
            if is_ejected || !self.limits.has_token(&candidate.id) || !has_room(candidate) {
                continue;
            }
            let load = round.loads.total(&candidate.id);
            let work = (request.stream, request.demand.prefill_tokens);
            let candidate = candidate.as_candidate();
            candidates.push(self.speeds.apply(candidate, work, load, round.mean_speed));
        }
        candidates
    }
}

/// Returns the slots of a brittle upstream that an arbiter grants which serves this part of
/// all entries; one at least, or nobody would learn that it is brittle no more.
fn share_of_slots(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share) as u32).max(1)
}
