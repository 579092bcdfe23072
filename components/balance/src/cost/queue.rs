//! Waiting requests whose work exceeds what engines get done in their queue time.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use super::Work;

/// Period over which granted work is counted.
const WINDOW_MS: u64 = 2_000;
/// Grants in the window that make a rate; fewer say nothing about the next one.
const MIN_GRANTS: usize = 10;
/// A queue is too long if its work needs the rest of the queue time and half as much:
/// capacity frees in irregular steps.
const SHED_FACTOR: f64 = 1.5;

/// Work that was granted at the upstreams of one service lately.
#[derive(Clone, Debug, Default)]
pub struct WorkHistory {
    granted: VecDeque<(u64, f64)>,
}

impl WorkHistory {
    /// Records a grant.
    pub fn record(&mut self, work: Work, now_ms: u64) {
        self.granted.push_back((now_ms, work.as_ms()));
        self.expire(now_ms);
    }

    /// Returns how long engines take for so much work, by the recent rate.
    ///
    /// ```
    /// use balance::{Work, WorkHistory};
    /// let mut history = WorkHistory::default();
    /// assert_eq!(history.wait_ms(Work::from_ms(500.0), 0), None);
    /// (0..20).for_each(|number| history.record(Work::from_ms(300.0), number * 100));
    /// // 6,000 ms of work in 2 s: three engines.
    /// assert_eq!(history.wait_ms(Work::from_ms(1_500.0), 2_000), Some(500.0));
    /// ```
    pub fn wait_ms(&mut self, work: Work, now_ms: u64) -> Option<f64> {
        self.expire(now_ms);
        let granted_ms: f64 = self.granted.iter().map(|(_, work_ms)| work_ms).sum();
        (self.granted.len() >= MIN_GRANTS && granted_ms > 0.0)
            .then(|| work.as_ms() * WINDOW_MS as f64 / granted_ms)
    }

    fn expire(&mut self, now_ms: u64) {
        while self.granted.front().is_some_and(|(at_ms, _)| at_ms + WINDOW_MS < now_ms) {
            self.granted.pop_front();
        }
    }
}

/// Place of a request in the queue, and what turning it away costs.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Position in the order in which requests get slots.
    pub position: usize,
    /// Its first event can't be in time.
    pub is_late: bool,
    /// Ranks of its workspace and its route; 0 is the most urgent.
    pub ranks: (u32, u32),
    /// Mean work of its route, so that the larger requests of a route are not rejected
    /// before the others.
    pub route_work: Work,
    /// Work of the request.
    pub work: Work,
    /// Those for whom it is asked were granted too little lately.
    pub is_owed: bool,
}

impl Place {
    /// Compares what callers lose: the greater is rejected first.
    fn cmp_dispensable(&self, other: &Self) -> Ordering {
        (self.is_late, self.ranks)
            .cmp(&(other.is_late, other.ranks))
            .then(self.route_work.as_ms().total_cmp(&other.route_work.as_ms()))
            .then(self.position.cmp(&other.position))
    }
}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        self.cmp_dispensable(other)
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Place {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Place {}

/// Requests of one service that go on waiting, built up in the order in which they get
/// slots.
///
/// Where one of them would wait too long, the request that costs callers least among it
/// and those before it is rejected: one that is late already, then one of the least
/// urgent, then one whose route needs the most work, then the last.
#[derive(Debug, Default)]
pub struct WorkQueue {
    dispensable: BinaryHeap<Place>,
    work_ms: f64,
    len: usize,
}

impl WorkQueue {
    /// Returns the work that waits.
    pub fn work(&self) -> Work {
        Work::from_ms(self.work_ms)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request that is to get its slot within `queue_timeout_ms`. Returns the
    /// position of the one to reject, if the queue is too long for that.
    pub fn push(
        &mut self,
        place: Place,
        queue_timeout_ms: u64,
        history: &mut WorkHistory,
        now_ms: u64,
    ) -> Option<usize> {
        self.work_ms += place.work.as_ms();
        self.len += 1;
        if !place.is_owed {
            self.dispensable.push(place);
        }
        let wait_ms = history.wait_ms(self.work(), now_ms)?;
        if wait_ms <= queue_timeout_ms as f64 * SHED_FACTOR {
            return None;
        }
        let rejected = self.dispensable.pop()?;
        self.work_ms = (self.work_ms - rejected.work.as_ms()).max(0.0);
        self.len -= 1;
        Some(rejected.position)
    }
}
