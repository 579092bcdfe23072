//! Fingerprints of whole requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

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
        let texts = [caller, host, method, path].map(|text| text.as_bytes());
        Fingerprint(hashing::id64(texts.into_iter().chain([*body])))
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
