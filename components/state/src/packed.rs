//! Compressed sets of routes: their documents and rules repeat the same names, and a set is
//! sent to every replica and written to its log.

use displaydoc::Display;
use prost::Message as _;
use prost::bytes::Bytes;
use schema::RouteSet;

/// Size above which a set is not unpacked; far more than that of the largest document that
/// control processes accept.
const MAX_SET_BYTES: usize = 64 << 20;

/// Why a packed set cannot be unpacked.
#[derive(Debug, Display)]
pub enum UnpackError {
    /// the compressed set is damaged: {0}
    Damaged(lz4_flex::block::DecompressError),
    /// the set has {0} bytes
    TooLarge(usize),
    /// the set cannot be decoded: {0}
    Undecodable(prost::DecodeError),
}

impl std::error::Error for UnpackError {}

/// Encodes and compresses a set.
///
/// ```
/// let set = schema::RouteSet { number: 4, ..Default::default() };
/// assert_eq!(state::unpack_set(&state::pack_set(&set))?, set);
/// # Ok::<(), state::UnpackError>(())
/// ```
pub fn pack_set(set: &RouteSet) -> Bytes {
    Bytes::from(lz4_flex::compress_prepend_size(&set.encode_to_vec()))
}

/// Reverses [`pack_set`].
///
/// # Errors
///
/// Returns an error if the bytes are damaged or the set is too large.
pub fn unpack_set(packed: &[u8]) -> Result<RouteSet, UnpackError> {
    let (size, compressed) =
        lz4_flex::block::uncompressed_size(packed).map_err(UnpackError::Damaged)?;
    if size > MAX_SET_BYTES {
        return Err(UnpackError::TooLarge(size));
    }
    let encoded = lz4_flex::decompress(compressed, size).map_err(UnpackError::Damaged)?;
    RouteSet::decode(Bytes::from(encoded)).map_err(UnpackError::Undecodable)
}
