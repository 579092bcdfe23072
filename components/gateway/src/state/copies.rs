//! Handles of the copies of KV caches that this gateway ordered.

use std::collections::HashMap;

use compact_str::CompactString;

/// Engine by its id and the start time of its incarnation, in Unix milliseconds.
type Incarnation = (CompactString, u64);

/// Which request's KV cache the copies hold, by the engine that made them and their handle.
#[derive(Debug, Default)]
pub(crate) struct KnownCopies {
    requests: HashMap<(Incarnation, CompactString), CompactString>,
}

impl KnownCopies {
    /// Records that an engine copied the KV cache of a request; `false` if the handle belongs
    /// to the copy of another request.
    pub(crate) fn claim(&mut self, engine: Incarnation, handle: &str, request: &str) -> bool {
        let owner = self.requests.entry((engine, handle.into())).or_insert_with(|| request.into());
        owner == request
    }

    /// Forgets one copy.
    pub(crate) fn release(&mut self, engine: Incarnation, handle: &str) {
        self.requests.remove(&(engine, handle.into()));
    }

    /// Forgets all copies of a request.
    pub(crate) fn release_all(&mut self, request: &str) {
        self.requests.retain(|_, owner| owner != request);
    }
}
