//! Splits a stream of server-sent events, whose bytes stay as they are.

use bytes::{Bytes, BytesMut};

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: BytesMut,
    /// Bytes that were already searched for the end of an event.
    searched: usize,
}

impl Events {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event with the blank line that ends it.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns what is left after the last whole event.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    fn find_end(&mut self) -> Option<usize> {
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
        // An end may begin in the last two bytes.
        self.searched = bytes.len().saturating_sub(2);
        None
    }
}

#[cfg(test)]
#[path = "../tests/unit/events.rs"]
mod tests;
