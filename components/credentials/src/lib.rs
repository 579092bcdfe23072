//! Deployment CA, certificates and roles of processes.
//!
//! Every process has a certificate issued by the deployment's own CA. The
//! certificate states the VM and the role of the process in a DNS name of the
//! form `<vm>.<role>.shallottray`. With a second DNS name, `<role>.shallottray`,
//! a client verifies the role of a server that it connects to by IP address.

mod authority;
mod error;
mod role;
mod tls;

pub use authority::{CA_CERTIFICATE_FILE, create_ca, issue_certificate};
pub use error::CredentialError;
pub use role::{Identity, Role};
pub use tls::{TlsConfigs, identity_of};
