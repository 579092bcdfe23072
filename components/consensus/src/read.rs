//! Read barriers: reads that a quorum confirms without a log entry.

use std::collections::VecDeque;

use crate::output::ReadReady;

/// Barriers of one leader that wait for a quorum.
#[derive(Debug, Default)]
pub(crate) struct ReadBarriers {
    sequence: u64,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    sequence: u64,
    /// Commit index when the barrier was opened, once one of this term exists.
    index: Option<u64>,
}

impl ReadBarriers {
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn open(&mut self, id: u64, index: Option<u64>) {
        self.sequence += 1;
        self.waiting.push_back(Waiting { id, sequence: self.sequence, index });
    }

    /// Gives the commit index to barriers opened before the term had one.
    pub(crate) fn set_index(&mut self, index: u64) {
        for waiting in &mut self.waiting {
            waiting.index.get_or_insert(index);
        }
    }

    /// Removes and returns barriers that a quorum confirmed up to `sequence`.
    pub(crate) fn confirm(&mut self, sequence: u64) -> Vec<ReadReady> {
        let mut ready = Vec::new();
        while let Some(front) = self.waiting.front() {
            let Some(index) = front.index else { break };
            if front.sequence > sequence {
                break;
            }
            ready.push(ReadReady { id: front.id, index });
            self.waiting.pop_front();
        }
        ready
    }

    /// Removes and returns all barriers when leadership ends.
    pub(crate) fn fail(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|waiting| waiting.id).collect()
    }
}
