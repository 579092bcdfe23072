//! Status codes of responses, with or without a reason, for tests of what is an answer in the
//! protocol (RFC 9110, section 15).

/// None of 100 to 599.
pub const NO_ANSWERS: [&str; 18] = [
    "",
    "0",
    "00",
    "000",
    "000 Unknown",
    "020 Odd",
    "099",
    "99",
    "20",
    "2000",
    "-20",
    "+20",
    "2O0",
    "600",
    "600 Odd",
    "700 Odd",
    "999",
    "999 Unknown",
];

/// The lowest and highest final ones, and one that nobody has registered.
pub const ANSWERS: [&str; 4] = ["200 OK", "299 Odd", "499 Odd", "599 Odd"];
