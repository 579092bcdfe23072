//! Ways on of a generation that no longer runs, as data without I/O: which engine is asked
//! next to go on with it.

/// Copies of a KV cache that its source is asked for after the first one.
const MAX_FURTHER_COPIES: u32 = 2;
/// Requests to go on with one generation. An engine that has refused a copy may have room soon.
const MAX_REQUESTS: u32 = 8;

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

/// What is known of the copy at another engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AtOther {
    NoCopy,
    Copied,
    /// There is a copy, but the engine did not take the generation.
    Refused,
}

/// Ways that are left.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Ways {
    at_other: AtOther,
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
        let at_other = if has_copy { AtOther::Copied } else { AtOther::NoCopy };
        let at_source = if is_kept { AtSource::Kept } else { AtSource::NotKept };
        Ways {
            at_other,
            at_source,
            further_copies: MAX_FURTHER_COPIES,
            requests: MAX_REQUESTS,
            may_run: false,
        }
    }

    /// Returns the next way. The source is asked to take the generation back only if it
    /// `takes_requests`; it is quicker than another copy. A copy that was refused is offered
    /// again once nothing else is left.
    pub(crate) fn next(&self, takes_requests: bool) -> Option<Way> {
        if self.may_run || self.requests == 0 {
            return None;
        }
        match (self.at_other, self.at_source) {
            (AtOther::Copied, _) => Some(Way::Copy),
            (_, AtSource::Kept) if takes_requests => Some(Way::Source),
            (_, AtSource::Kept | AtSource::Refused) if self.further_copies > 0 => {
                Some(Way::NextCopy)
            }
            (AtOther::Refused, _) => Some(Way::Copy),
            (AtOther::NoCopy, _) => None,
        }
    }

    /// Returns whether the next way is a copy that was refused before.
    pub(crate) fn repeats(&self) -> bool {
        self.at_other == AtOther::Refused
    }

    /// Returns whether nothing is left but copies that were refused.
    pub(crate) fn repeats_or_ends(&self, takes_requests: bool) -> bool {
        match self.next(takes_requests) {
            None => true,
            Some(Way::Copy) => self.repeats(),
            Some(Way::Source | Way::NextCopy) => false,
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
                // An engine that breaks each connection is not asked without end.
                let is_kept = self.further_copies > 0;
                self.further_copies = self.further_copies.saturating_sub(1);
                self.at_other = AtOther::NoCopy;
                self.at_source = if is_kept { AtSource::Kept } else { AtSource::NotKept };
            }
            (Way::Copy, _) => self.at_other = AtOther::Refused,
            (Way::Source | Way::NextCopy, Outcome::NotKept) => {
                self.at_source = AtSource::NotKept;
            }
            (Way::Source, _) => self.at_source = AtSource::Refused,
            (Way::NextCopy, Outcome::Copied) => self.at_other = AtOther::Copied,
            (Way::NextCopy, Outcome::NotRun) => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ways.rs"]
mod tests;
