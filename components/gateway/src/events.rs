//! Splits a stream into server-sent events without changing its bytes.

use bytes::{Bytes, BytesMut};

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

    /// Returns the next complete event including the blank line that ends it.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        let end = self.find_event_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        for at in self.searched..bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        // The end of an event may begin in the last two bytes.
        self.searched = bytes.len().saturating_sub(2);
        None
    }
}

/// Returns whether an event has data; comments and blank events have none.
pub(crate) fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

#[cfg(test)]
#[path = "../tests/unit/events.rs"]
mod tests;
