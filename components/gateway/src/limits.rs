//! Request limits that upstreams name in their responses, and rejections of brittle ones.
//!
//! The arbiter grants the requests to these upstreams, also those of plain services.
//! Without it, each gateway has an even share of the part that is kept for that.

use balance::{ObservedLimit, OwnedCandidate};
use rand::RngExt as _;

use crate::dialect::ResponseHead;

use crate::shared::Shared;
use crate::target::Target;

/// Records the limits, if any, in the head of a response of an upstream, and its rejection
/// by a brittle one, which the arbiter has to know at once.
pub(crate) fn record_limit(shared: &Shared, target: &Target, head: &ResponseHead) {
    let (rate, brittle) = (head.request_limit, head.max_rejections);
    let now_ms = shared.now_ms();
    let limit = ObservedLimit { born_ms: target.born_ms, rate, brittle, observed_ms: now_ms };
    let mut limits = shared.limits.borrow_mut();
    let changed = limits.observe(&target.id, limit);
    if changed {
        let limit = rate.map(|rate| rate.to_string()).unwrap_or_default();
        log::info!(upstream = target.id.as_str(), service = target.origin.service.as_str(), limit = limit.as_str(), max_rejections:? = brittle; "request limit of upstream changed");
    }
    let is_rejection = brittle.is_some() && head.no_room;
    if is_rejection {
        let running = shared.loads.borrow().own_running(&target.id);
        limits.record_rejection((&target.id, target.born_ms), running, now_ms);
    }
    if changed || is_rejection {
        shared.request_urgent_sync();
    }
}

/// Returns whether one of the upstreams names a limit or is brittle.
pub(crate) fn any_limited(shared: &Shared, upstreams: &[OwnedCandidate]) -> bool {
    upstreams.iter().any(|upstream| is_limited(shared, &upstream.id))
}

/// Returns whether an upstream names a limit or is brittle.
pub(crate) fn is_limited(shared: &Shared, id: &str) -> bool {
    let now_ms = shared.now_ms();
    let limits = shared.limits.borrow();
    limits.per_second(id, now_ms).is_some() || limits.max_rejections(id, now_ms).is_some()
}

/// Returns how many requests one of the upstreams may reject in a second; `None` if none of
/// them is brittle. If one is, the others of its service count as brittle too, as they may not
/// have answered yet.
pub(crate) fn max_rejections(shared: &Shared, upstreams: &[OwnedCandidate]) -> Option<u32> {
    let now_ms = shared.now_ms();
    let limits = shared.limits.borrow();
    upstreams.iter().filter_map(|upstream| limits.max_rejections(&upstream.id, now_ms)).min()
}

/// Returns whether a request that this upstream rejected may be sent to another one after
/// `sends` before: while upstreams are brittle, a request is rejected twice at most.
pub(crate) fn may_send_rejected(shared: &Shared, id: &str, sends: u32) -> bool {
    sends == 0 || shared.limits.borrow().max_rejections(id, shared.now_ms()).is_none()
}

/// Keeps the upstreams for which this gateway has a share of a request while there is no
/// arbiter, and takes the shares of those that name a limit.
pub(crate) fn retain_fallback(shared: &Shared, upstreams: &mut Vec<OwnedCandidate>) {
    let (gateways, now_ms) = (shared.gateway_count(), shared.now_ms());
    let max_rejections = max_rejections(shared, upstreams);
    let mut limits = shared.limits.borrow_mut();
    if let Some(max_rejections) = max_rejections {
        let loads = shared.loads.borrow();
        // Slots that the others held when they were last heard of are free by and by.
        let knows_others = limits.is_arbiter_recent(now_ms);
        upstreams.retain(|upstream| {
            let running = loads.own_running(&upstream.id);
            limits.has_share_left(upstream, (running, gateways), max_rejections, now_ms)
                && (!knows_others || loads.total(&upstream.id).running < upstream.slots.max(1))
        });
    }
    upstreams.retain(|upstream| {
        let draw = rand::rng().random::<f64>();
        limits.try_take_fallback(&upstream.id, gateways, now_ms, draw)
    });
}

/// Counts a request that this gateway sends to an upstream while there is no arbiter.
pub(crate) fn take_fallback_room(shared: &Shared, id: &str) {
    let running = shared.loads.borrow().own_running(id);
    shared.limits.borrow_mut().take_room(id, running, shared.now_ms());
}
