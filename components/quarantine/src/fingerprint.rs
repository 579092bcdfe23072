//! Fingerprints of whole requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use sha2::{Digest as _, Sha256};

/// Fields of a request that make it the same as an earlier one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestIdentity<'a> {
    /// Workspace or other identity of the caller; empty if it has none.
    pub caller: &'a str,
    /// Host that the request is for.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// SHA-256 over the identity of a request, cut to 64 bits; never 0.
///
/// ```
/// use quarantine::{Fingerprint, RequestIdentity};
/// let look_up = RequestIdentity { caller: "desk", path: "/lots/7", ..Default::default() };
/// let fingerprint = Fingerprint::of(&look_up);
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// assert_ne!(fingerprint, Fingerprint::of(&RequestIdentity { caller: "yard", ..look_up }));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let RequestIdentity { caller, host, method, path, body } = request;
        let mut hasher = Sha256::new();
        for field in [caller.as_bytes(), host.as_bytes(), method.as_bytes(), path.as_bytes(), body]
        {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        let first = hash.first_chunk().copied().unwrap_or_default();
        Fingerprint(u64::from_le_bytes(first).max(1))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}
