//! Errors of changes that were received.

use displaydoc::Display;

/// Why a received change cannot be applied.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangeError {
    /// the change cannot be decoded
    Undecodable,
    /// the change is too large
    TooLarge,
    /// a chunk does not follow the one before
    OutOfOrder,
    /// the received bytes do not have the announced digest
    Corrupted,
    /// the change applies to another set
    WrongBase,
    /// the result does not have the announced digest
    WrongResult,
    /// the result is not newer than the set in force
    NotNewer,
}

impl std::error::Error for ChangeError {}
