//! Requests of one service that wait for an engine.

use std::collections::HashMap;
use std::sync::Arc;

use admission::{Queue, RetryBudget, Ticket, TicketId};
use compact_str::CompactString;
use routing::Choice;
use smallvec::SmallVec;

use crate::request::Acquire;

/// Weight of the newest interval in the pace of grants.
const PACE_WEIGHT: f64 = 0.1;

/// Attempt that waits for another entry's answer.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) service: CompactString,
    pub(crate) ticket: Ticket,
    pub(crate) choice: Choice,
    pub(crate) rest: SmallVec<[Choice; 3]>,
}

/// Queue of one service.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub(crate) queue: Queue,
    pub(crate) pending: HashMap<TicketId, Arc<Acquire>>,
    /// Attempts that wait for an answer of another entry.
    pub(crate) attempts: usize,
    /// No attempt is made before this time, unless room is reported.
    pub(crate) paused_until_ms: u64,
    pub(crate) retries: RetryBudget,
    grant_interval_ms: f64,
    last_grant_ms: u64,
}

impl ServiceQueue {
    pub(crate) fn new(limit: usize, fair: bool) -> Self {
        ServiceQueue {
            queue: if fair { Queue::new(limit) } else { Queue::fifo(limit) },
            pending: HashMap::new(),
            attempts: 0,
            paused_until_ms: 0,
            retries: RetryBudget::default(),
            grant_interval_ms: 0.0,
            last_grant_ms: 0,
        }
    }

    /// Forgets a request whose caller went away while it was being tried.
    pub(crate) fn drop_if_abandoned(&mut self, ticket: &Ticket) -> bool {
        if self.pending.contains_key(&ticket.id) {
            return false;
        }
        self.queue.settle(&ticket.workspace, ticket.share, ticket.expected_tokens, 0.0);
        true
    }

    /// Counts a grant; the pace is that of grants while others wait.
    pub(crate) fn granted(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.last_grant_ms) as f64;
        if self.queue.is_empty() {
            self.grant_interval_ms *= 1.0 - PACE_WEIGHT;
        } else if self.last_grant_ms > 0 {
            self.grant_interval_ms += (interval_ms - self.grant_interval_ms) * PACE_WEIGHT;
        }
        self.last_grant_ms = now_ms;
    }

    /// Returns how long a new request of `rank` is expected to wait.
    pub(crate) fn expected_wait_ms(&self, rank: u32) -> f64 {
        self.queue.requests_ahead_of(rank) as f64 * self.grant_interval_ms
    }
}
