//! Requests that wait for a running at-most-once record to finish.

use std::collections::HashMap;

use schema::{RecordKey, RecordOutcome};
use state::State;
use tokio::sync::oneshot;

struct Waiter {
    fingerprint: Vec<u8>,
    deadline_ms: u64,
    result: oneshot::Sender<RecordOutcome>,
}

/// Waiting requests, by record.
#[derive(Default)]
pub(crate) struct RecordWaiters {
    by_key: HashMap<RecordId, Vec<Waiter>>,
    next_deadline_ms: Option<u64>,
}

#[derive(Clone, Eq, Hash, PartialEq)]
struct RecordId {
    workspace: String,
    service: String,
    key: String,
}

impl RecordId {
    fn of(key: &RecordKey) -> Self {
        RecordId {
            workspace: key.workspace.clone(),
            service: key.service.clone(),
            key: key.key.clone(),
        }
    }

    fn to_key(&self) -> RecordKey {
        RecordKey {
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            key: self.key.clone(),
        }
    }
}

impl RecordWaiters {
    pub(crate) fn add(
        &mut self,
        key: &RecordKey,
        fingerprint: Vec<u8>,
        deadline_ms: u64,
    ) -> oneshot::Receiver<RecordOutcome> {
        let (result, receiver) = oneshot::channel();
        let waiter = Waiter { fingerprint, deadline_ms, result };
        self.by_key.entry(RecordId::of(key)).or_default().push(waiter);
        let earlier = self.next_deadline_ms.map_or(deadline_ms, |at| at.min(deadline_ms));
        self.next_deadline_ms = Some(earlier);
        receiver
    }

    /// Sends the outcome of finished records to their waiters.
    pub(crate) fn notify_finished(&mut self, finished: &[RecordKey], state: &State) {
        for key in finished {
            for waiter in self.by_key.remove(&RecordId::of(key)).unwrap_or_default() {
                let outcome = state.records().lookup(key, &waiter.fingerprint);
                let _ = waiter.result.send(outcome);
            }
        }
    }

    /// Sends the current outcome to waiters whose deadline has passed.
    pub(crate) fn expire(&mut self, now_ms: u64, state: &State) {
        if self.next_deadline_ms.is_none_or(|at| now_ms < at) {
            return;
        }
        let mut next_deadline_ms = None;
        self.by_key.retain(|id, waiters| {
            let key = id.to_key();
            let (expired, waiting) =
                std::mem::take(waiters).into_iter().partition(|w| w.deadline_ms <= now_ms);
            *waiters = waiting;
            let expired: Vec<Waiter> = expired;
            for waiter in expired {
                let _ = waiter.result.send(state.records().lookup(&key, &waiter.fingerprint));
            }
            let earliest = waiters.iter().map(|w| w.deadline_ms).min();
            next_deadline_ms = next_deadline_ms.into_iter().chain(earliest).min();
            !waiters.is_empty()
        });
        self.next_deadline_ms = next_deadline_ms;
    }

    /// Drops all waiters when leadership ends; their requests fail and have to be
    /// sent to the next leader.
    pub(crate) fn abandon_all(&mut self) {
        self.by_key.clear();
        self.next_deadline_ms = None;
    }
}
