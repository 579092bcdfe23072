//! What several requests may have in common.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

use crate::fingerprint::Fingerprint;
use crate::part::PartId;

/// Prefix of the text form of a request's fingerprint.
const REQUEST_PREFIX: &str = "request:";

/// Feature of a request that may be the cause of a crash.
///
/// ```
/// use quarantine::{Feature, Fingerprint, PartId};
/// assert_eq!("5c1e07a2".parse(), Ok(Feature::Part(PartId(0x5c1e_07a2))));
/// assert_eq!("request:2a".parse(), Ok(Feature::Request(Fingerprint(0x2a))));
/// assert!("request:".parse::<Feature>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Feature {
    /// Part of its prompt that other requests may share.
    Part(PartId),
    /// The request as a whole, which its caller may repeat.
    Request(Fingerprint),
}

/// neither the hexadecimal id of a prompt part nor `request:` with a fingerprint
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct InvalidFeature;

impl std::error::Error for InvalidFeature {}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Feature::Part(part) => part.fmt(f),
            Feature::Request(fingerprint) => write!(f, "{REQUEST_PREFIX}{fingerprint}"),
        }
    }
}

impl FromStr for Feature {
    type Err = InvalidFeature;

    fn from_str(text: &str) -> Result<Self, InvalidFeature> {
        let parsed = match text.strip_prefix(REQUEST_PREFIX) {
            Some(fingerprint) => fingerprint.parse().ok().map(Feature::Request),
            None => text.parse().ok().map(Feature::Part),
        };
        parsed.ok_or(InvalidFeature)
    }
}
