//! Requests that wait for an engine.

use std::collections::{BTreeMap, HashMap, VecDeque};

use compact_str::CompactString;
use displaydoc::Display;

/// Waiting time, as a share of the longest one, that is worth one rank.
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
    /// Relative share of the workspace.
    pub share: u32,
    /// Rank of its priority; 0 is served first.
    pub rank: u32,
    /// Longest wait of its priority.
    pub max_wait_ms: u64,
    /// When it was queued.
    pub queued_ms: u64,
    /// When it has to start to be on time.
    pub due_ms: u64,
    /// Tokens that it is expected to cost.
    pub expected_tokens: f64,
}

/// the queue holds as many requests as it may
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct QueueFull;

impl std::error::Error for QueueFull {}

type Lanes = BTreeMap<(u32, CompactString), VecDeque<Ticket>>;

/// Requests that wait for an engine, fair between workspaces by tokens.
///
/// Requests that can no longer start on time give way to those that can.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    /// Serve workspaces by tokens received, and not in order of arrival.
    fair: bool,
    len: usize,
    lanes: Lanes,
    /// Requests that are past their due time.
    late: Lanes,
    /// Tokens that each workspace was served, divided by its share.
    served: HashMap<CompactString, f64>,
    /// Least served tokens at which a workspace that was idle starts.
    floor: f64,
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
            floor: 0.0,
        }
    }

    /// Creates a queue that serves each rank in order of arrival.
    pub fn in_order(limit: usize) -> Self {
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
        let served = self.served.entry(ticket.workspace.clone()).or_insert(self.floor);
        // A workspace that was idle must not bank its unused share.
        *served = served.max(self.floor);
        let lane = self.lanes.entry((ticket.rank, ticket.workspace.clone())).or_default();
        lane.push_back(ticket);
        self.len += 1;
        Ok(())
    }

    /// Puts a request back in front after an attempt that found no room.
    pub fn put_back(&mut self, ticket: Ticket) {
        self.charge(&ticket.workspace, -ticket.expected_tokens, ticket.share);
        let lane = self.lanes.entry((ticket.rank, ticket.workspace.clone())).or_default();
        lane.push_front(ticket);
        self.len += 1;
    }

    /// Removes and returns the request to serve next, and charges its
    /// workspace with the tokens that it is expected to cost.
    pub fn pop(&mut self, now_ms: u64) -> Option<Ticket> {
        self.set_late_aside(now_ms);
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
        self.floor = self.floor.max(served.min(self.least_served()));
        self.charge(&ticket.workspace, ticket.expected_tokens, ticket.share);
        Some(ticket)
    }

    /// Corrects the charge of a request whose cost turned out differently.
    pub fn settle(&mut self, workspace: &str, share: u32, expected_tokens: f64, tokens: f64) {
        self.charge(workspace, tokens - expected_tokens, share);
    }

    /// Removes and returns requests that have waited too long.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Ticket> {
        let late = |ticket: &Ticket| now_ms >= ticket.queued_ms + ticket.max_wait_ms;
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut().chain(self.late.values_mut()) {
            while lane.front().is_some_and(late) {
                expired.extend(lane.pop_front());
            }
        }
        self.lanes.retain(|_, lane| !lane.is_empty());
        self.late.retain(|_, lane| !lane.is_empty());
        self.len -= expired.len();
        expired
    }

    /// Removes a request whose caller went away.
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
    pub fn len_of(&self, workspace: &str) -> usize {
        let lanes = self.lanes.iter().chain(&self.late);
        let own = lanes.filter(|((_, owner), _)| owner == workspace);
        own.map(|(_, lane)| lane.len()).sum()
    }

    /// Returns the number of requests that are served before a new one of `rank`.
    pub fn ahead_of(&self, rank: u32) -> usize {
        let lanes = self.lanes.iter().filter(|((other, _), _)| *other <= rank);
        lanes.map(|(_, lane)| lane.len()).sum()
    }

    /// Moves requests that can no longer start on time out of the way.
    fn set_late_aside(&mut self, now_ms: u64) {
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
            // Whole ranks, so that the fair order holds within a rank.
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
        let served = self.served.entry(workspace.into()).or_insert(self.floor);
        *served += tokens / f64::from(share.max(1));
    }
}
