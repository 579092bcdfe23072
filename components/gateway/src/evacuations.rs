//! Evacuation of data centres: upstreams there get no new requests.

use std::net::SocketAddr;

use crate::shared::Shared;
use crate::target::Target;

/// Applies the evacuated data centres that a control process reports.
pub(crate) fn apply(shared: &Shared, control: SocketAddr, version: u64, data_centres: &[String]) {
    let mut evacuations = shared.evacuations.borrow_mut();
    if evacuations.apply(version, data_centres, shared.now_ms()) {
        log::info!(version, evacuated = data_centres.join(" ").as_str(), control = control.to_string().as_str(); "evacuated data centres changed");
        let count = i64::try_from(evacuations.count()).unwrap_or(i64::MAX);
        shared.metrics.evacuated.set(count);
    }
}

/// Returns whether the data centre of an upstream is evacuated.
pub(crate) fn is_evacuated(shared: &Shared, target: &Target) -> bool {
    let registry = shared.registry.borrow();
    let evacuations = shared.evacuations.borrow();
    let upstream = registry.get(&target.id);
    upstream.is_some_and(|upstream| evacuations.contains(&upstream.record.data_centre))
}
