//! Proposals that wait to be committed and applied.

use std::collections::BTreeMap;

use consensus::LogPosition;
use state::Outcome;
use tokio::sync::oneshot;

/// Result of a proposal.
#[derive(Debug)]
pub(crate) enum Proposed {
    /// The command was applied.
    Applied(Outcome),
    /// A log entry of another leader replaced the command; it was not applied.
    Superseded,
    /// Leadership ended before the command was committed; it may still be
    /// applied.
    Unknown,
}

struct Pending {
    term: u64,
    proposed_ms: u64,
    result: oneshot::Sender<Proposed>,
}

/// Pending proposals of this leader, by log index.
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

    pub(crate) fn add(&mut self, at: LogPosition, now_ms: u64) -> oneshot::Receiver<Proposed> {
        let (result, receiver) = oneshot::channel();
        self.pending.insert(at.index, Pending { term: at.term, proposed_ms: now_ms, result });
        receiver
    }

    /// Resolves the proposal at the index of an applied command. Returns the time
    /// since it was proposed, in milliseconds, if the command is the one proposed.
    pub(crate) fn complete(
        &mut self,
        at: LogPosition,
        outcome: Outcome,
        now_ms: u64,
    ) -> Option<u64> {
        let pending = self.pending.remove(&at.index)?;
        let is_own = pending.term == at.term;
        let result = if is_own { Proposed::Applied(outcome) } else { Proposed::Superseded };
        let _ = pending.result.send(result);
        is_own.then(|| now_ms.saturating_sub(pending.proposed_ms))
    }

    /// Resolves all proposals as [`Proposed::Unknown`] when leadership ends.
    pub(crate) fn abandon_all(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let _ = pending.result.send(Proposed::Unknown);
        }
    }
}
