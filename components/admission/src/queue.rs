//! Fair queue of requests that wait for an engine.

use std::collections::{BTreeMap, HashMap, VecDeque};

use compact_str::CompactString;
use displaydoc::Display;

/// Share of the maximum wait after which a request is promoted by one rank.
const AGEING_SHARE_PER_RANK: f64 = 0.4;

/// Id of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// Request that waits for an engine.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Id, unique in the queue.
    pub id: TicketId,
    /// Workspace of the caller.
    pub workspace: CompactString,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Rank of its priority; 0 is served first.
    pub rank: u32,
    /// Maximum wait of its priority.
    pub max_wait_ms: u64,
    /// Time at which it was queued.
    pub queued_ms: u64,
    /// Latest start that still meets its deadline.
    pub due_ms: u64,
    /// Prompt and expected output tokens.
    pub expected_tokens: f64,
}

/// the queue holds as many requests as it may
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct QueueFull;

impl std::error::Error for QueueFull {}

/// FIFO queues by rank and workspace.
type Lanes = BTreeMap<(u32, CompactString), VecDeque<Ticket>>;

/// Requests that wait for an engine, scheduled by weighted fair queueing of
/// tokens between workspaces.
///
/// Requests that can still meet their deadline are served before those that
/// cannot.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    /// Serve the workspace with the fewest served tokens first, rather than in
    /// order of arrival.
    fair: bool,
    len: usize,
    lanes: Lanes,
    /// Requests past their latest start, served after all others.
    late: Lanes,
    /// Tokens served per workspace, divided by its share.
    served: HashMap<CompactString, f64>,
    /// Virtual time: served tokens from which an idle workspace starts.
    virtual_time: f64,
}

impl Queue {
    /// Creates a queue of at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Queue {
            limit,
            fair: true,
            len: 0,
            lanes: BTreeMap::new(),
            late: BTreeMap::new(),
            served: HashMap::new(),
            virtual_time: 0.0,
        }
    }

    /// Creates a queue that serves each rank in order of arrival.
    pub fn fifo(limit: usize) -> Self {
        Queue { fair: false, ..Queue::new(limit) }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request.
    pub fn push(&mut self, ticket: Ticket) -> Result<(), QueueFull> {
        if self.len >= self.limit {
            return Err(QueueFull);
        }
        let served = self.served.entry(ticket.workspace.clone()).or_insert(self.virtual_time);
        // An idle workspace must not save up its unused share.
        *served = served.max(self.virtual_time);
        let lane = self.lanes.entry((ticket.rank, ticket.workspace.clone())).or_default();
        lane.push_back(ticket);
        self.len += 1;
        Ok(())
    }

    /// Puts a request back at the head of its queue when no engine had capacity,
    /// and reverts the charge of [`Queue::pop`].
    pub fn requeue(&mut self, ticket: Ticket) {
        self.charge(&ticket.workspace, -ticket.expected_tokens, ticket.share);
        let lane = self.lanes.entry((ticket.rank, ticket.workspace.clone())).or_default();
        lane.push_front(ticket);
        self.len += 1;
    }

    /// Removes and returns the request to serve next, and charges its expected
    /// tokens to its workspace.
    pub fn pop(&mut self, now_ms: u64) -> Option<Ticket> {
        self.demote_late(now_ms);
        let on_time = self.best_lane(&self.lanes, now_ms);
        let (lanes, key) = match on_time {
            Some(key) => (&mut self.lanes, key),
            None => {
                let key = self.best_lane(&self.late, now_ms)?;
                (&mut self.late, key)
            }
        };
        let lane = lanes.get_mut(&key)?;
        let ticket = lane.pop_front()?;
        if lane.is_empty() {
            lanes.remove(&key);
        }
        self.len -= 1;
        let served = self.served.get(&ticket.workspace).copied().unwrap_or_default();
        self.virtual_time = self.virtual_time.max(served.min(self.least_served()));
        self.charge(&ticket.workspace, ticket.expected_tokens, ticket.share);
        Some(ticket)
    }

    /// Replaces the charge for a request's expected tokens by its actual `tokens`.
    pub fn settle(&mut self, workspace: &str, share: u32, expected_tokens: f64, tokens: f64) {
        self.charge(workspace, tokens - expected_tokens, share);
    }

    /// Removes and returns requests that reached their maximum wait.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Ticket> {
        let is_expired = |ticket: &Ticket| now_ms >= ticket.queued_ms + ticket.max_wait_ms;
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut().chain(self.late.values_mut()) {
            while lane.front().is_some_and(is_expired) {
                expired.extend(lane.pop_front());
            }
        }
        self.lanes.retain(|_, lane| !lane.is_empty());
        self.late.retain(|_, lane| !lane.is_empty());
        self.len -= expired.len();
        expired
    }

    /// Removes a request that its caller cancelled.
    pub fn remove(&mut self, id: TicketId) -> Option<Ticket> {
        for lane in self.lanes.values_mut().chain(self.late.values_mut()) {
            if let Some(index) = lane.iter().position(|ticket| ticket.id == id) {
                self.len -= 1;
                return lane.remove(index);
            }
        }
        None
    }

    /// Returns the number of waiting requests of a workspace.
    pub fn workspace_len(&self, workspace: &str) -> usize {
        let lanes = self.lanes.iter().chain(&self.late);
        let own = lanes.filter(|((_, owner), _)| owner == workspace);
        own.map(|(_, lane)| lane.len()).sum()
    }

    /// Returns the number of requests that are normally served before a new one of
    /// `rank`: those of the same or a lower rank that are not late.
    pub fn requests_ahead_of(&self, rank: u32) -> usize {
        let lanes = self.lanes.iter().filter(|((other, _), _)| *other <= rank);
        lanes.map(|(_, lane)| lane.len()).sum()
    }

    /// Moves requests past their latest start to the late queues.
    fn demote_late(&mut self, now_ms: u64) {
        for (key, lane) in &mut self.lanes {
            while lane.front().is_some_and(|ticket| now_ms > ticket.due_ms) {
                if let Some(ticket) = lane.pop_front() {
                    self.late.entry(key.clone()).or_default().push_back(ticket);
                }
            }
        }
        self.lanes.retain(|_, lane| !lane.is_empty());
    }

    fn best_lane(&self, lanes: &Lanes, now_ms: u64) -> Option<(u32, CompactString)> {
        let score = |key: &(u32, CompactString), lane: &VecDeque<Ticket>| {
            let head = lane.front()?;
            let waited = now_ms.saturating_sub(head.queued_ms) as f64;
            let aged = waited / head.max_wait_ms.max(1) as f64 / AGEING_SHARE_PER_RANK;
            // Promotes by whole ranks, so that requests of equal rank stay in fair order.
            let rank = f64::from(key.0) - aged.floor();
            let served = self.served.get(&key.1).copied().unwrap_or_default();
            Some((rank, if self.fair { served } else { head.queued_ms as f64 }))
        };
        let lanes = lanes.iter().filter_map(|(key, lane)| Some((score(key, lane)?, key)));
        let best = lanes.min_by(|((a_rank, a_served), _), ((b_rank, b_served), _)| {
            a_rank.total_cmp(b_rank).then(a_served.total_cmp(b_served))
        });
        best.map(|(_, key)| key.clone())
    }

    fn least_served(&self) -> f64 {
        let lanes = self.lanes.keys().chain(self.late.keys());
        let waiting = lanes.filter_map(|(_, workspace)| self.served.get(workspace));
        waiting.copied().fold(f64::INFINITY, f64::min)
    }

    fn charge(&mut self, workspace: &str, tokens: f64, share: u32) {
        let served = self.served.entry(workspace.into()).or_insert(self.virtual_time);
        *served += tokens / f64::from(share.max(1));
    }
}
