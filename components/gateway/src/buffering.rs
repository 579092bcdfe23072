//! Reads whole bodies into memory that is reserved as they grow.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use crate::state::BufferReservation;

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
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadError::Interrupted)?.into_data() else { continue };
        let needed = whole.len() + data.len();
        if needed > limit {
            return Err(ReadError::TooLarge);
        }
        if needed > whole.capacity() {
            let doubled = (2 * whole.capacity()).max(MIN_BUFFER_BYTES);
            let capacity = announced.unwrap_or(doubled).max(needed).min(limit);
            if !reservation.grow_to(capacity as u64) {
                return Err(ReadError::NoMemory);
            }
            whole.reserve(capacity - whole.len());
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
