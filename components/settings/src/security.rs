//! How the system's own processes know one another.

use schema::TlsSettings;

/// How the system's own processes know one another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerTls {
    /// Certificates of the deployment CA on both sides.
    Files(TlsSettings),
    /// Encrypted, but each peer is believed to be who it says.
    Unverified,
}
