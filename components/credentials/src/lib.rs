//! Deployment CA, certificates and roles of processes.
//!
//! With mutual TLS, every process and operator has a certificate issued by the
//! deployment's own CA; without peer authentication, it is self-signed. The
//! certificate states the holder and its role in a DNS name of the form
//! `<vm>.<role>.shallottray`, with the operator's name in place of the VM for an
//! operator. With a second DNS name, `<role>.shallottray`, a client verifies the
//! role of a server that it connects to by IP address.

mod authority;
mod error;
mod role;
mod tls;

pub use authority::{CA_CERTIFICATE_FILE, create_ca, issue_certificate};
pub use error::CredentialError;
pub use role::{Identity, Role};
pub use tls::{TlsConfigs, identity_of};
