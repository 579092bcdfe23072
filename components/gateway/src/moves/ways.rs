//! Ways on of a generation that no longer runs, as data without I/O: which engine is asked
//! next to go on with it.

/// Copies of a KV cache that its source is asked for after the first one.
const MAX_FURTHER_COPIES: u32 = 2;
/// Requests to go on with one generation: at the first copy, at the source, at further copies.
const MAX_REQUESTS: u32 = 2 + MAX_FURTHER_COPIES;

/// Where a generation may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// At the engine that holds a copy of its KV cache.
    Copy,
    /// At its source, which stopped it and keeps its KV cache.
    Source,
    /// At one more engine, to which its source is asked to copy the KV cache.
    NextCopy,
}

/// What became of one way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The engine does not run the generation, or did not copy its KV cache.
    NotRun,
    /// The source has copied the KV cache to one more engine.
    Copied,
    /// The source does not keep the KV cache.
    NotKept,
    /// The engine ran the generation and has stopped it: it is the source from now on.
    Stopped,
    /// The engine may run the generation: no other one may be asked.
    MayRun,
}

/// What is known of the KV cache at the source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AtSource {
    NotKept,
    Kept,
    /// It is kept, but the source did not take the generation back.
    Refused,
}

/// Ways that are left.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Ways {
    has_copy: bool,
    at_source: AtSource,
    further_copies: u32,
    requests: u32,
    /// An engine may run the generation.
    may_run: bool,
}

impl Ways {
    /// Returns the ways of a generation with a copy at another engine, and with its KV cache
    /// kept by the source that stopped it.
    pub(crate) fn new(has_copy: bool, is_kept: bool) -> Self {
        let at_source = if is_kept { AtSource::Kept } else { AtSource::NotKept };
        Ways {
            has_copy,
            at_source,
            further_copies: MAX_FURTHER_COPIES,
            requests: MAX_REQUESTS,
            may_run: false,
        }
    }

    /// Returns the next way. The source is asked to take the generation back only if it
    /// `takes_requests`; it is quicker than another copy.
    pub(crate) fn next(&self, takes_requests: bool) -> Option<Way> {
        match self.at_source {
            _ if self.may_run || self.requests == 0 => None,
            _ if self.has_copy => Some(Way::Copy),
            AtSource::Kept if takes_requests => Some(Way::Source),
            AtSource::Kept | AtSource::Refused if self.further_copies > 0 => Some(Way::NextCopy),
            AtSource::NotKept | AtSource::Kept | AtSource::Refused => None,
        }
    }

    /// Records that the source keeps the KV cache after all.
    pub(crate) fn keep(&mut self) {
        self.at_source = AtSource::Kept;
    }

    /// Records what became of a way.
    pub(crate) fn record(&mut self, way: Way, outcome: Outcome) {
        match way {
            Way::Copy | Way::Source => self.requests -= 1,
            Way::NextCopy => self.further_copies -= 1,
        }
        match (way, outcome) {
            (_, Outcome::MayRun) => self.may_run = true,
            (_, Outcome::Stopped) => {
                self.has_copy = false;
                self.at_source = AtSource::Kept;
            }
            (Way::Copy, _) => self.has_copy = false,
            (Way::Source | Way::NextCopy, Outcome::NotKept) => {
                self.at_source = AtSource::NotKept;
            }
            (Way::Source, _) => self.at_source = AtSource::Refused,
            (Way::NextCopy, Outcome::Copied) => self.has_copy = true,
            (Way::NextCopy, Outcome::NotRun) => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ways.rs"]
mod tests;
