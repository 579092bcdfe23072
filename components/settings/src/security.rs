//! Authentication between the system's own processes.

use schema::TlsSettings;

/// Authentication between the system's own processes.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerTls {
    /// Mutual TLS with certificates issued by the deployment CA.
    MutualTls(TlsSettings),
    /// TLS without authentication: the identity that a peer states is not verified.
    Unverified,
}
