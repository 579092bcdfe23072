//! The order in which waiting requests get slots.

use compact_str::CompactString;

use super::ReservationRequest;
use super::appraisal::Appraisal;

/// Longest time by which the work of a route delays its requests among those of the same
/// ranks: light requests go first, and none waits without end.
const MAX_WORK_DELAY_MS: f64 = 500.0;

/// Key by which waiting requests are sorted.
///
/// A request that is late already yields to those that can still be in time. Then the
/// ranks of workspace and route decide, the time at which it has to be granted a slot to
/// be in time, put off by the work of its route, and the start of its wait. Entry and
/// number make the order total. The key of a request changes once, when it becomes late.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OrderKey {
    is_late: bool,
    rank: u32,
    urgent_route_rank: u32,
    urgency_ms: u64,
    route_rank: u32,
    waiting_since_ms: u64,
    entry: CompactString,
    request_number: u64,
}

impl OrderKey {
    pub(super) fn new(
        request: &ReservationRequest,
        appraisal: Option<&Appraisal>,
        now_ms: u64,
    ) -> Self {
        let due_ms = request.target.map_or(0, |target| target.due_ms);
        let key = OrderKey {
            is_late: request.is_late(now_ms),
            rank: request.rank,
            urgent_route_rank: 0,
            urgency_ms: due_ms,
            route_rank: request.route_rank,
            waiting_since_ms: request.waiting_since_ms,
            entry: request.entry.clone(),
            request_number: request.request_number,
        };
        let Some(appraisal) = appraisal else { return key };
        let delay_ms = appraisal.route_work.as_ms().min(MAX_WORK_DELAY_MS) as u64;
        let latest_start_ms = due_ms.saturating_sub(appraisal.prefill_ms as u64);
        let ranks = if appraisal.is_owed { (0, 0) } else { (request.rank, request.route_rank) };
        OrderKey {
            rank: ranks.0,
            urgent_route_rank: ranks.1,
            urgency_ms: latest_start_ms.saturating_add(delay_ms),
            ..key
        }
    }
}
