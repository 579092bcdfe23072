//! Proposals that wait to be committed.

use std::collections::BTreeMap;

use consensus::Position;
use state::Outcome;
use tokio::sync::oneshot;

/// How a proposal ended.
#[derive(Debug)]
pub(crate) enum Proposed {
    /// The command was applied.
    Applied(Outcome),
    /// Another command took its place in the log; it was not applied.
    Superseded,
    /// Leadership ended first; the command may still be applied.
    Unknown,
}

struct Pending {
    term: u64,
    proposed_ms: u64,
    result: oneshot::Sender<Proposed>,
}

/// Proposals of this leader, by log index.
pub(crate) struct Proposals {
    pending: BTreeMap<u64, Pending>,
    limit: usize,
}

impl Proposals {
    pub(crate) fn new(limit: usize) -> Self {
        Proposals { pending: BTreeMap::new(), limit }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= self.limit
    }

    pub(crate) fn wait(&mut self, at: Position, now_ms: u64) -> oneshot::Receiver<Proposed> {
        let (result, receiver) = oneshot::channel();
        self.pending.insert(at.index, Pending { term: at.term, proposed_ms: now_ms, result });
        receiver
    }

    /// Reports an applied command and returns how long it took, if it was
    /// proposed here.
    pub(crate) fn finish(&mut self, at: Position, outcome: Outcome, now_ms: u64) -> Option<u64> {
        let pending = self.pending.remove(&at.index)?;
        let ours = pending.term == at.term;
        let result = if ours { Proposed::Applied(outcome) } else { Proposed::Superseded };
        let _ = pending.result.send(result);
        ours.then(|| now_ms.saturating_sub(pending.proposed_ms))
    }

    /// Reports that the outcome of all proposals is unknown here.
    pub(crate) fn abandon(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let _ = pending.result.send(Proposed::Unknown);
        }
    }
}
