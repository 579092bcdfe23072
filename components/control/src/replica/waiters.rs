//! Callers that wait for the end of a running record.

use std::collections::HashMap;

use schema::{RecordKey, RecordOutcome};
use state::State;
use tokio::sync::oneshot;

struct Waiter {
    fingerprint: Vec<u8>,
    deadline_ms: u64,
    result: oneshot::Sender<RecordOutcome>,
}

/// Waiters by record.
#[derive(Default)]
pub(crate) struct Waiters {
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

impl Waiters {
    pub(crate) fn wait(
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

    /// Answers the waiters of ended records.
    pub(crate) fn wake(&mut self, ended: &[RecordKey], state: &State) {
        for key in ended {
            for waiter in self.by_key.remove(&RecordId::of(key)).unwrap_or_default() {
                let outcome = state.records().lookup(key, &waiter.fingerprint);
                let _ = waiter.result.send(outcome);
            }
        }
    }

    /// Answers waiters whose time is over with the state as it is.
    pub(crate) fn time_out(&mut self, now_ms: u64, state: &State) {
        if self.next_deadline_ms.is_none_or(|at| now_ms < at) {
            return;
        }
        let mut next_deadline_ms = None;
        self.by_key.retain(|id, waiters| {
            let key = id.to_key();
            let (late, waiting) =
                std::mem::take(waiters).into_iter().partition(|w| w.deadline_ms <= now_ms);
            *waiters = waiting;
            let late: Vec<Waiter> = late;
            for waiter in late {
                let _ = waiter.result.send(state.records().lookup(&key, &waiter.fingerprint));
            }
            let earliest = waiters.iter().map(|w| w.deadline_ms).min();
            next_deadline_ms = next_deadline_ms.into_iter().chain(earliest).min();
            !waiters.is_empty()
        });
        self.next_deadline_ms = next_deadline_ms;
    }

    /// Drops all waiters; their callers ask the next leader.
    pub(crate) fn abandon(&mut self) {
        self.by_key.clear();
        self.next_deadline_ms = None;
    }
}
