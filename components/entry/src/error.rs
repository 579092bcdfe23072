//! Startup errors.

use displaydoc::Display;

/// Why an entry cannot start.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Credentials(credentials::CredentialError),
    /// the certificate names the {found}, but the settings name entry/{vm}
    WrongIdentity {
        /// Role and name in the certificate.
        found: String,
        /// VM in the settings.
        vm: String,
    },
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::Error),
    /// {0}
    Spans(telemetry::SpanError),
    /// cannot register metrics: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for StartError {}
