//! Errors of the journal.

use std::path::{Path, PathBuf};

use displaydoc::Display;

/// Why a data folder cannot be used.
#[derive(Debug, Display)]
pub enum JournalError {
    /// cannot {action} {path}: {source}
    Io {
        /// What was tried.
        action: &'static str,
        /// File or folder.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// {path} is damaged at byte {offset}: {what}; do not edit it: move the data folder aside and start again, the VM then rejoins as a new replica
    Corrupt {
        /// Damaged file.
        path: String,
        /// Where the damage begins.
        offset: u64,
        /// What was found.
        what: String,
    },
    /// {path} is missing although the replica has voted before; move the data folder aside and start again, the VM then rejoins as a new replica
    Lost {
        /// Missing file.
        path: String,
    },
    /// {path} is in use by another process
    Locked {
        /// Lock file.
        path: String,
    },
}

impl std::error::Error for JournalError {}

impl JournalError {
    pub(crate) fn corrupt(path: &Path, offset: u64, what: impl Into<String>) -> Self {
        JournalError::Corrupt { path: path.display().to_string(), offset, what: what.into() }
    }

    pub(crate) fn lost(path: PathBuf) -> Self {
        JournalError::Lost { path: path.display().to_string() }
    }

    /// Returns a function that adds context to an error of the operating system.
    pub(crate) fn io<'a>(
        action: &'static str,
        path: &'a Path,
    ) -> impl FnOnce(std::io::Error) -> JournalError + 'a {
        move |source| JournalError::Io { action, path: path.display().to_string(), source }
    }
}
