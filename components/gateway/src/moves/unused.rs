//! Copies of KV caches that no generation has gone on from.

use std::rc::Rc;

use compact_str::CompactString;
use smallvec::SmallVec;

use super::{PendingTask, StopResult, free_late_copy, free_later};
use crate::accept::Call;
use crate::shared::Shared;
use crate::target::Target;

/// Copy of a KV cache.
#[derive(Debug)]
struct UnusedCopy {
    /// Engine that made it, which frees it at both ends.
    source: Target,
    handle: CompactString,
    /// Engine that holds it, if it is known.
    holder: Option<Target>,
}

/// Copies of the KV cache of one generation, freed on drop: also if the caller leaves.
#[derive(Debug)]
pub(crate) struct UnusedCopies {
    shared: Rc<Shared>,
    call: Rc<Call>,
    copies: SmallVec<[UnusedCopy; 2]>,
    /// Command whose result may be one more copy, and the engine that it was sent to.
    pub(crate) ending: Option<(PendingTask<StopResult>, Target)>,
}

impl UnusedCopies {
    pub(crate) fn new(shared: &Rc<Shared>, call: &Rc<Call>) -> Self {
        let (shared, call) = (shared.clone(), call.clone());
        UnusedCopies { shared, call, copies: SmallVec::new(), ending: None }
    }

    /// Adds a copy that `source` made under a handle.
    pub(crate) fn add(&mut self, source: &Target, handle: &CompactString, holder: Option<&Target>) {
        let known = self.copies.iter_mut().find(|copy| {
            copy.source.incarnation() == source.incarnation() && copy.handle == *handle
        });
        match known {
            Some(copy) => copy.holder = copy.holder.take().or(holder.cloned()),
            None => self.copies.push(UnusedCopy {
                source: source.clone(),
                handle: handle.clone(),
                holder: holder.cloned(),
            }),
        }
    }

    /// The generation has gone on from a copy.
    pub(crate) fn keep(&mut self, handle: &str) {
        self.copies.retain(|copy| copy.handle != handle);
    }

    /// The generation has gone on at the engine that made the copies: they are freed at the
    /// engines that hold them.
    pub(crate) fn keep_at_source(&mut self) {
        self.copies.retain(|copy| copy.holder.is_some());
        for copy in &mut self.copies {
            if let Some(holder) = copy.holder.take() {
                copy.source = holder;
            }
        }
    }

    /// An engine may go on from one of the copies.
    pub(crate) fn keep_all(&mut self) {
        self.copies.clear();
    }
}

impl Drop for UnusedCopies {
    fn drop(&mut self) {
        for UnusedCopy { source, handle, .. } in self.copies.drain(..) {
            free_later(&self.shared, &self.call, &source, handle);
        }
        if let Some((ending, source)) = self.ending.take() {
            free_late_copy(&self.shared, &self.call, &source, ending);
        }
    }
}
