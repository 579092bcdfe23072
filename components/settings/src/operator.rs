//! Settings of the operator command line.

use std::net::SocketAddr;
use std::path::Path;

use schema::{OperatorSettings, TlsSettings};

use crate::SettingsError;
use crate::checker::{Checker, load};

/// Validated settings of the operator command line.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Peer addresses of the control processes.
    pub control_addresses: Vec<SocketAddr>,
    /// Certificate and key files of the operator.
    pub tls: TlsSettings,
}

/// Loads and validates the settings of the operator command line.
pub fn load_operator(path: &Path) -> Result<OperatorConfig, SettingsError> {
    load(path, check)
}

fn check(settings: OperatorSettings, checker: &mut Checker<'_>) -> Option<OperatorConfig> {
    let control_addresses = checker.addresses("control_addresses", &settings.control_addresses);
    let tls = checker.tls_files(settings.tls);
    Some(OperatorConfig { control_addresses, tls })
}
