//! Hashes over several fields, of which none can be taken for part of its neighbour.

use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 over the fields, each preceded by its length.
///
/// ```
/// let hash = |fields: [&str; 2]| hashing::sha256(fields.map(str::as_bytes));
/// assert_ne!(hash(["ab", "c"]), hash(["a", "bc"]));
/// ```
pub fn sha256<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.finalize().into()
}

/// Returns the first 64 bits of [`sha256`]; never 0, which messages use for no id.
///
/// ```
/// assert_eq!(hashing::id64([b"ab".as_slice()]), hashing::id64([b"ab".as_slice()]));
/// ```
pub fn id64<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let hash = sha256(fields);
    let first = hash.first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(first).max(1)
}
