//! Requests that found no capacity: which go on waiting, and which are rejected.

use std::collections::HashMap;

use compact_str::CompactString;

use super::account::{Ahead, WaitOutcome};
use super::appraisal::Appraisal;
use super::request::{ReservationOutcome, ReservationRequest, ShedReason};
use super::{Arbiter, Round};
use crate::backlog::GrantHistory;
use crate::cost::{Place, ServedShares, Work, WorkHistory, WorkQueue};

/// Request in the queue.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) request: ReservationRequest,
    pub(super) appraisal: Option<Appraisal>,
    pub(super) reply: T,
}

/// What the arbiter remembers of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceHistory {
    pub(super) grants: GrantHistory,
    pub(super) work: WorkHistory,
    pub(super) shares: ServedShares,
}

/// Requests of one service that go on waiting in one round.
#[derive(Debug, Default)]
struct ServiceQueue {
    /// Requests whose cost is not known.
    uncounted: usize,
    counted: WorkQueue,
}

impl ServiceQueue {
    fn len(&self) -> usize {
        self.uncounted + self.counted.len()
    }

    fn ahead(&self) -> Ahead {
        Ahead { requests: self.len(), work_ms: self.counted.work().as_ms() as u64 }
    }
}

/// Why a request ends its wait, and what waited before it.
type Ending = (ReservationOutcome, Ahead);

impl<T> Arbiter<T> {
    /// Ends the waits of requests that found no capacity, in their order, if they are not to
    /// wait longer; keeps the others.
    pub(super) fn end_waits(
        &mut self,
        waiting: Vec<Waiting<T>>,
        round: &Round,
    ) -> Vec<(T, ReservationOutcome)> {
        let mut queues: HashMap<CompactString, ServiceQueue> = HashMap::new();
        let mut endings: Vec<Option<Ending>> = Vec::with_capacity(waiting.len());
        for (position, Waiting { request, appraisal, .. }) in waiting.iter().enumerate() {
            let queue = queues.entry(request.service.clone()).or_default();
            let ahead = queue.ahead();
            endings.push(self.end_wait(request, appraisal.as_ref(), queue, round.now_ms));
            let Some(appraisal) = appraisal.as_ref().filter(|_| endings[position].is_none()) else {
                continue;
            };
            let Some(rejected) = self.queue_up(position, request, appraisal, queue, round.now_ms)
            else {
                continue;
            };
            let retry_after_ms = self.wait_ms(&request.service, queue.counted.work(), round.now_ms);
            let shed = ReservationOutcome::Shed(ShedReason::QueueTooLong { retry_after_ms });
            endings[rejected] = Some((shed, ahead));
        }
        let mut finished = Vec::new();
        for (waiting, ending) in waiting.into_iter().zip(endings) {
            let is_over = round.now_ms >= waiting.request.deadline_ms;
            let timed_out = is_over.then_some((ReservationOutcome::TimedOut, Ahead::default()));
            let Some((outcome, ahead)) = ending.or(timed_out) else {
                self.waiting.push(waiting);
                continue;
            };
            let Waiting { request, appraisal, reply } = waiting;
            if let Some(appraisal) = &appraisal {
                self.record_end(&request, appraisal, &outcome, ahead, round.now_ms);
            }
            finished.push((reply, outcome));
        }
        finished
    }

    /// Ends the wait of a request that is not served in time, whatever waits beside it.
    fn end_wait(
        &mut self,
        request: &ReservationRequest,
        appraisal: Option<&Appraisal>,
        queue: &mut ServiceQueue,
        now_ms: u64,
    ) -> Option<Ending> {
        if request.candidates.is_empty() {
            return Some((ReservationOutcome::TimedOut, queue.ahead()));
        }
        if let Some(retry_after_ms) = self.refuse_limited(request, queue.len(), now_ms) {
            return Some((ReservationOutcome::Limited(retry_after_ms), queue.ahead()));
        }
        let reason = match appraisal {
            Some(appraisal) => {
                let caller_deadline_ms =
                    request.cost.as_ref().map_or(u64::MAX, |cost| cost.caller_deadline_ms);
                let ends_ms = now_ms as f64 + appraisal.run_ms;
                (ends_ms > caller_deadline_ms as f64).then_some(ShedReason::PastDeadline)
            }
            None => self
                .should_shed(request, queue.len(), now_ms)
                .then_some(ShedReason::QueueTooLong { retry_after_ms: 0 }),
        };
        if appraisal.is_none() && reason.is_none() {
            queue.uncounted += 1;
        }
        reason.map(|reason| (ReservationOutcome::Shed(reason), queue.ahead()))
    }

    /// Adds a request to those that go on waiting; returns the position of the one to reject
    /// away, if their work is too much.
    fn queue_up(
        &mut self,
        position: usize,
        request: &ReservationRequest,
        appraisal: &Appraisal,
        queue: &mut ServiceQueue,
        now_ms: u64,
    ) -> Option<usize> {
        let place = Place {
            position,
            is_late: request.is_late(now_ms),
            ranks: (request.rank, request.route_rank),
            route_work: appraisal.route_work,
            work: appraisal.work,
            is_owed: appraisal.is_owed,
        };
        let queue_timeout_ms = request.queue_until_ms.saturating_sub(now_ms);
        let history = &mut self.services.get_mut(&request.service)?.work;
        queue.counted.push(place, queue_timeout_ms, history, now_ms)
    }

    /// Returns how long engines of a service take for so much work; 0 if that is not known.
    fn wait_ms(&mut self, service: &str, work: Work, now_ms: u64) -> u64 {
        let history = self.services.get_mut(service);
        history.and_then(|history| history.work.wait_ms(work, now_ms)).unwrap_or_default() as u64
    }

    /// Records how the wait of a request ended, once its entry does not ask again.
    pub(super) fn record_end(
        &mut self,
        request: &ReservationRequest,
        appraisal: &Appraisal,
        outcome: &ReservationOutcome,
        ahead: Ahead,
        now_ms: u64,
    ) {
        let ended = match outcome {
            ReservationOutcome::Granted(_) => WaitOutcome::Delayed,
            ReservationOutcome::TimedOut if now_ms >= request.queue_until_ms => {
                WaitOutcome::TimedOut
            }
            ReservationOutcome::Shed(ShedReason::QueueTooLong { .. }) => WaitOutcome::QueueTooLong,
            ReservationOutcome::Shed(ShedReason::PastDeadline) => WaitOutcome::PastDeadline,
            ReservationOutcome::TimedOut | ReservationOutcome::Limited(_) => return,
        };
        let history = self.services.entry(request.service.clone()).or_default();
        history.shares.record(&appraisal.askers, ended == WaitOutcome::Delayed);
        self.accounts.record(ended, request, appraisal, ahead, now_ms);
    }

    /// Refuses a request all of whose upstreams are limited and will not have a token in
    /// its queue time, or are held back for longer; returns when its caller may come back.
    fn refuse_limited(
        &mut self,
        request: &ReservationRequest,
        ahead: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let ids = || request.candidate_ids();
        let queue_timeout_ms = request.queue_until_ms.saturating_sub(now_ms);
        if let Some(max_rejections) = self.limits.max_rejections(ids(), now_ms) {
            let held_back_ms = self.rooms.held_back_ms(ids(), max_rejections, now_ms);
            if held_back_ms > queue_timeout_ms {
                return Some(held_back_ms);
            }
        }
        let wait_ms = self.limits.expected_wait_ms(ids(), ahead)?;
        (wait_ms > queue_timeout_ms as f64)
            .then(|| self.limits.refuse(&request.service, ids(), now_ms))
    }

    fn should_shed(&mut self, request: &ReservationRequest, ahead: usize, now_ms: u64) -> bool {
        let queue_timeout_ms = request.queue_until_ms.saturating_sub(now_ms);
        let history = self.services.get_mut(&request.service);
        history.is_some_and(|history| history.grants.should_shed(ahead, queue_timeout_ms, now_ms))
    }
}
