//! Deployment CA, certificates and roles of processes.
//!
//! Every process holds a certificate of the deployment's own CA. The
//! certificate names the role and the VM of the process, as a DNS name of the
//! form `<vm>.<role>.shallottray`; a second name `<role>.shallottray` lets a
//! client insist on the role of the server that it reaches by IP address.

mod authority;
mod error;
mod role;
mod tls;

pub use authority::{CA_CERTIFICATE_FILE, create_authority, issue};
pub use error::CredentialError;
pub use role::{Identity, Role};
pub use tls::{TlsConfigs, identity_of};
