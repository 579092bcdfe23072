//! Errors and positions.

use std::fmt;

use displaydoc::Display;

/// Line and column in a text, both counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number in characters, or in bytes if the error is from `decode`.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// {position}: {message}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct JsoncError {
    /// Position of the error.
    pub position: Position,
    /// What is wrong.
    pub message: String,
}

impl std::error::Error for JsoncError {}

impl JsoncError {
    pub(crate) fn new(position: Position, message: impl Into<String>) -> Self {
        JsoncError { position, message: message.into() }
    }
}
