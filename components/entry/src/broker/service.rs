//! Requests of one service that wait for an engine.

use std::collections::HashMap;
use std::sync::Arc;

use admission::{Queue, RetryBudget, Ticket, TicketId};
use tokio::sync::oneshot;
use verdict::Failure;

use super::acquire::{Acquire, Placement};

/// Weight of the newest interval in the pace of grants.
const PACE_WEIGHT: f64 = 0.1;

/// Request that waits, and who waits for it.
pub(super) struct Pending {
    pub(super) acquire: Arc<Acquire>,
    pub(super) result: oneshot::Sender<Result<Placement, Failure>>,
}

/// Queue of one service.
pub(super) struct ServiceQueue {
    pub(super) queue: Queue,
    pub(super) pending: HashMap<TicketId, Pending>,
    /// Attempts that wait for an answer of another entry.
    pub(super) attempts: usize,
    /// No attempt is made before this time, unless room is reported.
    pub(super) paused_until_ms: u64,
    pub(super) retries: RetryBudget,
    grant_interval_ms: f64,
    last_grant_ms: u64,
}

impl ServiceQueue {
    pub(super) fn new(limit: usize) -> Self {
        ServiceQueue {
            queue: Queue::new(limit),
            pending: HashMap::new(),
            attempts: 0,
            paused_until_ms: 0,
            retries: RetryBudget::default(),
            grant_interval_ms: 0.0,
            last_grant_ms: 0,
        }
    }

    /// Counts a grant made while others waited.
    pub(super) fn granted(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.last_grant_ms) as f64;
        if self.last_grant_ms > 0 && !self.queue.is_empty() {
            self.grant_interval_ms += (interval_ms - self.grant_interval_ms) * PACE_WEIGHT;
        } else if self.queue.is_empty() {
            self.grant_interval_ms *= 1.0 - PACE_WEIGHT;
        }
        self.last_grant_ms = now_ms;
    }

    /// Returns how long a new request of `rank` is expected to wait.
    pub(super) fn expected_wait_ms(&self, rank: u32) -> f64 {
        self.queue.ahead_of(rank) as f64 * self.grant_interval_ms
    }

    /// Takes a request out whose caller went away.
    pub(super) fn is_abandoned(&self, ticket: &Ticket) -> bool {
        self.pending.get(&ticket.id).is_none_or(|pending| pending.result.is_closed())
    }
}
