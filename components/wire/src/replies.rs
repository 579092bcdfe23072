//! Replies that consist of several messages.

use bytes::BytesMut;
use quinn::{RecvStream, SendStream};
use schema::ForwardReply;

use crate::CallError;
use crate::frame::{self, Split};
use crate::traffic;

/// Bytes that are received at once.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Parts of a reply as they arrive; dropping it cancels the request.
#[derive(Debug)]
pub struct ReplyParts {
    receive: RecvStream,
    /// Received bytes of parts that were not returned yet.
    buffer: BytesMut,
}

impl ReplyParts {
    pub(crate) fn new(receive: RecvStream) -> Self {
        ReplyParts { receive, buffer: BytesMut::new() }
    }

    /// Waits for the next part; `None` after the last one, or if the connection is lost. No part
    /// is lost if the wait is abandoned.
    pub async fn next(&mut self) -> Option<ForwardReply> {
        loop {
            match frame::split(&mut self.buffer, traffic::FORWARD) {
                Split::Message(part) => return Some(part),
                Split::Malformed => return None,
                Split::Incomplete => {}
            }
            let chunk = self.receive.read_chunk(MAX_CHUNK_BYTES, true).await.ok()??;
            self.buffer.extend_from_slice(&chunk.bytes);
        }
    }
}

/// Sends the parts of a reply.
#[derive(Debug)]
pub struct ReplySender {
    send: SendStream,
}

impl ReplySender {
    pub(crate) fn new(send: SendStream) -> Self {
        ReplySender { send }
    }

    /// Sends a part; fails once the peer wants no more, or the connection is lost.
    pub async fn send(&mut self, part: &ForwardReply) -> Result<(), CallError> {
        let sent = frame::write(&mut self.send, traffic::FORWARD, part).await;
        sent.map_err(|error| CallError::Lost(error.to_string()))
    }

    /// Ends the reply and waits until the peer has all of it, or wants no more of it, or the
    /// connection is lost.
    pub async fn finish(mut self) {
        // Fails only if the peer wants no more parts.
        if self.send.finish().is_ok() {
            self.cancelled().await;
        }
    }

    /// Waits until the peer wants no more parts, or the connection is lost.
    pub async fn cancelled(&self) {
        // Both outcomes mean that nobody reads the reply.
        let _ = self.send.stopped().await;
    }
}
