//! Upstreams that have started lately, say that they are cold, or were evacuated until lately:
//! they get as few requests from all gateways together as their service names.

use std::net::SocketAddr;

use crate::shared::Shared;
use crate::state::cold_limit;

/// Applies what the registry says of cold upstreams.
pub(crate) fn refresh(shared: &Shared) {
    let (table, now_ms) = (shared.table(), shared.now_ms());
    if !table.set().services.iter().any(|service| service.cold_requests_per_s > 0.0) {
        return;
    }
    let registry = shared.registry.borrow();
    let evacuations = shared.evacuations.borrow();
    let mut limits = shared.limits.borrow_mut();
    let mut any_new = false;
    for upstream in registry.iter().filter(|upstream| upstream.accepts_requests()) {
        let record = &upstream.record;
        let Some(service) = table.service(&record.service) else { continue };
        // Those that joined before may have started long ago; if not, their announcements and
        // the other gateways say so.
        let has_started =
            shared.ready_ms.get().is_some_and(|ready_ms| upstream.joined_ms > ready_ms);
        let started_until_ms =
            if has_started { upstream.joined_ms.saturating_add(service.cold_start_ms) } else { 0 };
        let emptied_until_ms = evacuations.cold_until_ms(&record.data_centre);
        let until_ms = upstream.warm_up_until_ms.max(started_until_ms).max(emptied_until_ms);
        let per_second = service.cold_requests_per_s;
        let Some(limit) = cold_limit(record.born_ms, per_second, until_ms, now_ms) else {
            continue;
        };
        if limits.cold_mut().observe(&record.id, limit, now_ms) {
            let left_ms = until_ms - now_ms;
            log::info!(upstream = record.id.as_str(), service = record.service.as_str(), per_second, left_ms; "upstream is cold");
            any_new = true;
        }
    }
    drop(limits);
    if any_new {
        shared.request_urgent_sync();
    }
}

/// Returns the arbiter that has to know which upstreams are cold before it is asked for a slot;
/// `None` without one.
pub(crate) fn arbiter_to_inform(shared: &Shared) -> Option<SocketAddr> {
    shared.arbiter()?;
    shared.arbiter_address()
}
