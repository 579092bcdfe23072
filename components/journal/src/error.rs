//! Errors of the data folder.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use displaydoc::Display;

/// Reason that a data folder cannot be opened, read or written.
#[derive(Debug, Display)]
pub enum JournalError {
    /// cannot {action} {path}: {source}
    Io {
        /// Operation that failed.
        action: &'static str,
        /// File or folder.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// {path} is damaged at byte {offset}: {reason}; do not edit it: move the data folder aside and start again, the VM then rejoins as a new replica
    Corrupt {
        /// Corrupt file.
        path: String,
        /// Offset at which the corruption was found.
        offset: u64,
        /// Description of the corruption.
        reason: String,
    },
    /// {path} is missing although the replica has voted before; move the data folder aside and start again, the VM then rejoins as a new replica
    Missing {
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
    pub(crate) fn corrupt(path: &Path, offset: u64, reason: impl Into<String>) -> Self {
        JournalError::Corrupt { path: path.display().to_string(), offset, reason: reason.into() }
    }

    /// Returns whether the same operation may succeed later, as on a full disk or one
    /// that returns errors for a while; false for damage and wrong paths or rights.
    pub fn is_transient(&self) -> bool {
        let JournalError::Io { source, .. } = self else { return false };
        !matches!(
            source.kind(),
            ErrorKind::PermissionDenied
                | ErrorKind::NotFound
                | ErrorKind::NotADirectory
                | ErrorKind::IsADirectory
                | ErrorKind::ReadOnlyFilesystem
                | ErrorKind::InvalidInput
        )
    }

    pub(crate) fn missing(path: PathBuf) -> Self {
        JournalError::Missing { path: path.display().to_string() }
    }

    /// Returns a function that adds the action and the path to an I/O error.
    pub(crate) fn io<'a>(
        action: &'static str,
        path: &'a Path,
    ) -> impl FnOnce(std::io::Error) -> JournalError + 'a {
        move |source| JournalError::Io { action, path: path.display().to_string(), source }
    }
}
