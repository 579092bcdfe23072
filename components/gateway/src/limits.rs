//! Request limits that upstreams name in their responses.

use std::collections::HashMap;

use balance::RequestRate;
use compact_str::CompactString;

use crate::exchange::Target;
use crate::shared::Shared;

/// Limits in the last responses of upstreams, by id.
#[derive(Debug, Default)]
pub(crate) struct ObservedLimits(HashMap<CompactString, RequestRate>);

/// Records the limit, if any, in the head of a response of an upstream.
pub(crate) fn record_limit(shared: &Shared, target: &Target, limit: Option<RequestRate>) {
    let mut limits = shared.limits.borrow_mut();
    let previous = match limit {
        Some(rate) => limits.0.insert(target.id.clone(), rate),
        None => limits.0.remove(&target.id),
    };
    if previous != limit {
        let limit = limit.map(|rate| rate.to_string()).unwrap_or_default();
        log::info!(upstream = target.id.as_str(), service = target.service.as_str(), limit = limit.as_str(); "request limit of upstream changed");
    }
}
