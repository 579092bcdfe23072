//! Waiting requests of one service.

use std::collections::HashMap;
use std::sync::Arc;

use admission::{Queue, RetryTokenBucket, Ticket, TicketId};
use compact_str::CompactString;
use routing::UpstreamChoice;
use smallvec::SmallVec;

use crate::request::PlacementRequest;

/// Weight of the newest interval in the moving average of grant intervals.
const GRANT_INTERVAL_WEIGHT: f64 = 0.1;

/// Credit request to another entry whose reply is pending.
#[derive(Debug)]
pub(crate) struct PendingCreditRequest {
    pub(crate) service: CompactString,
    pub(crate) ticket: Ticket,
    pub(crate) choice: UpstreamChoice,
    /// Choices to try if this one grants no credit.
    pub(crate) remaining: SmallVec<[UpstreamChoice; 3]>,
}

/// Queue of one service, with the state of its placement attempts.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub(crate) queue: Queue,
    /// Requests that are waiting or being placed; cancelled ones are removed.
    pub(crate) pending: HashMap<TicketId, Arc<PlacementRequest>>,
    /// Credit requests to other entries whose replies are pending.
    pub(crate) pending_credit_requests: usize,
    /// No attempt is made before this time, unless capacity may become free earlier.
    pub(crate) paused_until_ms: u64,
    pub(crate) retry_token_bucket: RetryTokenBucket,
    /// Moving average of the time between grants while requests wait.
    mean_grant_interval_ms: f64,
    last_grant_ms: u64,
}

impl ServiceQueue {
    pub(crate) fn new(limit: usize, fair: bool) -> Self {
        ServiceQueue {
            queue: if fair { Queue::new(limit) } else { Queue::fifo(limit) },
            pending: HashMap::new(),
            pending_credit_requests: 0,
            paused_until_ms: 0,
            retry_token_bucket: RetryTokenBucket::default(),
            mean_grant_interval_ms: 0.0,
            last_grant_ms: 0,
        }
    }

    /// Drops a request that was cancelled while it was being placed and reverts
    /// its charge; returns whether it was cancelled.
    pub(crate) fn drop_if_cancelled(&mut self, ticket: &Ticket) -> bool {
        if self.pending.contains_key(&ticket.id) {
            return false;
        }
        self.queue.settle(&ticket.workspace, ticket.share, ticket.expected_tokens, 0.0);
        true
    }

    /// Records a grant. Only intervals during which other requests wait measure
    /// the throughput of the engines; otherwise the average decays.
    pub(crate) fn record_grant(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.last_grant_ms) as f64;
        if self.queue.is_empty() {
            self.mean_grant_interval_ms *= 1.0 - GRANT_INTERVAL_WEIGHT;
        } else if self.last_grant_ms > 0 {
            self.mean_grant_interval_ms +=
                (interval_ms - self.mean_grant_interval_ms) * GRANT_INTERVAL_WEIGHT;
        }
        self.last_grant_ms = now_ms;
    }

    /// Returns how long a new request of `rank` is expected to wait.
    pub(crate) fn expected_wait_ms(&self, rank: u32) -> f64 {
        self.queue.requests_ahead_of(rank) as f64 * self.mean_grant_interval_ms
    }
}
