//! Length-delimited messages on a unidirectional stream.

use bytes::{Bytes, BytesMut};
use prost::Message;
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};

use crate::{MAX_MESSAGE_BYTES, traffic};

const LENGTH_PREFIX_BYTES: usize = 4;

pub(crate) async fn write(
    stream: &mut SendStream,
    kind: &str,
    message: &impl Message,
) -> Result<(), WriteError> {
    let mut buffer = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + message.encoded_len());
    let length = u32::try_from(message.encoded_len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    message.encode(&mut buffer).expect("BytesMut grows as needed");
    traffic::count_sent(kind, buffer.len());
    stream.write_chunk(buffer.freeze()).await
}

/// First message of a buffer.
#[derive(Debug)]
pub(crate) enum Split<M> {
    Message(M),
    /// More bytes are needed.
    Incomplete,
    /// The frame is malformed or too large.
    Malformed,
}

/// Removes the first message from a buffer.
pub(crate) fn split<M: Message + Default>(buffer: &mut BytesMut, kind: &str) -> Split<M> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Split::Incomplete;
    };
    let length = usize::try_from(u32::from_le_bytes(*prefix)).unwrap_or(usize::MAX);
    if length > MAX_MESSAGE_BYTES {
        return Split::Malformed;
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Split::Incomplete;
    }
    let body = buffer.split_to(LENGTH_PREFIX_BYTES + length).split_off(LENGTH_PREFIX_BYTES);
    traffic::count_received(kind, length);
    M::decode(body.freeze()).map_or(Split::Malformed, Split::Message)
}

/// Reads one message; `None` at the end of the stream, after a connection loss, or
/// if the frame is malformed or too large.
pub(crate) async fn read<M: Message + Default>(stream: &mut RecvStream, kind: &str) -> Option<M> {
    let mut length = [0; LENGTH_PREFIX_BYTES];
    read_exact(stream, &mut length).await.ok()?;
    let length = usize::try_from(u32::from_le_bytes(length)).ok()?;
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    read_exact(stream, &mut body).await.ok()?;
    traffic::count_received(kind, length);
    M::decode(Bytes::from(body)).ok()
}

async fn read_exact(stream: &mut RecvStream, buffer: &mut [u8]) -> Result<(), ReadExactError> {
    stream.read_exact(buffer).await
}
