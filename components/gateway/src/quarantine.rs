//! Rejects prompt parts and requests under which upstreams crash.

use std::net::SocketAddr;
use std::time::Duration;

use ::quarantine::FeatureSet;
use tokio::time::{Instant, sleep};

use crate::accept::Call;
use crate::answer::Refusal;
use crate::shared::Shared;
use crate::state::MAX_HOLD;

/// `Retry-After` of quarantined requests.
const RETRY_AFTER_QUARANTINED: Duration = Duration::from_secs(120);
/// Interval at which a request that waits looks at the quarantine again.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Records that the answer to a request began.
pub(crate) fn record_answer(shared: &Shared, features: &FeatureSet) {
    shared.quarantine.borrow_mut().record_answer(features, shared.now_ms());
}

/// Waits while the features of a request are pending, and rejects it once they are
/// quarantined.
pub(crate) async fn admit(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let features = call.features.as_slice();
    let until = (Instant::now() + MAX_HOLD).min(call.until);
    while shared.quarantine.borrow().is_pending(features) && Instant::now() < until {
        sleep(HOLD_POLL_INTERVAL).await;
    }
    check(shared, call)
}

/// Waits until a request that was sent is quarantined; returns the reason to give.
pub(crate) async fn wait_for_quarantine(shared: &Shared, call: &Call) -> &'static str {
    let mut changes = shared.quarantine_changes.subscribe();
    loop {
        if let Some(set) = shared.quarantine.borrow().find(call.features.as_slice()) {
            return reason(set);
        }
        // Fails only once `shared` is gone.
        if changes.changed().await.is_err() {
            return "stopping";
        }
    }
}

/// Returns why requests with the features of this set are rejected.
fn reason(set: &FeatureSet) -> &'static str {
    match set.request_id() {
        0 => "prompt part quarantined",
        _ => "request quarantined",
    }
}

/// Applies the quarantine in a sync reply of a control process.
pub(crate) fn apply(shared: &Shared, source: SocketAddr, digest: u64, sets: &[schema::FeatureSet]) {
    if shared.quarantine.borrow_mut().apply(source, digest, sets) {
        shared.quarantine_changes.send_modify(|changes| *changes += 1);
    }
}

/// Rejects a request that has all features of a quarantined set.
fn check(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let quarantine = shared.quarantine.borrow();
    let Some(set) = quarantine.find(call.features.as_slice()) else { return Ok(()) };
    log::info!(request = call.head.id.as_str(), features = set.to_string().as_str(); "request rejected: upstreams crash under it");
    shared.metrics.quarantine_rejections.inc();
    Err(Refusal::unavailable(reason(set), RETRY_AFTER_QUARANTINED))
}
