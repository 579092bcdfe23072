//! Read index: linearizable reads that a quorum confirms without a log entry.

use std::collections::VecDeque;

use crate::output::ReadReady;

/// Reads of one leader that wait until a quorum confirms its leadership.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    sequence: u64,
    pending: VecDeque<PendingRead>,
}

#[derive(Debug)]
struct PendingRead {
    id: u64,
    sequence: u64,
    /// Commit index when the read began; unset while the leader has not
    /// committed an entry of its own term.
    index: Option<u64>,
}

impl PendingReads {
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn begin(&mut self, id: u64, index: Option<u64>) {
        self.sequence += 1;
        self.pending.push_back(PendingRead { id, sequence: self.sequence, index });
    }

    /// Sets the read index of reads that began before an entry of this term was
    /// committed.
    pub(crate) fn set_read_index(&mut self, index: u64) {
        for read in &mut self.pending {
            read.index.get_or_insert(index);
        }
    }

    /// Removes and returns the reads up to `sequence`, which a quorum confirmed, as
    /// far as their read index is set.
    pub(crate) fn confirm(&mut self, sequence: u64) -> Vec<ReadReady> {
        let mut ready = Vec::new();
        while let Some(front) = self.pending.front() {
            let Some(index) = front.index else { break };
            if front.sequence > sequence {
                break;
            }
            ready.push(ReadReady { id: front.id, index });
            self.pending.pop_front();
        }
        ready
    }

    /// Removes and returns the ids of all pending reads when leadership ends.
    pub(crate) fn fail_all(&mut self) -> Vec<u64> {
        self.pending.drain(..).map(|read| read.id).collect()
    }
}
