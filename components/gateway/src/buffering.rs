//! Reads whole bodies into memory that is reserved as they grow.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use crate::state::BufferReservation;

/// Largest answer that is not a stream, from an upstream or another gateway. It is buffered
/// completely before it is returned, so that a retry can replace a truncated one.
pub(crate) const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Smallest buffer for a body of unknown length.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Why a body could not be read as a whole.
#[derive(Debug, Display)]
pub(crate) enum ReadError {
    /// the body is larger than allowed
    TooLarge,
    /// all buffers together have used up their budget
    NoMemory,
    /// the body broke off or is malformed: {0}
    Interrupted(hyper::Error),
    /// another gateway lost it
    LostByPeer,
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_whole(
    mut body: Incoming,
    limit: usize,
    reservation: &mut BufferReservation,
) -> Result<Bytes, ReadError> {
    let announced = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    if announced.is_some_and(|bytes| bytes > limit) {
        return Err(ReadError::TooLarge);
    }
    let mut whole = WholeBody::new(announced, limit, reservation);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ReadError::Interrupted)?;
        let Ok(data) = frame.into_data() else { continue };
        whole.push(&data)?;
    }
    Ok(whole.finish())
}

/// Body that is gathered from its parts.
#[derive(Debug)]
pub(crate) struct WholeBody<'a> {
    bytes: BytesMut,
    announced: Option<usize>,
    limit: usize,
    reservation: &'a mut BufferReservation,
}

impl<'a> WholeBody<'a> {
    /// Returns an empty body of at most `limit` bytes; `announced` is its length, if known.
    pub(crate) fn new(
        announced: Option<usize>,
        limit: usize,
        reservation: &'a mut BufferReservation,
    ) -> Self {
        WholeBody { bytes: BytesMut::new(), announced, limit, reservation }
    }

    /// Appends a part.
    pub(crate) fn push(&mut self, part: &[u8]) -> Result<(), ReadError> {
        let needed = self.bytes.len() + part.len();
        if needed > self.limit {
            return Err(ReadError::TooLarge);
        }
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_BUFFER_BYTES);
            let capacity = self.announced.unwrap_or(doubled).max(needed).min(self.limit);
            if !self.reservation.grow_to(capacity as u64) {
                return Err(ReadError::NoMemory);
            }
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    pub(crate) fn finish(self) -> Bytes {
        self.bytes.freeze()
    }
}
