//! Request limits that upstreams name in their responses.
//!
//! The arbiter grants the requests to limited upstreams, also those of plain services.
//! Without it, each gateway has an even share of the part that is kept for that.

use balance::{ObservedLimit, OwnedCandidate, RequestRate};
use rand::RngExt as _;

use crate::shared::Shared;
use crate::target::Target;

/// Records the limit, if any, in the head of a response of an upstream.
pub(crate) fn record_limit(shared: &Shared, target: &Target, rate: Option<RequestRate>) {
    let limit = ObservedLimit { born_ms: target.born_ms, rate, observed_ms: shared.now_ms() };
    if shared.limits.borrow_mut().observe(&target.id, limit) {
        let limit = rate.map(|rate| rate.to_string()).unwrap_or_default();
        log::info!(upstream = target.id.as_str(), service = target.origin.service.as_str(), limit = limit.as_str(); "request limit of upstream changed");
        shared.urgent_syncs.send_modify(|count| *count += 1);
    }
}

/// Returns whether one of the upstreams names a limit.
pub(crate) fn any_limited(shared: &Shared, upstreams: &[OwnedCandidate]) -> bool {
    let now_ms = shared.now_ms();
    let limits = shared.limits.borrow();
    upstreams.iter().any(|upstream| limits.per_second(&upstream.id, now_ms).is_some())
}

/// Takes the share of this gateway of a request to the upstream while there is no
/// arbiter; returns whether the limit allows it.
pub(crate) fn try_take_fallback(shared: &Shared, id: &str) -> bool {
    let draw = rand::rng().random::<f64>();
    let (gateways, now_ms) = (shared.gateway_count.get(), shared.now_ms());
    shared.limits.borrow_mut().try_take_fallback(id, gateways, now_ms, draw)
}
