//! Splits a stream into server-sent events without changing its bytes, and follows
//! its progress.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

/// Splits received bytes into events; buffers those of an incomplete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix that was already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes of the incomplete event.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether an event was received in part; blank lines after an event are none.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.trim_ascii().is_empty()
    }

    /// Returns the next complete event including the blank line that ends it.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        let end = self.find_event_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the first complete event that is more than a comment, without removing it.
    pub(crate) fn first(&self) -> Option<&[u8]> {
        let mut rest = &self.buffer[..];
        while let Some(end) = event_end(rest, 0) {
            let (event, after) = rest.split_at(end);
            if !is_comment(event) {
                return Some(event);
            }
            rest = after;
        }
        None
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let end = event_end(&self.buffer, self.searched);
        if end.is_none() {
            // The end of an event may begin in the last two bytes.
            self.searched = self.buffer.len().saturating_sub(2);
        }
        end
    }
}

/// Returns the length of the event that begins `bytes`, if it is complete; its end is searched
/// `from` there on.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    for at in from..bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\n\r\n") {
            return Some(at + 3);
        }
    }
    None
}

/// What an event means for the progress of its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventKind {
    /// The next event, this long after the one before it.
    New(Duration),
    /// A comment or a blank event.
    WithoutData,
    /// The caller already has the event.
    Repeated,
}

/// How the ids of the events of a stream follow on each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum IdSteps {
    Unknown,
    Consecutive,
    Sparse,
}

impl IdSteps {
    /// Returns the steps of a stream that continues with the event `id` after `last`.
    fn and(self, last: u64, id: u64) -> Self {
        match (self, id.checked_sub(last)) {
            (IdSteps::Unknown | IdSteps::Consecutive, Some(1)) => IdSteps::Consecutive,
            (_, _) => IdSteps::Sparse,
        }
    }
}

/// Progress of a stream, over all engines that it comes from.
#[derive(Debug)]
pub(crate) struct StreamProgress {
    pub(crate) last_event_id: Option<u64>,
    /// The id before that, once there was a new event; `None` within if there was none.
    id_before_last: Option<Option<u64>>,
    /// New events so far.
    pub(crate) relayed: u64,
    /// Bytes received so far.
    pub(crate) bytes: u64,
    /// Bytes of comments, blank and repeated events since the last new event.
    pub(crate) bytes_without_event: usize,
    pub(crate) last_event_at: Instant,
    pub(crate) longest_pause: Duration,
    id_steps: IdSteps,
    /// The last new event had an id.
    is_identified: bool,
}

impl StreamProgress {
    pub(crate) fn new(last_event_id: Option<u64>) -> Self {
        StreamProgress {
            last_event_id,
            id_before_last: None,
            relayed: 0,
            bytes: 0,
            bytes_without_event: 0,
            last_event_at: Instant::now(),
            longest_pause: Duration::ZERO,
            id_steps: IdSteps::Unknown,
            is_identified: true,
        }
    }

    /// Records an event with its id, if it has one.
    pub(crate) fn accept(&mut self, id: Option<u64>, event: &[u8]) -> EventKind {
        if id.is_some() && id <= self.last_event_id {
            self.bytes_without_event += event.len();
            return EventKind::Repeated;
        }
        if id.is_none() && !has_data(event) {
            self.bytes_without_event += event.len();
            return EventKind::WithoutData;
        }
        if let (Some(last), Some(id)) = (self.last_event_id, id) {
            self.id_steps = self.id_steps.and(last, id);
        }
        self.is_identified = id.is_some();
        let gap = self.last_event_at.elapsed();
        self.id_before_last = Some(self.last_event_id);
        self.last_event_id = id.or(self.last_event_id);
        self.relayed += 1;
        self.bytes_without_event = 0;
        self.longest_pause = self.longest_pause.max(gap);
        self.last_event_at = Instant::now();
        EventKind::New(gap)
    }

    /// Returns whether a request can name the event after which an engine has to continue.
    pub(crate) fn is_resumable(&self) -> bool {
        self.is_identified
    }

    /// Returns after which event a run has to begin that is to repeat the last one, if that was
    /// seen; `None` within for a run from the start.
    pub(crate) fn id_before_last(&self) -> Option<Option<u64>> {
        self.id_before_last
    }

    /// Returns whether a run that continues after the last event may begin with an event with
    /// this id. Ids increase; a gap counts only in a stream that had none before.
    pub(crate) fn may_go_on_with(&self, id: Option<u64>) -> bool {
        match (self.last_event_id, id, self.id_steps) {
            (None, _, _) => true,
            (Some(_), None, _) => false,
            (Some(last), Some(id), IdSteps::Consecutive) => id.checked_sub(last) == Some(1),
            (Some(last), Some(id), IdSteps::Unknown | IdSteps::Sparse) => id > last,
        }
    }
}

/// Returns whether an event has nothing but comments.
pub(crate) fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Returns whether an event has data; comments and blank events have none.
fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

#[cfg(test)]
#[path = "../tests/unit/events.rs"]
mod tests;
