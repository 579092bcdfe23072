//! Start-up errors.

use std::net::SocketAddr;

use displaydoc::Display;

/// Why a gateway cannot start.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Credentials(credentials::CredentialError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot register metrics: {0}
    Metrics(prometheus::Error),
    /// cannot start traces: {0}
    Spans(telemetry::SpanError),
}

impl std::error::Error for StartError {}
