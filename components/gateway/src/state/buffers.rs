//! Memory for bodies of requests and responses that are held as a whole.

use std::cell::Cell;
use std::rc::Rc;

/// Memory that an answer may take even if the budget is used up, so that answers of usual size
/// are not lost to larger ones.
const SMALL_ANSWER_BYTES: u64 = 16 << 10;

/// What a buffer holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BufferUse {
    /// Body of a request that was not passed on yet: it can still be refused. All of them
    /// leave a quarter of the budget to answers.
    RequestBody,
    /// Answer of an upstream.
    Answer,
}

/// Budget of memory for all buffers of a gateway.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit_bytes: u64,
    used_bytes: Cell<u64>,
}

impl BufferBudget {
    pub(crate) fn new(limit_bytes: u64) -> Rc<Self> {
        Rc::new(BufferBudget { limit_bytes, used_bytes: Cell::new(0) })
    }

    /// Returns an empty reservation for one buffer.
    pub(crate) fn reserve(self: &Rc<Self>, usage: BufferUse) -> BufferReservation {
        BufferReservation { budget: self.clone(), usage, bytes: 0 }
    }

    pub(crate) fn used_bytes(&self) -> u64 {
        self.used_bytes.get()
    }
}

/// Memory reserved for one buffer until this is dropped.
#[derive(Debug)]
pub(crate) struct BufferReservation {
    budget: Rc<BufferBudget>,
    usage: BufferUse,
    bytes: u64,
}

impl BufferReservation {
    /// Extends the reservation to `bytes`; false if that would exceed the budget.
    #[must_use]
    pub(crate) fn grow_to(&mut self, bytes: u64) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let used = self.budget.used_bytes.get() + added;
        let limit = self.budget.limit_bytes;
        let fits = match self.usage {
            BufferUse::RequestBody => used <= limit / 4 * 3,
            BufferUse::Answer => used <= limit || bytes <= SMALL_ANSWER_BYTES,
        };
        if fits {
            self.budget.used_bytes.set(used);
            self.bytes += added;
        }
        fits
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used_bytes.get() - self.bytes);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/buffers.rs"]
mod tests;
