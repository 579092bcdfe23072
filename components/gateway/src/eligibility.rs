//! Upstreams that may serve a request.

use std::time::Duration;

use balance::OwnedCandidate;
use compact_str::CompactString;
use lineage::Origin;
use rand::RngExt as _;
use registry::{KnownUpstream, MergedRegistry};
use smallvec::SmallVec;

use crate::cold;
use crate::notices;
use crate::reservation::Requirements;
use crate::shared::Shared;

/// Extra cost of an upstream that is still warming up, as a share of the cost
/// of a fully loaded one.
const WARM_UP_COST: f64 = 0.3;
/// Random part by which callers come back later than the end of an upstream's pause.
const PAUSE_SPREAD: std::ops::Range<f64> = 0.0..0.3;

/// Upstreams that are not to be selected, such as those already tried.
pub(crate) type Excluded = SmallVec<[CompactString; 4]>;

/// What decides which upstreams may serve a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Eligibility<'a> {
    pub(crate) requirements: &'a Requirements,
    /// Where the stream began, if it goes on: it may go on there only.
    pub(crate) origin: Option<&'a Origin>,
    pub(crate) excluded: &'a Excluded,
    /// Data centre whose upstreams have no extra cost.
    pub(crate) local_data_centre: &'a str,
    pub(crate) remote_cost: f64,
    /// Another upstream may get the request if this one fails it.
    pub(crate) may_run_again: bool,
}

impl<'a> Eligibility<'a> {
    /// Returns the upstreams that accept the request, without those that are ejected or
    /// want no requests.
    pub(crate) fn upstreams(&self, shared: &Shared) -> Vec<OwnedCandidate> {
        let now_ms = shared.now_ms();
        let registry = shared.registry.borrow();
        let health = shared.health.borrow();
        let arbiter = cold::arbiter_to_inform(shared);
        let awaits_arbiter = |id: &str| {
            let limits = shared.limits.borrow();
            arbiter.is_some_and(|arbiter| limits.cold().is_unknown_to(arbiter, id, now_ms))
        };
        let takes_requests = |upstream: &&KnownUpstream| {
            pause_ms(shared, upstream) == 0 && !awaits_arbiter(&upstream.record.id)
        };
        let serving = || self.candidates(shared, &registry).filter(takes_requests);
        let is_healthy = |upstream: &&KnownUpstream| {
            let incarnation = (upstream.record.id.as_str(), upstream.record.born_ms);
            !health.is_ejected(incarnation, self.may_run_again, now_ms)
        };
        // If all upstreams are ejected, the ejections are ignored.
        let any_healthy = serving().any(|upstream| is_healthy(&upstream));
        let eligible = serving().filter(|upstream| !any_healthy || is_healthy(upstream));
        eligible.map(|upstream| self.to_candidate(upstream, now_ms)).collect()
    }

    /// Returns when the first of the upstreams that want no requests takes some again, with
    /// a random part more, so that callers do not all come back at once; `None` if there are
    /// none, or one takes requests as soon as the arbiter knows that it is cold.
    pub(crate) fn shortest_pause(&self, shared: &Shared) -> Option<Duration> {
        let registry = shared.registry.borrow();
        let pauses = self.candidates(shared, &registry).map(|upstream| pause_ms(shared, upstream));
        let pause = Duration::from_millis(pauses.min().filter(|pause_ms| *pause_ms > 0)?);
        Some(pause + pause.mul_f64(rand::rng().random_range(PAUSE_SPREAD)))
    }

    /// Returns whether a stream goes on, and no upstream of its origin accepts requests,
    /// excluded ones included.
    pub(crate) fn is_origin_gone(&self, shared: &Shared) -> bool {
        let registry = shared.registry.borrow();
        let serves = |origin| {
            let mut upstreams = registry.iter().filter(|upstream| upstream.accepts_requests());
            upstreams.any(|upstream| may_continue(origin, upstream))
        };
        self.origin.is_some_and(|origin| !serves(origin))
    }

    /// Returns whether only evacuations keep the request from upstreams that accept it.
    pub(crate) fn is_evacuated(&self, shared: &Shared) -> bool {
        let registry = shared.registry.borrow();
        let mut suitable = registry.iter().filter(|upstream| self.suits(upstream)).peekable();
        suitable.peek().is_some() && !suitable.any(|upstream| self.allows(shared, upstream))
    }

    /// Returns whether an upstream accepts the request, whether it wants requests or not.
    pub(crate) fn allows(&self, shared: &Shared, upstream: &KnownUpstream) -> bool {
        self.suits(upstream) && !shared.evacuations.borrow().contains(&upstream.record.data_centre)
    }

    /// Returns whether an upstream accepts the request, if its data centre is not evacuated.
    fn suits(&self, upstream: &KnownUpstream) -> bool {
        upstream.record.service == self.requirements.service.as_str()
            && upstream.accepts_requests()
            && self.origin.is_none_or(|origin| may_continue(origin, upstream))
            && !self.excluded.iter().any(|id| id.as_str() == upstream.record.id)
    }

    /// Returns the upstreams that the request may be sent to, whether they want requests
    /// or not.
    fn candidates<'r>(
        &self,
        shared: &'r Shared,
        registry: &'r MergedRegistry,
    ) -> impl Iterator<Item = &'r KnownUpstream> + use<'r, 'a> {
        let eligibility = *self;
        registry.iter().filter(move |upstream| eligibility.allows(shared, upstream))
    }

    fn to_candidate(self, upstream: &KnownUpstream, now_ms: u64) -> OwnedCandidate {
        let remote = upstream.record.data_centre != self.local_data_centre;
        let warming_up = now_ms < upstream.warm_up_until_ms;
        let engine = self.requirements.engine.as_ref();
        OwnedCandidate {
            id: upstream.record.id.as_str().into(),
            slots: upstream.record.slots,
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            extra_cost: if remote { self.remote_cost } else { 0.0 }
                + if warming_up { WARM_UP_COST } else { 0.0 },
        }
    }
}

/// Returns whether a stream of this origin may go on at an upstream.
fn may_continue(origin: &Origin, upstream: &KnownUpstream) -> bool {
    origin.may_continue_at(&upstream.record.service, &upstream.record.version)
}

/// Returns for how long an upstream wants no requests, or is to get none after a rejection;
/// 0 if it takes them.
fn pause_ms(shared: &Shared, upstream: &KnownUpstream) -> u64 {
    let (id, born_ms) = (upstream.record.id.as_str(), upstream.record.born_ms);
    let after_rejection = shared.limits.borrow().rejection_pause_ms(id, born_ms, shared.now_ms());
    notices::pause_ms(shared, id, born_ms).max(after_rejection)
}
