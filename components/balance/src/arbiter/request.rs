//! Requests for slot reservations, and their outcomes.

use compact_str::CompactString;

use crate::cost::RequestCost;
use crate::load::{Candidate, PlacementDemand};
use crate::prefill::FirstEventTarget;
use crate::speed::ExpectedStream;

/// Upstream on which a slot may be reserved.
#[derive(Clone, Debug)]
pub struct OwnedCandidate {
    /// Id of the upstream.
    pub id: CompactString,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    pub cache_tokens: u64,
    /// Cost added to its load, where 1 is a fully loaded upstream.
    pub extra_cost: f64,
}

impl OwnedCandidate {
    /// Borrows the upstream as a [`Candidate`].
    pub fn as_candidate(&self) -> Candidate<'_> {
        Candidate {
            id: &self.id,
            slots: self.slots,
            cache_tokens: self.cache_tokens,
            extra_cost: self.extra_cost,
            prefill_speed: 1.0,
        }
    }
}

/// Request for a slot reservation.
#[derive(Clone, Debug)]
pub struct ReservationRequest {
    /// Entry that sends the request.
    pub entry: CompactString,
    /// Sequence number of the request at its entry.
    pub request_number: u64,
    /// Service whose upstreams can serve the request.
    pub service: CompactString,
    /// Priority; 0 is served first. Within a rank, requests are served in the order in
    /// which their first events are due.
    pub rank: u32,
    /// Rank of its route, which decides between requests that are due together.
    pub route_rank: u32,
    /// Capacity that the request needs.
    pub demand: PlacementDemand,
    /// When its first event is due, if that is known.
    pub target: Option<FirstEventTarget>,
    /// Events that it is expected to have.
    pub stream: ExpectedStream,
    /// Upstreams that can serve the request.
    pub candidates: Vec<OwnedCandidate>,
    /// Time at which the request began to wait for capacity.
    pub waiting_since_ms: u64,
    /// Time at which this wait for capacity ends; the entry may ask again.
    pub deadline_ms: u64,
    /// Time at which the entry stops asking.
    pub queue_until_ms: u64,
    /// What else decides on its place in the queue. Without it, a request is placed by its
    /// rank and due time, and rejected by the number of those before it.
    pub cost: Option<RequestCost>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShedReason {
    /// No capacity is expected as long as the entry would ask.
    QueueTooLong {
        /// Time after which what waits now is expected to be served; 0 if not known.
        retry_after_ms: u64,
    },
    /// Its answer would not end before its caller's deadline.
    PastDeadline,
}

/// Result of a [`ReservationRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReservationOutcome {
    /// A slot is reserved on this upstream.
    Granted(CompactString),
    /// No capacity became free by the deadline.
    TimedOut,
    /// Rejected at once.
    Shed(ShedReason),
    /// All upstreams name limits, which allow the request in this many milliseconds.
    Limited(u64),
}

impl ReservationRequest {
    /// Returns how many prompt tokens may await prefill at the upstream if the first
    /// event is to be in time; `None` if it will be late, or is due at no certain time.
    fn max_prefill_tokens(&self, now_ms: u64) -> Option<u64> {
        self.target?.max_prefill_tokens(self.demand.prefill_tokens, now_ms)
    }

    pub(super) fn candidate_ids(&self) -> impl Iterator<Item = &str> {
        self.candidates.iter().map(|candidate| candidate.id.as_str())
    }

    /// Returns the demand at `now_ms`: a request that can still be in time is not
    /// placed behind prompts that would make it late.
    pub(super) fn demand_at(&self, now_ms: u64) -> PlacementDemand {
        PlacementDemand { max_prefill_tokens: self.max_prefill_tokens(now_ms), ..self.demand }
    }

    /// Returns whether its first event can't be in time any more.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        self.target.is_some() && self.max_prefill_tokens(now_ms).is_none()
    }
}
