//! Names of objects and processes.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use displaydoc::Display;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Reason why a string is not a valid name.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum InvalidName {
    /// a name must not be empty
    Empty,
    /// a name must not be longer than 63 bytes
    TooLong,
    /// a name holds only lower-case letters, digits, '-', '_' and '.', and starts with a letter or digit
    Character,
}

impl std::error::Error for InvalidName {}

/// Name of an object or process.
///
/// ```
/// use units::Name;
/// let name: Name = "coach-llm".parse()?;
/// assert_eq!(name.as_str(), "coach-llm");
/// assert!("Coach LLM".parse::<Name>().is_err());
/// # Ok::<(), units::InvalidName>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(CompactString);

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Name {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, InvalidName> {
        if text.is_empty() {
            return Err(InvalidName::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(InvalidName::TooLong);
        }
        let alphanumeric = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
        let allowed = |b: u8| alphanumeric(b) || matches!(b, b'-' | b'_' | b'.');
        if !alphanumeric(text.as_bytes()[0]) || !text.bytes().all(allowed) {
            return Err(InvalidName::Character);
        }
        Ok(Name(CompactString::new(text)))
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $type(Name);

        impl $type {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                text.parse().map($type)
            }
        }
    };
}

name_type!(
    /// Name of a VM.
    VmName
);
name_type!(
    /// Name of a data centre.
    DataCentre
);
name_type!(
    /// Name of a workspace.
    WorkspaceName
);
name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Name of an upstream.
    UpstreamName
);
