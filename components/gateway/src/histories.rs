//! What a gateway learns of the requests of each route.

use std::time::Duration;

use balance::{DeadlineHistory, OutputLengths};
use schema::RouteRule;

use crate::accept::Call;
use crate::shared::Shared;

/// Deadlines that callers state, and lengths of answers.
#[derive(Debug, Default)]
pub(crate) struct RouteHistories {
    deadlines: DeadlineHistory,
    outputs: OutputLengths,
}

impl RouteHistories {
    /// Forgets routes that are no longer published with the same timeout.
    pub(crate) fn retain_routes(&mut self, is_unchanged: impl Fn(&str) -> bool) {
        self.deadlines.retain_routes(&is_unchanged);
        self.outputs.retain_routes(is_unchanged);
    }
}

impl Shared {
    /// Returns how long the caller of a request has waited in earlier attempts.
    pub(crate) fn time_spent_earlier(&self, route: &RouteRule, deadline_ms: u64) -> Duration {
        let deadlines = &mut self.route_histories.borrow_mut().deadlines;
        Duration::from_millis(deadlines.time_spent_ms(&route.name, route.timeout_ms, deadline_ms))
    }

    /// Returns how many events the answer of a call is expected to have.
    pub(crate) fn expected_events(&self, call: &Call) -> u32 {
        let histories = self.route_histories.borrow();
        let max_tokens = call.requirements.tokens.max_output_tokens;
        let tokens = histories.outputs.expected_tokens(&call.route.name, max_tokens);
        u32::try_from(tokens / call.requirements.tokens_per_event()).unwrap_or(u32::MAX)
    }

    /// Records the length of a complete answer that began with its first event.
    pub(crate) fn record_output(&self, call: &Call, events: u64) {
        if call.head.last_event_id.is_some() {
            return;
        }
        let tokens = events.saturating_mul(call.requirements.tokens_per_event());
        let max_tokens = call.requirements.tokens.max_output_tokens;
        let outputs = &mut self.route_histories.borrow_mut().outputs;
        outputs.record(&call.route.name, max_tokens, tokens);
    }
}
