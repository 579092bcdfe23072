//! Errors from keys, certificates and TLS.

use std::path::Path;

use displaydoc::Display;

/// Error from creating, reading or using keys and certificates.
#[derive(Debug, Display)]
pub enum CredentialError {
    /// cannot {action} {path}: {source}
    Io {
        /// Failed operation.
        action: &'static str,
        /// Path of the file.
        path: String,
        /// I/O error.
        source: std::io::Error,
    },
    /// {path} already exists; move it away if it is to be replaced
    Exists {
        /// Path of the file.
        path: String,
    },
    /// {path} holds no usable certificate or key: {message}
    Unusable {
        /// Path of the file.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// cannot create the certificate: {0}
    Create(rcgen::Error),
    /// cannot set up TLS: {0}
    Tls(rustls::Error),
    /// no DNS name in the certificate has the form `<vm>.<role>.shallottray`
    NoIdentity,
}

impl std::error::Error for CredentialError {}

impl CredentialError {
    pub(crate) fn io<'a>(
        action: &'static str,
        path: &'a Path,
    ) -> impl FnOnce(std::io::Error) -> CredentialError + 'a {
        move |source| CredentialError::Io { action, path: path.display().to_string(), source }
    }

    pub(crate) fn unusable(path: &Path, message: impl ToString) -> CredentialError {
        CredentialError::Unusable { path: path.display().to_string(), message: message.to_string() }
    }
}
