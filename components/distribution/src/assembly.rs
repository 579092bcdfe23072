//! Change that a gateway receives in chunks.

use bytes::BytesMut;
use prost::Message as _;
use schema::{FetchRoutesReply, RouteChangeId, RouteSetChange};
use xxhash_rust::xxh3::xxh3_64;

use crate::ChangeError;

/// Size above which a change is refused; far more than the largest set that control
/// processes accept needs.
const MAX_CHANGE_BYTES: u64 = 32 << 20;

/// Change that a gateway receives in chunks.
#[derive(Debug, Default)]
pub(crate) struct Assembly {
    id: Option<RouteChangeId>,
    received: BytesMut,
}

impl Assembly {
    /// Returns the change that is received and the bytes of it that are there; `None` before
    /// the first chunk.
    pub(crate) fn progress(&self) -> Option<(RouteChangeId, u64)> {
        Some((self.id?, self.received.len() as u64))
    }

    /// Adds a chunk; returns the change once it is complete, and `None` before. The first
    /// chunk of another change replaces what was received.
    ///
    /// # Errors
    ///
    /// After an error, the assembly starts anew with the next chunk.
    pub(crate) fn add(
        &mut self,
        reply: FetchRoutesReply,
    ) -> Result<Option<(RouteChangeId, RouteSetChange)>, ChangeError> {
        let added = self.try_add(reply);
        if !matches!(added, Ok(None)) {
            *self = Assembly::default();
        }
        added
    }

    fn try_add(
        &mut self,
        reply: FetchRoutesReply,
    ) -> Result<Option<(RouteChangeId, RouteSetChange)>, ChangeError> {
        let id = reply.change.ok_or(ChangeError::OutOfOrder)?;
        if id.size_bytes > MAX_CHANGE_BYTES {
            return Err(ChangeError::TooLarge);
        }
        if self.id != Some(id) {
            self.id = Some(id);
            self.received.clear();
        }
        let received = (self.received.len() + reply.chunk.len()) as u64;
        if received > id.size_bytes || (reply.chunk.is_empty() && received < id.size_bytes) {
            return Err(ChangeError::OutOfOrder);
        }
        self.received.extend_from_slice(&reply.chunk);
        if received < id.size_bytes {
            return Ok(None);
        }
        let bytes = self.received.split().freeze();
        if xxh3_64(&bytes) != id.digest {
            return Err(ChangeError::Corrupted);
        }
        let change = RouteSetChange::decode(bytes).map_err(|_| ChangeError::Undecodable)?;
        Ok(Some((id, change)))
    }
}
