//! Ids of prompt parts.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Id of a part of a prompt that several requests may share.
///
/// Ids are hexadecimal numbers; leading zeros and case do not matter, and numbers of
/// more than 64 bits are hashed.
///
/// ```
/// use quarantine::PartId;
/// assert_eq!("5C1E07A2".parse(), Ok(PartId(0x5c1e_07a2)));
/// assert_eq!("005c1e07a2".parse::<PartId>().unwrap().to_string(), "5c1e07a2");
/// assert!("".parse::<PartId>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId(pub u64);

/// the id of a prompt part is not a hexadecimal number
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct InvalidPartId;

impl std::error::Error for InvalidPartId {}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = InvalidPartId;

    fn from_str(text: &str) -> Result<Self, InvalidPartId> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(InvalidPartId);
        }
        let digits = text.trim_start_matches('0');
        if digits.is_empty() {
            return Ok(PartId(0));
        }
        Ok(PartId(u64::from_str_radix(digits, 16).unwrap_or_else(|_| hash(digits))))
    }
}

fn hash(digits: &str) -> u64 {
    let bytes = digits.bytes().map(|byte| u64::from(byte.to_ascii_lowercase()));
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ byte).wrapping_mul(FNV_PRIME))
}
