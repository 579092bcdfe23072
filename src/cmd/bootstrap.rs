//! `shallottray bootstrap`

use std::net::SocketAddr;
use std::time::Duration;

use schema::{BootstrapRequest, request};
use wire::CallError;

use crate::cli::Operator;
use crate::connection::Connection;
use crate::error::CommandError;

const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates the control group with the process at `address` as its only
/// replica. The other control processes join it on their own.
pub async fn run(operator: &Operator, address: SocketAddr) -> Result<(), CommandError> {
    let connection = Connection::open(&operator.settings)?;
    // A process with log entries belongs to a group. A second group beside it
    // would split the deployment.
    for (other, status) in connection.fetch_statuses().await {
        if status.is_ok_and(|status| status.last_index > 0) {
            let message = format!("the control process at {other} belongs to a group already");
            return Err(CommandError::Invalid(message));
        }
    }
    let body = request::Body::Bootstrap(BootstrapRequest {});
    match connection.call_process(address, body, BOOTSTRAP_TIMEOUT).await {
        Ok(_) => {
            println!("group created on {address}; the other control VMs join it now");
            Ok(())
        }
        Err(CallError::Refused(refusal)) => Err(CommandError::Invalid(refusal.message)),
        Err(error) => Err(CommandError::Unavailable(error.to_string())),
    }
}
