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
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.borrow_mut();
    let previous = limits.observed.get(&target.id).copied();
    if rate.is_none() && previous.is_none() {
        return;
    }
    let limit = ObservedLimit { born_ms: target.born_ms, rate, observed_ms: now_ms };
    limits.observed.insert(target.id.clone(), limit);
    let previous_rate = previous.and_then(|previous| previous.rate);
    if previous_rate != rate {
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
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.borrow_mut();
    let Some(per_second) = limits.per_second(id, now_ms) else { return true };
    let draw = rand::rng().random::<f64>();
    let tokens = limits.fallback.entry(id.into()).or_default();
    tokens.try_take(per_second, shared.gateway_count.get(), now_ms, draw)
}
