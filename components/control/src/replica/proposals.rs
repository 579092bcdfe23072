//! Proposals that wait to be committed and applied.

use std::collections::BTreeMap;

use consensus::LogPosition;
use state::Outcome;
use tokio::sync::oneshot;

/// Limit on the size of all pending commands.
const MAX_PENDING_BYTES: usize = 16 << 20;

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
    size_bytes: usize,
    proposed_ms: u64,
    result: oneshot::Sender<Proposed>,
}

/// Pending proposals of this leader, by log index.
pub(crate) struct Proposals {
    pending: BTreeMap<u64, Pending>,
    limit: usize,
    /// Size of the pending commands.
    pending_bytes: usize,
}

impl Proposals {
    pub(crate) fn new(limit: usize) -> Self {
        Proposals { pending: BTreeMap::new(), limit, pending_bytes: 0 }
    }

    /// Returns whether a command of `size_bytes` may be proposed. One that is larger than
    /// the limit may if nothing is pending.
    pub(crate) fn has_room_for(&self, size_bytes: usize) -> bool {
        let fits = self.pending_bytes == 0 || self.pending_bytes + size_bytes <= MAX_PENDING_BYTES;
        fits && self.pending.len() < self.limit
    }

    pub(crate) fn add(
        &mut self,
        at: LogPosition,
        size_bytes: usize,
        now_ms: u64,
    ) -> oneshot::Receiver<Proposed> {
        let (result, receiver) = oneshot::channel();
        let pending = Pending { term: at.term, size_bytes, proposed_ms: now_ms, result };
        self.pending_bytes += size_bytes;
        self.pending.insert(at.index, pending);
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
        self.pending_bytes -= pending.size_bytes;
        let is_own = pending.term == at.term;
        let result = if is_own { Proposed::Applied(outcome) } else { Proposed::Superseded };
        let _ = pending.result.send(result);
        is_own.then(|| now_ms.saturating_sub(pending.proposed_ms))
    }

    /// Resolves all proposals as [`Proposed::Unknown`] when leadership ends.
    pub(crate) fn abandon_all(&mut self) {
        self.pending_bytes = 0;
        for (_, pending) in std::mem::take(&mut self.pending) {
            let _ = pending.result.send(Proposed::Unknown);
        }
    }
}
