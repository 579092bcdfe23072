//! What upstreams say of themselves in their responses.

use registry::UpstreamChange;
use schema::Incarnation;

use crate::dialect::ResponseHead;
use crate::limits::record_limit;
use crate::shared::Shared;
use crate::target::Target;

/// Applies what the head of an upstream's response says of the upstream.
pub(crate) fn apply(shared: &Shared, target: &Target, head: &ResponseHead) {
    apply_to_command(shared, target, head);
    record_limit(shared, target, head);
}

/// Applies what the head of the response to a command says of the upstream; limits count
/// requests of callers only.
pub(crate) fn apply_to_command(shared: &Shared, target: &Target, head: &ResponseHead) {
    if head.leaving {
        record_leaving(shared, target);
    }
    if let Some(pause) = head.pause {
        let now_ms = shared.now_ms();
        shared.pauses.borrow_mut().record(&target.id, target.born_ms, pause, now_ms);
        log::info!(upstream = target.id.as_str(), service = target.origin.service.as_str(), pause_ms = pause.as_millis(); "upstream wants no requests for a time");
    }
}

/// Returns for how long an upstream wants no requests; 0 if it takes them.
pub(crate) fn pause_ms(shared: &Shared, id: &str, born_ms: u64) -> u64 {
    shared.pauses.borrow().remaining_ms(id, born_ms, shared.now_ms())
}

/// Sends no more requests to an upstream that leaves, and tells the control processes,
/// which tell the other gateways.
fn record_leaving(shared: &Shared, target: &Target) {
    if !shared.registry.borrow_mut().mark_draining(&target.id, target.born_ms) {
        return;
    }
    log::info!(upstream = target.id.as_str(), born_ms = target.born_ms; "upstream leaves, as it says in a response");
    let incarnation = Incarnation { id: target.id.to_string(), born_ms: target.born_ms };
    shared.leaving.borrow_mut().record(incarnation);
    shared.apply_changes(&[UpstreamChange::Draining(target.id.clone())]);
    shared.request_urgent_sync();
}
