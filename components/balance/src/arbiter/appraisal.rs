//! What the arbiter works out of a request when it arrives.

use super::ReservationRequest;
use crate::cost::{Asker, RouteSizes, ServedShares, Sizes, Speed, Work};

/// Work of a request, and whether those for whom it is asked were granted too little.
/// Stays the same for one wait.
#[derive(Clone, Debug)]
pub(super) struct Appraisal {
    pub(super) work: Work,
    /// Mean work of the requests of its route.
    pub(super) route_work: Work,
    /// Time that its own prefill takes.
    pub(super) prefill_ms: f64,
    /// Time from a slot to its last event.
    pub(super) run_ms: f64,
    /// Those for whom it is asked; the last one is its route and size.
    pub(super) askers: [Asker; 4],
    pub(super) is_owed: bool,
}

impl Appraisal {
    /// Appraises a request; `None` for one whose cost is not known.
    pub(super) fn of(
        request: &ReservationRequest,
        event_gap_ms: f64,
        route_sizes: &mut RouteSizes,
        shares: &ServedShares,
    ) -> Option<Self> {
        let cost = request.cost.as_ref()?;
        let capacities = request.candidates.iter().map(|candidate| candidate.cache_tokens);
        let sizes = Sizes {
            prefill_tokens: request.demand.prefill_tokens,
            cache_tokens: request.demand.cache_tokens,
            engine_cache_tokens: capacities.max().unwrap_or_default(),
            output_events: cost.output_events,
        };
        let speed = Speed::new(request.target, event_gap_ms);
        let work = sizes.work(speed);
        let (route_work, class) = route_sizes.record(&cost.route, work);
        let askers = [
            Asker::All,
            Asker::Route(cost.route.clone()),
            Asker::Workspace(cost.workspace.clone()),
            Asker::Size(cost.route.clone(), class),
        ];
        Some(Appraisal {
            work,
            route_work,
            prefill_ms: sizes.prefill_ms(speed),
            run_ms: sizes.run_ms(speed),
            is_owed: askers.iter().any(|asker| shares.is_owed(asker)),
            askers,
        })
    }

    /// Returns the requests of the same route and size, if this one is owed a slot.
    pub(super) fn owed_asker(&self) -> Option<&Asker> {
        self.askers.last().filter(|_| self.is_owed)
    }
}
