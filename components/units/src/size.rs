//! Sizes, durations and token counts.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// Reason why a string is not a number with a unit.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum InvalidNumber {
    /// a whole number with its unit is expected, such as 5000ms, 20s, 64KiB or 300tokens
    Syntax,
    /// the number is too large
    TooLarge,
}

impl std::error::Error for InvalidNumber {}

macro_rules! quantity {
    ($(#[$doc:meta])* $type:ident, $unit:literal, [$(($suffix:literal, $factor:expr)),+]) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $type {
            type Err = InvalidNumber;

            fn from_str(text: &str) -> Result<Self, InvalidNumber> {
                let end = text.bytes().take_while(u8::is_ascii_digit).count();
                let (digits, suffix) = text.split_at(end);
                if digits.is_empty() {
                    return Err(InvalidNumber::Syntax);
                }
                let factor: u64 = match suffix {
                    $($suffix => $factor,)+
                    _ => return Err(InvalidNumber::Syntax),
                };
                let number: u64 = digits.parse().map_err(|_| InvalidNumber::TooLarge)?;
                number.checked_mul(factor).map($type).ok_or(InvalidNumber::TooLarge)
            }
        }
    };
}

quantity!(
    /// Duration in milliseconds.
    ///
    /// ```
    /// use units::Millis;
    /// assert_eq!("2s".parse(), Ok(Millis(2_000)));
    /// assert_eq!(Millis(5).to_string(), "5ms");
    /// ```
    Millis,
    "ms",
    [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)]
);
quantity!(
    /// Size in bytes.
    ///
    /// ```
    /// use units::Bytes;
    /// assert_eq!("64KiB".parse(), Ok(Bytes(65_536)));
    /// ```
    Bytes,
    "B",
    [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)]
);
quantity!(
    /// Number of tokens.
    ///
    /// ```
    /// use units::Tokens;
    /// assert_eq!("300tokens".parse(), Ok(Tokens(300)));
    /// ```
    Tokens,
    "tokens",
    [("tokens", 1)]
);
