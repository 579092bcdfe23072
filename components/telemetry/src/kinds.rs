//! Kinds of log lines, and which of them are dropped last.

use log::Level;

/// Events of which each request or stream has one, at its end: without these a record does not
/// show what became of it.
const ENDS_OF_REQUESTS: [&str; 4] = [
    "request answered",
    "request refused",
    "stream ended",
    "connection ended before the response was complete",
];

/// What lines have in common that differ in their values only.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineKind<'a> {
    pub(crate) level: Level,
    pub(crate) target: &'a str,
    /// Event; empty if its text is not constant.
    pub(crate) event: &'static str,
}

/// Which lines are dropped first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Priority {
    Routine,
    /// Warnings, errors and ends of requests.
    Important,
}

impl<'a> LineKind<'a> {
    pub(crate) fn of(record: &log::Record<'a>) -> Self {
        LineKind {
            level: record.level(),
            target: record.target(),
            event: record.args().as_str().unwrap_or_default(),
        }
    }

    pub(crate) fn priority(&self) -> Priority {
        if self.level <= Level::Warn || ENDS_OF_REQUESTS.contains(&self.event) {
            Priority::Important
        } else {
            Priority::Routine
        }
    }
}
