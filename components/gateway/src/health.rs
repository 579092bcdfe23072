//! Failures of upstreams, which eject them for a while.

use crate::shared::Shared;
use crate::target::Target;

/// Counts an upstream that accepts no connection.
pub(crate) fn record_unreachable(shared: &Shared, target: &Target) {
    shared.reach.borrow_mut().record_unreachable(&target.id);
    let now_ms = shared.now_ms();
    let ejected_ms = shared.outlier_detector.borrow_mut().record_unreachable(&target.id, now_ms);
    log_ejection(target, ejected_ms, "unreachable");
}

/// Counts a failure of an upstream.
pub(crate) fn record_failure(shared: &Shared, target: &Target, reason: &str) {
    let now_ms = shared.now_ms();
    let ejected_ms = shared.outlier_detector.borrow_mut().record_failure(&target.id, now_ms);
    log_ejection(target, ejected_ms, reason);
}

fn log_ejection(target: &Target, ejected_ms: Option<u64>, reason: &str) {
    if let Some(ejected_ms) = ejected_ms {
        log::warn!(upstream = target.id.as_str(), service = target.origin.service.as_str(), ejected_ms, reason; "upstream ejected");
    }
}
